package runner

import (
	"context"
	"time"

	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/server"
)

const (
	keeperTimeout = time.Second            // before the keeper is asked again
	movedDelay    = 50 * time.Millisecond  // before the next owner is asked
	verdictGrace  = 250 * time.Millisecond // past the call's deadline, for the keeper's verdict
)

// onceCall is one at-most-once call of this host's entry.
type onceCall struct {
	message    messenger.Once
	waiter     keeper.Waiter
	reply      chan<- messenger.OnceVerdict
	keeperHost registrar.Record // host that was last asked
	moved      bool             // it replied that it does not keep the partition
	nextSend   time.Time        // when to ask again
	deadline   time.Time
}

// onceRequested starts a call.
type onceRequested struct {
	message messenger.Once
	reply   chan<- messenger.OnceVerdict
}

func (onceRequested) event() {}

var _ server.OnceRunner = (*control)(nil)

// RunOnce implements server.OnceRunner.
func (c *control) RunOnce(ctx context.Context, m messenger.Once) (messenger.OnceVerdict, error) {
	reply := make(chan messenger.OnceVerdict, 1)
	if !c.post(onceRequested{message: m, reply: reply}) {
		return messenger.OnceVerdict{}, server.ErrCallerGone
	}
	select {
	case <-c.ended:
		return messenger.OnceVerdict{}, server.ErrCallerGone
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return messenger.OnceVerdict{}, server.ErrCallerGone
	}
}

// startCall starts a call of this host's entry. While the layout has not been read, the
// reply is that its outcome is unknown.
func (k *onceManager) startCall(now time.Time, e onceRequested) {
	if k == nil || k.partitions == 0 {
		// The call with this key may have run before this host was started.
		e.reply <- messenger.OnceVerdict{Kind: uint8(keeper.KindUnknown), Reason: keeper.ReasonStore, RetryAfter: time.Second}
		return
	}
	c := &onceCall{message: e.message, reply: e.reply, deadline: now.Add(e.message.Ask.Deadline)}
	c.message.Partition = keeper.ID(e.message.ID).Partition(k.partitions)
	k.calls[e.message.Request] = c
	k.sendToKeeper(now, c)
}

// sendToKeeper sends the call to the keeper of its partition: the one asked before while
// its host is on the roster, otherwise the current owner. A leaving host finishes the calls
// that it has started, and only it knows their answers: a call to its successor would seal
// its log, and the caller would receive the reply that its call may have run.
func (k *onceManager) sendToKeeper(now time.Time, c *onceCall) {
	c.nextSend = now.Add(keeperTimeout)
	if !k.keeperHostAlive(c) {
		owner, ok := k.control.roster.Owner(partitionRole(c.message.Partition))
		if !ok {
			return
		}
		c.keeperHost, c.moved = owner, false
	}
	if !now.Before(c.deadline) {
		return
	}
	m := c.message
	m.Ask.Deadline = c.deadline.Sub(now)
	m.Ask.Waited += c.message.Ask.Deadline - m.Ask.Deadline
	k.control.send(now, c.keeperHost.Name, m)
}

// keeperHostAlive returns whether the host asked last is still on the roster and has not
// declined the call.
func (k *onceManager) keeperHostAlive(c *onceCall) bool {
	if c.keeperHost.Name == "" || c.moved {
		return false
	}
	h, ok := k.control.roster.Find(c.keeperHost.Name)
	return ok && h.Incarnation == c.keeperHost.Incarnation
}

// checkCall asks again where the verdict is overdue, and gives up after the deadline.
func (k *onceManager) checkCall(now time.Time, c *onceCall) {
	switch {
	case now.After(c.deadline.Add(verdictGrace)):
		v := c.waiter.Expired()
		k.finishCall(c, messenger.OnceVerdict{Kind: uint8(v.Kind), Reason: v.Reason})
	case now.After(c.nextSend):
		k.sendToKeeper(now, c)
	}
}

func (k *onceManager) finishCall(c *onceCall, v messenger.OnceVerdict) {
	delete(k.calls, c.message.Request)
	c.reply <- v
}

// confirmReady answers a keeper whether the entry still waits for a request.
func (k *onceManager) confirmReady(now time.Time, from string, m messenger.OnceReady) {
	c := k.calls[m.Request]
	ok := c != nil && c.waiter.Confirm(keeper.Ready{Order: m.Order})
	k.control.send(now, from, messenger.OnceReadyReply{Request: m.Request, Partition: m.Partition, ID: m.ID, OK: ok})
}

// handleVerdict passes a final verdict to the caller; after one that is not final, the call
// is sent again.
func (k *onceManager) handleVerdict(now time.Time, m messenger.OnceVerdict) {
	c := k.calls[m.Request]
	if c == nil {
		return // late or duplicate
	}
	v, final := c.waiter.Resolve(keeper.Verdict{Kind: keeper.Kind(m.Kind), Reason: reasonOf(m.Reason), RetryAfter: m.RetryAfter, Order: m.Order})
	if !final {
		c.nextSend, c.moved = now.Add(movedDelay), true
		return
	}
	m.Kind, m.Reason, m.RetryAfter = uint8(v.Kind), v.Reason, v.RetryAfter
	k.finishCall(c, m)
}
