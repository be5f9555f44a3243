package server

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cicadawood/cicadawood/forwarder"
)

// firstByteFactor is the multiple of its first-byte target after which a try is
// considered silent.
const firstByteFactor = 4

// try is one attempt at a request on one place.
type try struct {
	*transaction
	place Place

	call       forwarder.Call
	answer     *forwarder.Answer
	sentAt     time.Time
	timeToHead time.Duration // time to the head of the answer
	tokens     int           // received at this place
	nextReport int           // number of tokens at which progress is reported next
	ctx        context.Context
	cancel     context.CancelCauseFunc

	mu        sync.Mutex
	committed bool // the try can no longer be preempted
}

// do sends the request to the place's worker and passes its answer on.
func (t *try) do(ctx context.Context) error {
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	defer t.cancel(nil)
	t.watchPreemption(t.ctx)
	t.call = t.transaction.call
	t.call.Fence, t.call.FirstByteTimeout = t.place.Fence, t.firstByteTimeout(ctx)
	if t.delivery.headSent {
		t.call.Body = withResume(t.call.Body, t.delivery.tokens)
	}
	t.sentAt = time.Now()
	answer, err := t.server.forwarder.Do(t.ctx, t.place.Worker.Address, t.call)
	if err != nil {
		return t.wrapError(ctx, err)
	}
	defer answer.Body.Close()
	t.answer = answer
	if t.timeToHead == 0 {
		t.timeToHead = time.Since(t.sentAt)
	}
	if err := t.passAnswer(); err != nil {
		return t.wrapError(ctx, err)
	}
	answer.Drain()
	return nil
}

// wrapError returns the reason why this host cancelled the try, if it did, or else
// err. With any error but ErrNotRun, it notes that the request may have run.
func (t *try) wrapError(ctx context.Context, err error) error {
	if !errors.Is(err, forwarder.ErrNotRun) {
		t.mayHaveRun = true
	}
	switch {
	case ctx.Err() != nil:
		return fmt.Errorf("%w: %v", ctx.Err(), err)
	case errors.Is(context.Cause(t.ctx), errPreempted):
		return errPreempted
	}
	return err
}

// usage returns what the try used of its place. A worker that sent nothing before the
// deadline is considered failed.
func (t *try) usage(err error) Usage {
	u := Usage{
		Tokens: t.tokens, FirstByte: t.timeToHead, Failed: blamesWorker(err),
		Fingerprint: t.q.fingerprint, ClosedByPeer: errors.Is(err, forwarder.ErrClosedByPeer), Took: time.Since(t.sentAt),
	}
	if errors.Is(err, context.DeadlineExceeded) {
		u.Failed = t.timeToHead == 0 && !errors.Is(err, forwarder.ErrPath)
	}
	return u
}

// firstByteTimeout returns the maximum time to the first byte: a multiple of the class's
// target, and at most half of the remaining time, to leave time for another try. Calls
// that are not tried again, and engine answers that are not streamed, may use the whole
// time; for them it returns 0.
func (t *try) firstByteTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok || t.q.once || (t.q.engine && !t.q.stream) {
		return 0
	}
	bound := time.Until(deadline) / 2
	if t.q.firstByteTarget > 0 {
		bound = min(bound, firstByteFactor*t.q.firstByteTarget)
	}
	return max(bound, time.Millisecond)
}

// watchPreemption cancels the try when its place is preempted.
func (t *try) watchPreemption(ctx context.Context) {
	if t.place.Preempted == nil || t.q.once {
		return
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-t.place.Preempted:
			t.mu.Lock()
			defer t.mu.Unlock()
			if !t.committed {
				t.cancel(errPreempted)
			}
		}
	}()
}

// commit is called before the first byte of an answer is passed on. Afterwards, a
// request that can't be resumed is no longer preempted: cancelling it would leave the
// caller with part of an answer.
func (t *try) commit() error {
	if t.resumable() && isEventStream(t.answer) {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.committed = true
	if errors.Is(context.Cause(t.ctx), errPreempted) {
		return errPreempted
	}
	return nil
}
