// Package dispatcher decides which waiting request gets which worker next.
//
// A Dispatcher owns one cell: a group of workers of one service. It is pure:
// time comes in as an argument, and what it decides comes out as messages.
package dispatcher

import (
	"time"

	"github.com/cicadawood/cicadawood/breaker"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
)

// Reasons of a Refuse.
const (
	ReasonDeadline = "deadline" // it waited until its deadline came too near
	ReasonOverload = "overload" // it would have waited until then
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
	orders  uint64 // grants of this epoch
	options Options
	random  uint64
	started time.Time
	updated time.Time // of the moving means
	calm    time.Time // when the top tier last had none waiting in time

	classes map[string]*class
	order   []*class // by tier, then name
	top     int      // the most urgent tier

	waiting  map[string]*waiter // by request
	late     heap[*waiter]      // by end
	soon     heap[*waiter]      // by due, those that are not late
	sequence uint64
	grants   map[string]*grant // by request
	places   map[string]*place // by worker
	workers  []*place          // of the cell, in name order
	names    []string          // of workers
	slots    int
	capacity float64 // slots, each by its worker's worth
	used     int
	leaving  map[string]bool

	gone      tombstones
	estimates estimator
	breaker   breaker.Breaker
	hold      float64 // mean seconds on a place
	above     map[int]float64
	out       []Output
}

// New returns the dispatcher of a cell. Epochs grow with every new dispatcher
// of a cell; one that is too low is raised by what the entries have seen.
func New(c Cell, epoch uint64, classes map[string]loader.Class, o Options) *Dispatcher {
	d := &Dispatcher{
		epoch: epoch, options: o, random: o.Seed | 1,
		classes: map[string]*class{}, waiting: map[string]*waiter{}, grants: map[string]*grant{},
		places: map[string]*place{}, above: map[int]float64{},
	}
	d.late = heap[*waiter]{
		less:  func(a, b *waiter) bool { return a.end.Before(b.end) },
		index: func(w *waiter) *int { return &w.inLate },
	}
	d.soon = heap[*waiter]{
		less:  func(a, b *waiter) bool { return a.due.Before(b.due) },
		index: func(w *waiter) *int { return &w.inSoon },
	}
	d.Configure(c, classes)
	return d
}

// Configure takes the cell's new workers and classes.
func (d *Dispatcher) Configure(c Cell, classes map[string]loader.Class) {
	d.cell = c
	d.setWorkers(c.Workers)
	for name, config := range classes {
		d.class(name).config = config
	}
	d.sortClasses()
}

// Handle takes one message from a host and returns what it causes.
func (d *Dispatcher) Handle(now time.Time, from string, m messenger.Message) []Output {
	d.begin(now)
	d.catchUp(now)
	switch m := m.(type) {
	case messenger.Ask:
		d.ask(now, from, m)
	case messenger.Claim:
		d.claim(now, from, m)
	case messenger.Done:
		d.done(now, m)
	case messenger.Cancel:
		d.withdraw(now, m.Request, m.Attempt)
	case messenger.Progress:
		d.progress(now, from, m)
	}
	d.fill(now)
	return d.out
}

// Tick refuses what can no longer meet its deadline, takes back what nobody
// holds any more, and grants what has room.
func (d *Dispatcher) Tick(now time.Time) []Output {
	d.begin(now)
	d.average(now)
	d.weigh()
	d.expire(now)
	d.rest(now)
	d.reclaim(now)
	d.fill(now)
	return d.out
}

func (d *Dispatcher) begin(now time.Time) {
	if d.started.IsZero() {
		d.started, d.updated = now, now
	}
	d.out = nil
}

// gathering says that claims of an earlier dispatcher's grants may still come.
func (d *Dispatcher) gathering(now time.Time) bool { return now.Sub(d.started) < gatherTime }

func (d *Dispatcher) send(to string, m messenger.Message) {
	d.out = append(d.out, Output{To: to, Message: m})
}

func (d *Dispatcher) ask(now time.Time, from string, a messenger.Ask) {
	d.see(a.Epoch)
	if d.gone.has(a.Request, a.Attempt) {
		return
	}
	if g := d.grants[a.Request]; g != nil && d.again(now, from, g, a) {
		return
	}
	if w := d.waiting[a.Request]; w != nil {
		// Asked again by an entry that got no answer: it keeps its turn.
		w.from, w.ask.Attempt = from, max(w.ask.Attempt, a.Attempt)
		return
	}
	w := d.waiterOf(now, from, a)
	if wait, full := d.full(now, w); full {
		d.refuse(w, ReasonOverload, wait-w.due.Sub(now))
		return
	}
	d.waiting[a.Request] = w
	w.class.push(now, w)
	d.late.push(w)
	d.soon.push(w)
}

