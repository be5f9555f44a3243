package runner

import (
	"math/rand/v2"
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/server"
)

// call is one request of this host's entry, from its Ask to its Done.
type call struct {
	service   string
	ask       messenger.Ask
	owner     string    // host that dispatches its cell
	sentAt    time.Time // when an Ask, Claim or Progress was last sent
	deadline  time.Time
	reply     chan<- placeReply
	worker    string // "" while it waits
	tokens    int    // generated so far
	preempted chan struct{}
}

// startCall chooses a cell for a request and registers the call there.
func (c *control) startCall(now time.Time, e placeRequested) {
	cells := c.cellsByService[e.service]
	if len(cells) == 0 {
		e.reply <- placeReply{refusal: &server.Refusal{Reason: "no_workers", RetryAfter: time.Second}}
		return
	}
	e.ask.Cell = c.chooser.Choose(now, cells, e.ask.Class, rand.Uint64())
	k := &call{service: e.service, ask: e.ask, reply: e.reply, preempted: make(chan struct{}), deadline: now.Add(e.ask.Deadline)}
	c.calls[e.ask.Request] = k
	c.register(now, k)
}

// register sends the call to the current owner of its cell.
func (c *control) register(now time.Time, k *call) {
	owner, ok := c.roster.Owner(k.ask.Cell)
	if !ok {
		return
	}
	if !k.sentAt.IsZero() {
		k.ask.Waited += now.Sub(k.sentAt)
	}
	c.lastAttempt++
	k.owner, k.sentAt = owner.Name, now
	k.ask.Attempt, k.ask.Epoch, k.ask.Deadline = c.lastAttempt, c.cellEpochs[k.ask.Cell], max(k.deadline.Sub(now), 0)
	if k.worker != "" {
		c.send(now, k.owner, messenger.Claim{Ask: k.ask, Worker: k.worker, Tokens: k.tokens})
		return
	}
	c.send(now, k.owner, k.ask)
}

// handleGrant applies a grant, or returns its place if that is not needed: the caller has
// disconnected, the call already has a place from another dispatcher, or the dispatcher is
// older than one that this host knows. Such a dispatcher resumed after a freeze and does
// not know the grants of its successor.
func (c *control) handleGrant(now time.Time, from string, g messenger.Grant) {
	c.chooser.RecordWait(now, g.Cell, g.Class, g.Wait)
	k := c.calls[g.Request]
	matches := k != nil && k.ask.Cell == g.Cell && k.ask.Attempt == g.Attempt
	if matches && k.worker == g.Worker && k.owner == from {
		return // a duplicate of the one in use
	}
	worker, known := c.worker(g.Cell, g.Worker)
	if !matches || !known || k.worker != "" || g.Epoch < c.cellEpochs[g.Cell] {
		c.send(now, from, messenger.Done{Request: g.Request, Attempt: g.Attempt, Cell: g.Cell, Worker: g.Worker})
		if matches && k.worker == "" && k.owner == from {
			c.register(now, k)
		}
		return
	}
	c.cellEpochs[g.Cell] = g.Epoch
	k.worker = g.Worker
	// The fencing number is the epoch, the same for all grants of a dispatcher. A number per
	// grant fails: calls sent in parallel arrive out of order, and a worker that refuses
	// lower numbers would refuse some of them again and again.
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

func (c *control) handleRefusal(now time.Time, m messenger.Refuse) {
	c.chooser.RecordWait(now, m.Cell, m.Class, m.Wait)
	k := c.calls[m.Request]
	if k == nil || k.worker != "" || k.ask.Attempt != m.Attempt {
		return
	}
	delete(c.calls, m.Request)
	k.reply <- placeReply{refusal: &server.Refusal{Reason: reasonOf(m.Reason), RetryAfter: m.RetryAfter}}
}

func (c *control) handlePreempt(m messenger.Preempt) {
	if k := c.calls[m.Request]; k != nil && k.worker != "" && k.ask.Attempt == m.Attempt {
		close(k.preempted)
		k.preempted = make(chan struct{})
	}
}

func (c *control) cancelCall(now time.Time, request string) {
	k := c.calls[request]
	if k == nil {
		return
	}
	delete(c.calls, request)
	c.send(now, k.owner, messenger.Cancel{Request: request, Attempt: k.ask.Attempt, Cell: k.ask.Cell})
}

func (c *control) finishCall(now time.Time, e placeReleased) {
	k := c.calls[e.place.Request]
	if k == nil {
		return
	}
	delete(c.calls, e.place.Request)
	c.quarantine.reportUsage(now, e.place.Worker.Name, e.usage)
	c.send(now, k.owner, messenger.Done{
		Request: e.place.Request, Attempt: k.ask.Attempt, Cell: e.place.Cell, Worker: e.place.Worker.Name,
		Tokens: e.usage.Tokens, First: e.usage.FirstByte, Failed: e.usage.Failed,
	})
}

// recordProgress records how many tokens a call has generated and reports it to the
// dispatcher.
func (c *control) recordProgress(now time.Time, e progressReported) {
	k := c.calls[e.place.Request]
	if k == nil || k.worker == "" {
		return
	}
	k.tokens = e.tokens
	c.sendProgress(now, k)
}

// sendProgress reports to the dispatcher that a call still has its place, and its tokens.
func (c *control) sendProgress(now time.Time, k *call) {
	k.sentAt = now
	c.send(now, k.owner, messenger.Progress{Request: k.ask.Request, Attempt: k.ask.Attempt, Cell: k.ask.Cell, Tokens: k.tokens})
}
