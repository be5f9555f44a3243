package dispatcher

import (
	"slices"
	"strings"
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
)

// grantedBits is the number of low bits of a grant's order that count the
// grants of an epoch. The epoch is in the high bits, so that orders also
// increase from one dispatcher of a cell to the next.
const grantedBits = 22

// workerPlaces is the places of one worker.
type workerPlaces struct {
	name   string
	slots  int // 0 if the worker has left the cell
	used   int
	weight float64 // relative to the other workers, by the breaker
}

// grant is a place in use by a request.
type grant struct {
	from              string
	ask               messenger.Ask
	worker            string
	class             *class
	grantedAt         time.Time
	expiresAt         time.Time // its entry has cut the call off by then
	order             uint64
	tokens            float64 // of output, estimated
	generated         int     // tokens that the entry reported
	claimed           bool    // given by a previous dispatcher
	preempted         bool    // its entry was asked to give it back
	reportedToBreaker bool
	renewedAt         time.Time // last sign of its entry
	orphanedAt        time.Time // when its host failed; zero if it did not
}

// renew notes that the entry still holds the grant.
func (g *grant) renew(now time.Time) { g.renewedAt, g.orphanedAt = now, time.Time{} }

func (g *grant) message(d *Dispatcher) messenger.Grant {
	return messenger.Grant{
		Request: g.ask.Request, Attempt: g.ask.Attempt, Cell: d.cell.Name, Worker: g.worker,
		Epoch: d.epoch, Order: g.order, Wait: d.expectedWait(g.class, nil), Class: g.class.name,
	}
}

func (d *Dispatcher) setWorkers(workers []loader.Worker) {
	for _, p := range d.places {
		p.slots = 0
	}
	d.workers, d.slots = d.workers[:0], 0
	d.workerNames = nil
	for _, w := range workers {
		p := d.placesOf(w.Name)
		p.slots, p.weight = w.Slots, 1
		d.workers = append(d.workers, p)
		d.slots += w.Slots
	}
	slices.SortFunc(d.workers, func(a, b *workerPlaces) int { return strings.Compare(a.name, b.name) })
	for _, p := range d.workers {
		d.workerNames = append(d.workerNames, p.name)
	}
	for name, p := range d.places {
		if p.slots == 0 && p.used == 0 {
			delete(d.places, name)
		}
	}
	d.breaker.Retain(d.workerNames)
	d.capacity = float64(d.slots)
}

// updateWeights reads the workers' weights from the breaker and sums the
// capacity that requests can expect. Counting the places of workers that are
// out of use would make every expected wait too short.
func (d *Dispatcher) updateWeights() {
	if d.options.Policy.NoBreaker {
		return
	}
	d.capacity = 0
	weights := d.breaker.Weights(d.workerNames)
	for i, p := range d.workers {
		p.weight = weights[i]
		if !d.leaving[p.name] {
			d.capacity += p.weight * float64(p.slots)
		}
	}
	d.capacity = max(d.capacity, 1)
}

// SetLeaving sets the workers that get no new requests; their calls in flight
// continue.
func (d *Dispatcher) SetLeaving(workers map[string]bool) { d.leaving = workers }

// placesOf returns the places of a worker and adds the worker if it is unknown.
func (d *Dispatcher) placesOf(worker string) *workerPlaces {
	p := d.places[worker]
	if p == nil {
		p = &workerPlaces{name: worker}
		d.places[worker] = p
	}
	return p
}

// usable reports whether a worker may get a request.
func (d *Dispatcher) usable(now time.Time, p *workerPlaces) bool {
	if p.used >= p.slots || d.leaving[p.name] {
		return false
	}
	return d.options.Policy.NoBreaker || d.breaker.Allowed(now, p.name)
}

// pickWorker returns the worker for a request: of those with the highest weight
// the one with the largest part of its places free. Only this dispatcher's own
// count is used, as load reports lag behind its latest grants. Slow workers,
// whose weight is lower, come last but still get requests when all others are
// full.
func (d *Dispatcher) pickWorker(now time.Time, a messenger.Ask) *workerPlaces {
	var best *workerPlaces
	for _, p := range d.workers {
		better := best == nil || p.weight > best.weight ||
			(p.weight == best.weight && (p.slots-p.used)*best.slots > (best.slots-best.used)*p.slots)
		if better && !excluded(a, p.name) && d.usable(now, p) {
			best = p
		}
	}
	return best
}

func excluded(a messenger.Ask, worker string) bool { return slices.Contains(a.Exclude, worker) }

// hasRoom reports whether any worker may get a request.
func (d *Dispatcher) hasRoom(now time.Time) bool {
	if d.used >= d.slots {
		return false
	}
	return slices.ContainsFunc(d.workers, func(p *workerPlaces) bool { return d.usable(now, p) })
}

// grant gives a waiting request a place on a worker.
func (d *Dispatcher) grant(now time.Time, w *waiter, p *workerPlaces) {
	d.remove(w)
	d.granted++
	if d.granted >= 1<<grantedBits {
		d.epoch, d.granted = d.epoch+1, 1
	}
	g := &grant{
		from: w.from, ask: w.ask, worker: p.name, class: w.class, grantedAt: now, renewedAt: now, tokens: w.tokens,
		expiresAt: w.askedAt.Add(w.ask.Deadline + orphanGrace),
		order:     d.epoch<<grantedBits | d.granted,
	}
	d.occupy(g, p)
	w.class.unservedSince = now
	w.class.counts.Granted++
	w.class.charge(w.ask.Organisation, w.tokens)
	d.breaker.RecordGrant(p.name)
	d.send(w.from, g.message(d))
}

// occupy stores a grant and counts its place as used.
func (d *Dispatcher) occupy(g *grant, p *workerPlaces) {
	d.grants[g.ask.Request] = g
	p.used++
	d.used++
	g.class.used++
	g.class.queueOf(g.ask.Organisation).used++
}

// free removes a grant and counts its place as free.
func (d *Dispatcher) free(now time.Time, g *grant) {
	delete(d.grants, g.ask.Request)
	p := d.placesOf(g.worker)
	p.used--
	d.used--
	g.class.used--
	q := g.class.queueOf(g.ask.Organisation)
	q.used--
	g.class.prune(q)
	if p.slots == 0 && p.used == 0 {
		delete(d.places, p.name)
	}
	if !g.reportedToBreaker {
		d.breaker.RecordEnd(now, g.worker, 0, false)
	}
}