// again takes an ask for what is granted already, and says whether it is
// settled. The grant was lost on its way, or it is over and the entry asks anew.
func (d *Dispatcher) again(now time.Time, from string, g *grant, a messenger.Ask) bool {
	if a.Attempt < g.ask.Attempt {
		return true
	}
	if a.Attempt == g.ask.Attempt || (!g.preempted && !excluded(a, g.worker)) {
		g.from, g.ask.Attempt = from, a.Attempt
		g.seen(now)
		d.send(from, g.message(d))
		return true
	}
	d.free(now, g)
	return false
}

func (d *Dispatcher) waiterOf(now time.Time, from string, a messenger.Ask) *waiter {
	k := d.class(a.Class)
	w := &waiter{from: from, ask: a, class: k, asked: now, inLine: -1, inLate: -1, inSoon: -1}
	d.sequence++
	w.sequence = d.sequence
	w.tokens, w.cost = d.estimates.estimate(a, 0, d.options.Policy)
	// A deadline that leaves little more than the answer takes still gets a try.
	longest := min(seconds(d.estimates.longest(a, d.options.Policy)), a.Deadline/2)
	w.end = now.Add(a.Deadline - longest)
	w.due = w.end
	if first := k.config.First.Std() - a.Waited; k.config.First > 0 && a.Made == 0 && now.Add(first).Before(w.due) {
		w.due = now.Add(first)
	}
	return w
}

// remove takes a request out of the queue.
func (d *Dispatcher) remove(w *waiter) {
	delete(d.waiting, w.ask.Request)
	w.class.remove(w)
	d.late.remove(w.inLate)
	if w.inSoon >= 0 {
		d.soon.remove(w.inSoon)
	}
}

// withdraw ends whatever a request has here. A Cancel or Done that overtakes
// its Ask leaves a tombstone: the Ask would else wait, or hold a place, with
// nobody behind it.
func (d *Dispatcher) withdraw(now time.Time, request string, attempt uint64) {
	d.gone.add(request, attempt)
	if w := d.waiting[request]; w != nil && w.ask.Attempt <= attempt {
		d.remove(w)
	}
	if g := d.grants[request]; g != nil && g.ask.Attempt <= attempt {
		d.free(now, g)
	}
}

func (d *Dispatcher) done(now time.Time, m messenger.Done) {
	if g := d.grants[m.Request]; g != nil && g.ask.Attempt <= m.Attempt {
		d.learn(now, g, m)
	}
	d.withdraw(now, m.Request, m.Attempt)
}

// learn corrects the estimates, the organisation's served tokens and the
// worker's record by what a request used.
func (d *Dispatcher) learn(now time.Time, g *grant, m messenger.Done) {
	held := now.Sub(g.at)
	if m.Tokens > 0 && !m.Failed && !g.preempted && !g.claimed {
		d.estimates.learn(g.ask, m.Tokens, held)
		if d.hold == 0 {
			d.hold = held.Seconds()
		}
		d.hold += paceWeight * (held.Seconds() - d.hold)
	}
	g.class.charge(g.ask.Organisation, float64(m.Tokens)-g.tokens)
	if !d.options.Policy.NoBreaker {
		d.breaker.RecordEnd(now, g.worker, m.First, m.Failed)
	}
	g.judged = true
}

// progress corrects a request's estimate, and renews its grant.
func (d *Dispatcher) progress(now time.Time, from string, m messenger.Progress) {
	if g := d.grants[m.Request]; g != nil && g.from == from {
		g.made = m.Tokens
		g.seen(now)
	}
}

// refuse answers a request that gets no place. early is how much too long it
// would have waited: after that long the queue should have room for it.
func (d *Dispatcher) refuse(w *waiter, reason string, early time.Duration) {
	after := max(early, shortestAfter)
	after += time.Duration(d.roll() * float64(after) / 2)
	d.gone.add(w.ask.Request, w.ask.Attempt)
	w.class.counts.Refused++
	d.send(w.from, messenger.Refuse{
		Request: w.ask.Request, Attempt: w.ask.Attempt, Cell: d.cell.Name, Reason: reason, After: after,
		Wait: d.expected(w.class, nil), Class: w.class.name,
	})
}

// roll is the next pseudo-random number from 0 to 1 (xorshift64*).
func (d *Dispatcher) roll() float64 {
	d.random ^= d.random >> 12
	d.random ^= d.random << 25
	d.random ^= d.random >> 27
	return float64((d.random*0x2545F4914F6CDD1D)>>11) / (1 << 53)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
