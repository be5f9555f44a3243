// Package dispatcher decides which waiting request gets which worker next.
//
// A Dispatcher schedules one cell: a group of workers of one service. Entry
// hosts ask it for a place, which is one of a worker's slots, and give the
// place back when the call is over. Requests belong to a class, classes belong
// to tiers, and tier 0 is the most urgent.
//
// A Dispatcher does no I/O and reads no clock: the caller passes the time in
// and sends the messages that are returned.
package dispatcher

import (
	"time"

	"github.com/cicadawood/cicadawood/breaker"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
)

// Reasons of a Refuse.
const (
	ReasonDeadline = "deadline" // the request waited until its deadline could no longer be met
	ReasonOverload = "overload" // the request would have to wait that long
)

// Output is a message to send to a host.
type Output struct {
	To      string
	Message messenger.Message
}

// Dispatcher holds the queue and the grants of one cell. It is not safe for
// concurrent use: the control goroutine owns it.
type Dispatcher struct {
	cell       Cell
	epoch      uint64
	granted    uint64 // grants given in this epoch
	options    Options
	rngState   uint64
	startedAt  time.Time
	averagedAt time.Time // when the moving means were last updated
	topClearAt time.Time // when last no request of the top tier waited that could still meet its target

	classes       map[string]*class
	classesByTier []*class // by tier, then name
	topTier       int      // the most urgent tier with a class

	waiting       map[string]*waiter       // by request
	byLatestStart heap[*waiter]            // all waiting requests
	byTargetStart heap[*waiter]            // waiting requests whose targetStart has not passed
	sequence      uint64                   // of the last request that was queued
	grants        map[string]*grant        // by request
	places        map[string]*workerPlaces // by worker; includes removed workers with places in use
	workers       []*workerPlaces          // of the cell, in name order
	workerNames   []string                 // of workers, in the same order
	slots         int                      // of all workers
	capacity      float64                  // slots, weighted by the breaker; see updateWeights
	used          int                      // places in use
	leaving       map[string]bool

	ended        tombstones
	estimator    estimator
	breaker      breaker.Breaker
	meanHold     float64         // seconds for which a request holds a place, moving mean; 0 before the first
	meanUsedUpTo map[int]float64 // by tier: places used by it and more urgent tiers, moving mean
	outputs      []Output        // of the present call
}

// New returns the dispatcher of a cell. A new dispatcher of a cell needs a
// higher epoch than the previous one had; an epoch that is too low is raised
// above those that the entries report.
func New(c Cell, epoch uint64, classes map[string]loader.Class, o Options) *Dispatcher {
	d := &Dispatcher{
		epoch: epoch, options: o, rngState: o.Seed | 1,
		classes: map[string]*class{}, waiting: map[string]*waiter{}, grants: map[string]*grant{},
		places: map[string]*workerPlaces{}, meanUsedUpTo: map[int]float64{},
	}
	d.byLatestStart = heap[*waiter]{
		less:  func(a, b *waiter) bool { return a.latestStart.Before(b.latestStart) },
		index: func(w *waiter) *int { return &w.latestIndex },
	}
	d.byTargetStart = heap[*waiter]{
		less:  func(a, b *waiter) bool { return a.targetStart.Before(b.targetStart) },
		index: func(w *waiter) *int { return &w.targetIndex },
	}
	d.Configure(c, classes)
	return d
}

// Configure sets the cell's workers and classes. A class that is missing from
// classes keeps its configuration.
func (d *Dispatcher) Configure(c Cell, classes map[string]loader.Class) {
	d.cell = c
	d.setWorkers(c.Workers)
	for name, config := range classes {
		d.class(name).config = config
	}
	d.sortClasses()
}

// Handle processes one message from a host and returns the resulting messages.
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
	d.schedule(now)
	return d.outputs
}

// Tick refuses requests that can no longer meet their deadline, reclaims places
// that no entry holds any more, and grants free places.
func (d *Dispatcher) Tick(now time.Time) []Output {
	d.begin(now)
	d.updateMeans(now)
	d.updateWeights()
	d.expire(now)
	d.updateTopClear(now)
	d.reclaim(now)
	d.schedule(now)
	return d.outputs
}

func (d *Dispatcher) begin(now time.Time) {
	if d.startedAt.IsZero() {
		d.startedAt, d.averagedAt = now, now
	}
	d.outputs = nil
}

// awaitingClaims reports whether claims of a previous dispatcher's grants may
// still arrive.
func (d *Dispatcher) awaitingClaims(now time.Time) bool { return now.Sub(d.startedAt) < claimWindow }

func (d *Dispatcher) send(to string, m messenger.Message) {
	d.outputs = append(d.outputs, Output{To: to, Message: m})
}

