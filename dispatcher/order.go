package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
)

// unknownTier is the tier of a class that this host's configuration lacks.
const unknownTier = 1 << 20

func (d *Dispatcher) class(name string) *class {
	k := d.classes[name]
	if k == nil {
		k = newClass(name, loader.Class{Tier: unknownTier}, !d.options.Policy.NoFairness)
		d.classes[name] = k
		d.sortClasses()
	}
	return k
}

func (d *Dispatcher) sortClasses() {
	d.order, d.top = d.order[:0], unknownTier
	for _, k := range d.classes {
		d.order = append(d.order, k)
		d.top = min(d.top, k.config.Tier)
	}
	slices.SortFunc(d.order, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.config.Tier, b.config.Tier), cmp.Compare(a.name, b.name))
	})
}

// fill grants what has room, then preempts for the top tier what still waits.
func (d *Dispatcher) fill(now time.Time) {
	if len(d.waiting) == 0 || d.gathering(now) {
		return
	}
	var blocked []*class // its first request excludes every worker with room
	for d.room(now) {
		k := d.next(now, blocked)
		if k == nil {
			break
		}
		w := k.first()
		p := d.pick(now, w.ask)
		if p == nil && d.excludesAll(w.ask) {
			w.ask.Exclude = nil // better a worker that failed it once than none
			p = d.pick(now, w.ask)
		}
		if p == nil {
			blocked = append(blocked, k)
			continue
		}
		d.grant(now, w, p)
	}
	d.preempt(now)
}

func (d *Dispatcher) excludesAll(a messenger.Ask) bool {
	return !slices.ContainsFunc(d.workers, func(p *place) bool { return !excluded(a, p.name) })
}

// next is the class whose first request gets the next place: the top tier's,
// unless it can spare the place for a starving class; else a class under its
// share; else the most urgent.
func (d *Dispatcher) next(now time.Time, blocked []*class) *class {
	var best, under *class
	for _, k := range d.order {
		if k.waiting == 0 || slices.Contains(blocked, k) {
			continue
		}
		if best == nil || (k.config.Tier == best.config.Tier && before(k.first(), best.first())) {
			best = k
		}
		if k.held < d.share(k) && (under == nil || d.poorer(k, under)) {
			under = k
		}
	}
	if best == nil {
		return nil
	}
	if best.config.Tier > d.top {
		return cmp.Or(under, best)
	}
	if s := d.starving(now, blocked); s != nil && d.spares(now, best.first()) {
		return s
	}
	return best
}

// poorer says whether a has less of its share than b, or as little for longer.
func (d *Dispatcher) poorer(a, b *class) bool {
	if x, y := a.held*d.share(b), b.held*d.share(a); x != y {
		return x < y
	}
	return a.fed.Before(b.fed)
}

// share is the places that a class is guaranteed against all but the top tier.
// Holding them whenever it waits is its part of the worker time.
func (d *Dispatcher) share(k *class) int {
	if d.options.Policy.NoShare {
		return 0
	}
	return max(1, int(k.config.Share*float64(d.slots)))
}

// starving is the class under the top tier that waits longest with no place in
// use, once that is longer than its patience. While any class under the top
// tier has a place none is starving: so at most one place of a cell is ever
// taken ahead of the top tier.
func (d *Dispatcher) starving(now time.Time, blocked []*class) *class {
	if d.options.Policy.NoShare || d.heldUnder(d.top) > 0 {
		return nil
	}
	var longest *class
	for _, k := range d.order {
		if k.config.Tier == d.top || k.waiting == 0 || now.Sub(k.fed) < patience || slices.Contains(blocked, k) {
			continue
		}
		if longest == nil || k.fed.Before(longest.fed) {
			longest = k
		}
	}
	return longest
}

// heldUnder is the places in use by tiers under this one.
func (d *Dispatcher) heldUnder(tier int) int {
	n := 0
	for _, k := range d.order {
		if k.config.Tier > tier {
			n += k.held
		}
	}
	return n
}

// spares says whether the next place can go to another than the top tier's
// first request: that request must still start in time, and none of the tier may
// be late that could have the place. Late ones go behind those in time, so once
// these have kept every place busy for as long as a class must starve, no late
// one gets a place in any case.
func (d *Dispatcher) spares(now time.Time, w *waiter) bool {
	if w.late || w.due.Sub(now) <= seconds(spareFactor*d.nextPlace()) {
		return false
	}
	_, late := d.topWaiting()
	return late == 0 || now.Sub(d.calm) >= patience
}

// topWaiting is the top tier's waiting requests, in time and late.
func (d *Dispatcher) topWaiting() (inTime, late int) {
	for _, k := range d.order {
		if k.config.Tier == d.top {
			inTime += k.waiting - k.late
			late += k.late
		}
	}
	return inTime, late
}

// nextPlace is the seconds until a place is expected to become free.
func (d *Dispatcher) nextPlace() float64 { return d.hold / float64(max(d.used, 1)) }
