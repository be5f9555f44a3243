package server

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cicadawood/cicadawood/forwarder"
)

// patienceFactor is how many times its target for the first byte a try is given
// before it is taken for silent.
const patienceFactor = 4

// try is one request on one place.
type try struct {
	*run
	place Place

	call   forwarder.Call
	answer *forwarder.Answer
	sent   time.Time
	first  time.Duration // to the answer's head
	tokens int           // of this place
	report int           // tokens at which the dispatcher is told next
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu        sync.Mutex
	committed bool // preemption comes too late
}

// do sends the request to the place's worker and passes its answer on.
func (t *try) do(ctx context.Context) error {
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	defer t.cancel(nil)
	t.watch(t.ctx)
	t.call = t.run.call
	t.call.Fence, t.call.FirstByteTimeout = t.place.Fence, t.patience(ctx)
	if t.delivery.begun {
		t.call.Body = resumeAt(t.call.Body, t.delivery.tokens)
	}
	t.sent = time.Now()
	answer, err := t.server.forwarder.Do(t.ctx, t.place.Worker.Address, t.call)
	if err != nil {
		return t.failure(ctx, err)
	}
	defer answer.Body.Close()
	t.answer = answer
	if t.first == 0 {
		t.first = time.Since(t.sent)
	}
	if err := t.reply(); err != nil {
		return t.failure(ctx, err)
	}
	answer.Drain()
	return nil
}

// failure is an error of this try, told apart from an end that was put to it
// here. Whatever it is but ErrNotRun, the request may have run.
func (t *try) failure(ctx context.Context, err error) error {
	if !errors.Is(err, forwarder.ErrNotRun) {
		t.ran = true
	}
	switch {
	case ctx.Err() != nil:
		return fmt.Errorf("%w: %v", ctx.Err(), err)
	case errors.Is(context.Cause(t.ctx), errPreempted):
		return errPreempted
	}
	return err
}

// use is what the try used of its place. A worker that let the deadline pass
// without a sign is blamed.
func (t *try) use(err error) Usage {
	u := Usage{
		Tokens: t.tokens, FirstByte: t.first, Failed: blames(err),
		Fingerprint: t.q.fingerprint, ClosedByPeer: errors.Is(err, forwarder.ErrClosedByPeer), Took: time.Since(t.sent),
	}
	if errors.Is(err, context.DeadlineExceeded) {
		u.Failed = t.first == 0
	}
	return u
}

// patience bounds the time to the first byte: by the class's target, and by
// half of what is left, so that another try can follow. A call that is not
// tried again, and an answer that comes only when all of it is there, have the
// whole time.
func (t *try) patience(ctx context.Context) time.Duration {
	until, ok := ctx.Deadline()
	if !ok || t.q.once || (t.q.engine && !t.q.stream) {
		return 0
	}
	bound := time.Until(until) / 2
	if t.q.first > 0 {
		bound = min(bound, patienceFactor*t.q.first)
	}
	return max(bound, time.Millisecond)
}

// watch cancels the try when its place is preempted.
func (t *try) watch(ctx context.Context) {
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

// commit comes before the first byte of an answer is passed. From there on a
// request that can't be resumed is no longer preempted: cancelling it would
// leave the caller with part of an answer.
func (t *try) commit() error {
	if t.resumable() && isEvents(t.answer) {
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