func (d *Dispatcher) ask(now time.Time, from string, a messenger.Ask) {
	d.raiseEpoch(a.Epoch)
	if d.ended.has(a.Request, a.Attempt) {
		return
	}
	if g := d.grants[a.Request]; g != nil && d.repeatedAsk(now, from, g, a) {
		return
	}
	if w := d.waiting[a.Request]; w != nil {
		// Repeated by an entry that received no answer: it keeps its position.
		w.from, w.ask.Attempt = from, max(w.ask.Attempt, a.Attempt)
		return
	}
	w := d.newWaiter(now, from, a)
	if wait, overloaded := d.overloaded(now, w); overloaded {
		d.refuse(w, ReasonOverload, wait-w.targetStart.Sub(now))
		return
	}
	d.waiting[a.Request] = w
	w.class.push(now, w)
	d.byLatestStart.push(w)
	d.byTargetStart.push(w)
}

// repeatedAsk handles an Ask for a request that already has a grant, and
// reports whether that settles it. Either the Grant was lost on its way and is
// sent again, or the entry is done with the granted place and asks for another.
func (d *Dispatcher) repeatedAsk(now time.Time, from string, g *grant, a messenger.Ask) bool {
	if a.Attempt < g.ask.Attempt {
		return true
	}
	if a.Attempt == g.ask.Attempt || (!g.preempted && !excluded(a, g.worker)) {
		g.from, g.ask.Attempt = from, a.Attempt
		g.renew(now)
		d.send(from, g.message(d))
		return true
	}
	d.free(now, g)
	return false
}

func (d *Dispatcher) newWaiter(now time.Time, from string, a messenger.Ask) *waiter {
	k := d.class(a.Class)
	w := &waiter{from: from, ask: a, class: k, askedAt: now, queueIndex: -1, latestIndex: -1, targetIndex: -1}
	d.sequence++
	w.sequence = d.sequence
	w.tokens, w.cost = d.estimator.estimate(a, 0, d.options.Policy)
	// Half of the deadline may be spent waiting even if the answer is expected to
	// take longer than the other half: such requests are still tried.
	longest := min(seconds(d.estimator.longest(a, d.options.Policy)), a.Deadline/2)
	w.latestStart = now.Add(a.Deadline - longest)
	w.targetStart = w.latestStart
	if first := k.config.FirstByteTarget.Std() - a.Waited; k.config.FirstByteTarget > 0 && a.Made == 0 && now.Add(first).Before(w.targetStart) {
		w.targetStart = now.Add(first)
	}
	return w
}

// remove takes a request out of the queue.
func (d *Dispatcher) remove(w *waiter) {
	delete(d.waiting, w.ask.Request)
	w.class.remove(w)
	d.byLatestStart.remove(w.latestIndex)
	if w.targetIndex >= 0 {
		d.byTargetStart.remove(w.targetIndex)
	}
}

// withdraw removes a request, whether it waits or holds a place. It leaves a
// tombstone for the case that a Cancel or Done overtakes its Ask: the Ask would
// otherwise wait for, or hold, a place for a call that is over.
func (d *Dispatcher) withdraw(now time.Time, request string, attempt uint64) {
	d.ended.add(request, attempt)
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

// learn updates the estimates, the organisation's served tokens and the
// breaker's record of the worker with the tokens and the time that a finished
// request used.
func (d *Dispatcher) learn(now time.Time, g *grant, m messenger.Done) {
	held := now.Sub(g.grantedAt)
	if m.Tokens > 0 && !m.Failed && !g.preempted && !g.claimed {
		d.estimator.learn(g.ask, m.Tokens, held)
		if d.meanHold == 0 {
			d.meanHold = held.Seconds()
		}
		d.meanHold += sampleWeight * (held.Seconds() - d.meanHold)
	}
	g.class.charge(g.ask.Organisation, float64(m.Tokens)-g.tokens)
	if !d.options.Policy.NoBreaker {
		d.breaker.RecordEnd(now, g.worker, m.First, m.Failed)
	}
	g.reportedToBreaker = true
}

// progress updates a request's generated tokens and renews its grant.
func (d *Dispatcher) progress(now time.Time, from string, m messenger.Progress) {
	if g := d.grants[m.Request]; g != nil && g.from == from {
		g.generated = m.Tokens
		g.renew(now)
	}
}

// refuse answers a request that gets no place. excess is by how much it would
// have waited too long: after that time the queue should have room for it.
func (d *Dispatcher) refuse(w *waiter, reason string, excess time.Duration) {
	after := max(excess, minRetryAfter)
	// Jitter: refused callers must not all return at the same time.
	after += time.Duration(d.nextRandom() * float64(after) / 2)
	d.ended.add(w.ask.Request, w.ask.Attempt)
	w.class.counts.Refused++
	d.send(w.from, messenger.Refuse{
		Request: w.ask.Request, Attempt: w.ask.Attempt, Cell: d.cell.Name, Reason: reason, RetryAfter: after,
		Wait: d.expectedWait(w.class, nil), Class: w.class.name,
	})
}

// nextRandom returns a pseudo-random number in [0, 1) (xorshift64*).
func (d *Dispatcher) nextRandom() float64 {
	d.rngState ^= d.rngState >> 12
	d.rngState ^= d.rngState << 25
	d.rngState ^= d.rngState >> 27
	return float64((d.rngState*0x2545F4914F6CDD1D)>>11) / (1 << 53)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
