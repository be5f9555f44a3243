package dispatcher

import (
	"slices"
	"strings"
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
)

// ordersBits is the low part of a grant's order, which counts the grants of an
// epoch; the epoch is the high part, so that it grows from one dispatcher of a
// cell to the next too.
const ordersBits = 22

// place is one worker's room.
type place struct {
	name  string
	slots int // 0 where the worker is no longer of the cell
	used  int
	worth float64 // beside its peers, by the breaker; kept by weigh
}

// grant is a place in use.
type grant struct {
	from      string
	ask       messenger.Ask
	worker    string
	class     *class
	at        time.Time
	ends      time.Time // its entry has cut it by then
	order     uint64
	tokens    float64 // estimated
	made      int
	claimed   bool // of an earlier dispatcher
	preempted bool
	judged    bool // the breaker has its result
	renewed   time.Time
	orphaned  time.Time // its host was lost
}

// seen notes that a grant's entry still holds it.
func (g *grant) seen(now time.Time) { g.renewed, g.orphaned = now, time.Time{} }

func (g *grant) message(d *Dispatcher) messenger.Grant {
	return messenger.Grant{
		Request: g.ask.Request, Attempt: g.ask.Attempt, Cell: d.cell.Name, Worker: g.worker,
		Epoch: d.epoch, Order: g.order, Wait: d.expected(g.class, nil), Class: g.class.name,
	}
}

func (d *Dispatcher) setWorkers(workers []loader.Worker) {
	for _, p := range d.places {
		p.slots = 0
	}
	d.workers, d.slots = d.workers[:0], 0
	d.names = nil
	for _, w := range workers {
		p := d.place(w.Name)
		p.slots, p.worth = w.Slots, 1
		d.workers = append(d.workers, p)
		d.slots += w.Slots
	}
	slices.SortFunc(d.workers, func(a, b *place) int { return strings.Compare(a.name, b.name) })
	for _, p := range d.workers {
		d.names = append(d.names, p.name)
	}
	for name, p := range d.places {
		if p.slots == 0 && p.used == 0 {
			delete(d.places, name)
		}
	}
	d.breaker.Retain(d.names)
	d.capacity = float64(d.slots)
}

// weigh asks the breaker what each worker is worth, and sums the places that
// requests can expect: those of a worker that is out would make every expected
// wait too short.
func (d *Dispatcher) weigh() {
	if d.options.Policy.NoBreaker {
		return
	}
	d.capacity = 0
	weights := d.breaker.Weights(d.names)
	for i, p := range d.workers {
		p.worth = weights[i]
		if !d.leaving[p.name] {
			d.capacity += p.worth * float64(p.slots)
		}
	}
	d.capacity = max(d.capacity, 1)
}

// SetLeaving names the workers that get nothing new; what they have stays.
func (d *Dispatcher) SetLeaving(workers map[string]bool) { d.leaving = workers }

func (d *Dispatcher) place(worker string) *place {
	p := d.places[worker]
	if p == nil {
		p = &place{name: worker}
		d.places[worker] = p
	}
	return p
}

// usable says whether a worker may get a request.
func (d *Dispatcher) usable(now time.Time, p *place) bool {
	if p.used >= p.slots || d.leaving[p.name] {
		return false
	}
	return d.options.Policy.NoBreaker || d.breaker.Allowed(now, p.name)
}

// pick is the worker with the most room for a request, by this dispatcher's own
// count: a report lags behind what was granted since. A slow one comes last: it
// is still worth its part when all others are full.
func (d *Dispatcher) pick(now time.Time, a messenger.Ask) *place {
	var best *place
	for _, p := range d.workers {
		better := best == nil || p.worth > best.worth ||
			(p.worth == best.worth && (p.slots-p.used)*best.slots > (best.slots-best.used)*p.slots)
		if better && !excluded(a, p.name) && d.usable(now, p) {
			best = p
		}
	}
	return best
}

func excluded(a messenger.Ask, worker string) bool { return slices.Contains(a.Exclude, worker) }

// room says whether any worker may get a request.
func (d *Dispatcher) room(now time.Time) bool {
	if d.used >= d.slots {
		return false
	}
	return slices.ContainsFunc(d.workers, func(p *place) bool { return d.usable(now, p) })
}

// grant gives a waiting request a place.
func (d *Dispatcher) grant(now time.Time, w *waiter, p *place) {
	d.remove(w)
	d.orders++
	if d.orders >= 1<<ordersBits {
		d.epoch, d.orders = d.epoch+1, 1
	}
	g := &grant{
		from: w.from, ask: w.ask, worker: p.name, class: w.class, at: now, renewed: now, tokens: w.tokens,
		ends:  w.asked.Add(w.ask.Deadline + orphanGrace),
		order: d.epoch<<ordersBits | d.orders,
	}
	d.occupy(g, p)
	w.class.fed = now
	w.class.counts.Granted++
	w.class.charge(w.ask.Organisation, w.tokens)
	d.breaker.RecordGrant(p.name)
	d.send(w.from, g.message(d))
}

// occupy counts a grant's place as used.
func (d *Dispatcher) occupy(g *grant, p *place) {
	d.grants[g.ask.Request] = g
	p.used++
	d.used++
	g.class.held++
	g.class.lineOf(g.ask.Organisation).held++
}

// free gives a grant's place back.
func (d *Dispatcher) free(now time.Time, g *grant) {
	delete(d.grants, g.ask.Request)
	p := d.place(g.worker)
	p.used--
	d.used--
	g.class.held--
	l := g.class.lineOf(g.ask.Organisation)
	l.held--
	g.class.forget(l)
	if p.slots == 0 && p.used == 0 {
		delete(d.places, p.name)
	}
	if !g.judged {
		d.breaker.RecordEnd(now, g.worker, 0, false)
	}
}
