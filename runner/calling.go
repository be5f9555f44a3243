package runner

import (
	"math/rand/v2"
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/server"
)

// call is one request of this host's entry, from its ask to its done.
type call struct {
	service   string
	ask       messenger.Ask
	owner     string // host that dispatches its cell
	asked     time.Time
	ends      time.Time // its deadline
	reply     chan<- placeReply
	worker    string // "" while it waits
	tokens    int    // made so far
	preempted chan struct{}
}

func (c *control) ask(now time.Time, e placeRequested) {
	cells := c.cellsByService[e.service]
	if len(cells) == 0 {
		e.reply <- placeReply{refusal: &server.Refusal{Reason: "no_workers", RetryAfter: time.Second}}
		return
	}
	e.ask.Cell = c.chooser.Choose(now, cells, e.ask.Class, rand.Uint64())
	k := &call{service: e.service, ask: e.ask, reply: e.reply, preempted: make(chan struct{}), ends: now.Add(e.ask.Deadline)}
	c.calls[e.ask.Request] = k
	c.register(now, k)
}

// register tells the present owner of the call's cell about the call.
func (c *control) register(now time.Time, k *call) {
	owner, ok := c.roster.Owner(k.ask.Cell)
	if !ok {
		return
	}
	if !k.asked.IsZero() {
		k.ask.Waited += now.Sub(k.asked)
	}
	c.lastAttempt++
	k.owner, k.asked = owner.Name, now
	k.ask.Attempt, k.ask.Epoch, k.ask.Deadline = c.lastAttempt, c.cellEpochs[k.ask.Cell], max(k.ends.Sub(now), 0)
	if k.worker != "" {
		c.send(now, k.owner, messenger.Claim{Ask: k.ask, Worker: k.worker, Tokens: k.tokens})
		return
	}
	c.send(now, k.owner, k.ask)
}

// granted takes a grant, or gives it back where it is of no use: its caller
// went away, the call has a place already from another dispatcher, or the
// dispatcher is an older one than this host has heard of, which came back from a
// freeze and does not know what its successor granted.
func (c *control) granted(now time.Time, from string, g messenger.Grant) {
	c.chooser.RecordWait(now, g.Cell, g.Class, g.Wait)
	k := c.calls[g.Request]
	same := k != nil && k.ask.Cell == g.Cell && k.ask.Attempt == g.Attempt
	if same && k.worker == g.Worker && k.owner == from {
		return // a duplicate of the one in use
	}
	worker, known := c.worker(g.Cell, g.Worker)
	if !same || !known || k.worker != "" || g.Epoch < c.cellEpochs[g.Cell] {
		c.send(now, from, messenger.Done{Request: g.Request, Attempt: g.Attempt, Cell: g.Cell, Worker: g.Worker})
		if same && k.worker == "" && k.owner == from {
			c.register(now, k)
		}
		return
	}
	c.cellEpochs[g.Cell] = g.Epoch
	k.worker = g.Worker
	// The fencing number is the epoch, one for all grants of a dispatcher. One for
	// each grant was tried: calls that go out side by side arrive out of order, and
	// a worker that refuses old numbers refused them again and again.
	k.reply <- placeReply{place: server.Place{Request: g.Request, Cell: g.Cell, Worker: worker, Fence: g.Epoch, Preempted: k.preempted}}
}

func (c *control) worker(cell, name string) (loader.Worker, bool) {
	for _, w := range c.cells[cell].Workers {
		if w.Name == name {
			return w, true
		}
	}
	return loader.Worker{}, false
}

func (c *control) refused(now time.Time, m messenger.Refuse) {
	c.chooser.RecordWait(now, m.Cell, m.Class, m.Wait)
	k := c.calls[m.Request]
	if k == nil || k.worker != "" || k.ask.Attempt != m.Attempt {
		return
	}
	delete(c.calls, m.Request)
	k.reply <- placeReply{refusal: &server.Refusal{Reason: m.Reason, RetryAfter: m.RetryAfter}}
}

func (c *control) preempted(m messenger.Preempt) {
	if k := c.calls[m.Request]; k != nil && k.worker != "" && k.ask.Attempt == m.Attempt {
		close(k.preempted)
		k.preempted = make(chan struct{})
	}
}

func (c *control) leave(now time.Time, request string) {
	k := c.calls[request]
	if k == nil {
		return
	}
	delete(c.calls, request)
	c.send(now, k.owner, messenger.Cancel{Request: request, Attempt: k.ask.Attempt, Cell: k.ask.Cell})
}

func (c *control) done(now time.Time, e placeReleased) {
	k := c.calls[e.place.Request]
	if k == nil {
		return
	}
	delete(c.calls, e.place.Request)
	c.quarantine.use(now, e.place.Worker.Name, e.usage)
	c.send(now, k.owner, messenger.Done{
		Request: e.place.Request, Attempt: k.ask.Attempt, Cell: e.place.Cell, Worker: e.place.Worker.Name,
		Tokens: e.usage.Tokens, First: e.usage.FirstByte, Failed: e.usage.Failed,
	})
}

// progressed tells the dispatcher how far a request in flight has come.
func (c *control) progressed(now time.Time, e progressReported) {
	k := c.calls[e.place.Request]
	if k == nil || k.worker == "" {
		return
	}
	k.tokens = e.tokens
	c.renew(now, k)
}

// renew tells the dispatcher that a call still has its place, and its tokens.
func (c *control) renew(now time.Time, k *call) {
	k.asked = now
	c.send(now, k.owner, messenger.Progress{Request: k.ask.Request, Attempt: k.ask.Attempt, Cell: k.ask.Cell, Tokens: k.tokens})
}
