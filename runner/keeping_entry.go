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
	keeperSilence = time.Second            // before the owner is asked again
	movedPause    = 50 * time.Millisecond  // before the next owner is asked
	entryExtra    = 250 * time.Millisecond // past its deadline, for the keeper's word
)

// onceCall is one call of this host's entry that must not be repeated.
type onceCall struct {
	message messenger.Once
	waiter  keeper.Waiter
	reply   chan<- messenger.OnceVerdict
	asked   registrar.Record // host asked last
	moved   bool             // it said that it does not keep the partition
	again   time.Time        // when to ask next
	ends    time.Time        // its deadline
}

// onceAsked starts a call.
type onceAsked struct {
	message messenger.Once
	reply   chan<- messenger.OnceVerdict
}

func (onceAsked) event() {}

var _ server.OnceRunner = (*control)(nil)

// RunOnce implements server.OnceRunner.
func (c *control) RunOnce(ctx context.Context, m messenger.Once) (messenger.OnceVerdict, error) {
	reply := make(chan messenger.OnceVerdict, 1)
	if !c.post(onceAsked{message: m, reply: reply}) {
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

func (k *keeping) begin(now time.Time, e onceAsked) {
	if k == nil || k.partitions == 0 {
		// The key may have run before this host was started.
		e.reply <- messenger.OnceVerdict{Kind: uint8(keeper.KindUnknown), Reason: keeper.ReasonStore, RetryAfter: time.Second}
		return
	}
	c := &onceCall{message: e.message, reply: e.reply, ends: now.Add(e.message.Ask.Deadline)}
	c.message.Partition = keeper.ID(e.message.ID).Partition(k.partitions)
	k.calls[e.message.Request] = c
	k.register(now, c)
}

// register asks the keeper of the call's partition: the one asked before as long
// as it is there, else the present owner. A host that is leaving ends what it has
// begun, and only it knows the answer: to ask its successor would seal it out,
// and the caller be told that its call may have run.
func (k *keeping) register(now time.Time, c *onceCall) {
	c.again = now.Add(keeperSilence)
	if !k.still(c) {
		owner, ok := k.control.roster.Owner(role(c.message.Partition))
		if !ok {
			return
		}
		c.asked, c.moved = owner, false
	}
	if !now.Before(c.ends) {
		return
	}
	m := c.message
	m.Ask.Deadline = c.ends.Sub(now)
	m.Ask.Waited += c.message.Ask.Deadline - m.Ask.Deadline
	k.control.send(now, c.asked.Name, m)
}

// still says that the host asked last is there, and may have the call.
func (k *keeping) still(c *onceCall) bool {
	if c.asked.Name == "" || c.moved {
		return false
	}
	h, ok := k.control.roster.Find(c.asked.Name)
	return ok && h.Incarnation == c.asked.Incarnation
}

// watch asks again where the keeper's word does not come, and gives up after
// the deadline.
func (k *keeping) watch(now time.Time, c *onceCall) {
	switch {
	case now.After(c.ends.Add(entryExtra)):
		v := c.waiter.Expired()
		k.tell(c, messenger.OnceVerdict{Kind: uint8(v.Kind), Reason: v.Reason})
	case now.After(c.again):
		k.register(now, c)
	}
}

func (k *keeping) tell(c *onceCall, v messenger.OnceVerdict) {
	delete(k.calls, c.message.Request)
	c.reply <- v
}

// ready answers a keeper whether the entry still waits for a request.
func (k *keeping) ready(now time.Time, from string, m messenger.OnceReady) {
	c := k.calls[m.Request]
	ok := c != nil && c.waiter.Confirm(keeper.Ready{Order: m.Order})
	k.control.send(now, from, messenger.OnceReadyReply{Request: m.Request, Partition: m.Partition, ID: m.ID, OK: ok})
}

func (k *keeping) verdict(now time.Time, m messenger.OnceVerdict) {
	c := k.calls[m.Request]
	if c == nil {
		return // late, or twice
	}
	v, last := c.waiter.Resolve(keeper.Verdict{Kind: keeper.Kind(m.Kind), Reason: m.Reason, RetryAfter: m.RetryAfter, Order: m.Order})
	if !last {
		c.again, c.moved = now.Add(movedPause), true
		return
	}
	m.Kind, m.Reason, m.RetryAfter = uint8(v.Kind), v.Reason, v.RetryAfter
	k.tell(c, m)
}
