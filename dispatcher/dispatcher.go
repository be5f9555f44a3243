package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
)

// Output is a message that a decision sends to a host.
type Output struct {
	To      string
	Message messenger.Message
}

// Dispatcher owns the queue and the grants of one cell. It is not safe for
// concurrent use: the control goroutine owns it.
type Dispatcher struct {
	cell    Cell
	epoch   uint64
	fence   uint64
	classes map[string]loader.Class
	queue   []*waiter
	grants  map[string]*grant // by request
}

// waiter is a request that waits for a grant.
type waiter struct {
	from     string
	ask      messenger.Ask
	tier     int
	deadline time.Time
}

// grant is a place in use.
type grant struct {
	from   string
	ask    messenger.Ask
	worker string
}

// New returns the dispatcher of a cell. Epochs grow with every new dispatcher
// of a cell.
func New(c Cell, epoch uint64, classes map[string]loader.Class) *Dispatcher {
	return &Dispatcher{cell: c, epoch: epoch, classes: classes, grants: map[string]*grant{}}
}

// Configure takes the cell's new workers and classes.
func (d *Dispatcher) Configure(c Cell, classes map[string]loader.Class) {
	d.cell, d.classes = c, classes
}

// Handle takes one message from a host and returns what it causes.
func (d *Dispatcher) Handle(now time.Time, from string, m messenger.Message) []Output {
	switch m := m.(type) {
	case messenger.Ask:
		d.ask(now, from, m)
	case messenger.Claim:
		d.claim(from, m)
	case messenger.Done:
		delete(d.grants, m.Request)
	case messenger.Cancel:
		d.cancel(m.Request)
	}
	return d.Tick(now)
}

// Lost takes back what the host that died held and waited for.
func (d *Dispatcher) Lost(now time.Time, host string) []Output {
	d.queue = slices.DeleteFunc(d.queue, func(w *waiter) bool { return w.from == host })
	for id, g := range d.grants {
		if g.from == host {
			delete(d.grants, id)
		}
	}
	return d.Tick(now)
}

// Tick refuses what can no longer meet its deadline and grants what has room.
func (d *Dispatcher) Tick(now time.Time) []Output {
	out := d.expire(now)
	for len(d.queue) > 0 {
		w := d.queue[0]
		worker := d.free(w.ask.Exclude)
		if worker == "" {
			break
		}
		d.queue = d.queue[1:]
		d.fence++
		d.grants[w.ask.Request] = &grant{from: w.from, ask: w.ask, worker: worker}
		out = append(out, Output{To: w.from, Message: messenger.Grant{
			Request: w.ask.Request, Cell: d.cell.Name, Worker: worker, Epoch: d.epoch, Fence: d.fence,
		}})
	}
	return out
}

func (d *Dispatcher) ask(now time.Time, from string, a messenger.Ask) {
	if d.grants[a.Request] != nil {
		return
	}
	d.cancel(a.Request)
	w := &waiter{from: from, ask: a, tier: d.classes[a.Class].Tier, deadline: now.Add(a.Deadline)}
	i, _ := slices.BinarySearchFunc(d.queue, w, before)
	d.queue = slices.Insert(d.queue, i, w)
}

// before orders the queue: the tier first, then the earlier deadline.
func before(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), a.deadline.Compare(b.deadline), cmp.Compare(a.ask.Request, b.ask.Request))
}

func (d *Dispatcher) claim(from string, c messenger.Claim) {
	d.cancel(c.Ask.Request)
	d.grants[c.Ask.Request] = &grant{from: from, ask: c.Ask, worker: c.Worker}
}

func (d *Dispatcher) cancel(request string) {
	d.queue = slices.DeleteFunc(d.queue, func(w *waiter) bool { return w.ask.Request == request })
	delete(d.grants, request)
}

func (d *Dispatcher) expire(now time.Time) []Output {
	var out []Output
	d.queue = slices.DeleteFunc(d.queue, func(w *waiter) bool {
		if now.Before(w.deadline) {
			return false
		}
		out = append(out, Output{To: w.from, Message: messenger.Refuse{
			Request: w.ask.Request, Cell: d.cell.Name, Reason: "deadline", After: time.Second,
		}})
		return true
	})
	return out
}

// free is the worker with the most room, or "" where none has any.
func (d *Dispatcher) free(exclude []string) string {
	used := map[string]int{}
	for _, g := range d.grants {
		used[g.worker]++
	}
	best, room := "", 0
	for _, w := range d.cell.Workers {
		if n := w.Slots - used[w.Name]; n > room && !slices.Contains(exclude, w.Name) {
			best, room = w.Name, n
		}
	}
	return best
}

// State is the dispatcher's whole state, for a dump.
type State struct {
	Cell    string            `json:"cell"`
	Epoch   uint64            `json:"epoch"`
	Waiting []string          `json:"waiting"`
	Granted map[string]string `json:"granted"` // worker by request
}

// State returns a copy of the dispatcher's state.
func (d *Dispatcher) State() State {
	s := State{Cell: d.cell.Name, Epoch: d.epoch, Waiting: []string{}, Granted: map[string]string{}}
	for _, w := range d.queue {
		s.Waiting = append(s.Waiting, w.ask.Request)
	}
	for id, g := range d.grants {
		s.Granted[id] = g.worker
	}
	return s
}
