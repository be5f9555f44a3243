package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
)

// unknownTier is the tier of a class that is missing from this host's
// configuration: behind all others.
const unknownTier = 1 << 20

// class returns the class of a name and adds it if it is not configured.
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
	d.classesByTier, d.topTier = d.classesByTier[:0], unknownTier
	for _, k := range d.classes {
		d.classesByTier = append(d.classesByTier, k)
		d.topTier = min(d.topTier, k.config.Tier)
	}
	slices.SortFunc(d.classesByTier, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.config.Tier, b.config.Tier), cmp.Compare(a.name, b.name))
	})
}

// schedule grants free places, then preempts for requests of the top tier that
// still wait.
func (d *Dispatcher) schedule(now time.Time) {
	if len(d.waiting) == 0 || d.awaitingClaims(now) {
		return
	}
	var blocked []*class // classes whose first request excludes every worker with room
	for d.hasRoom(now) {
		k := d.nextClass(now, blocked)
		if k == nil {
			break
		}
		w := k.first()
		p := d.pickWorker(now, w.ask)
		if p == nil && d.excludesAll(w.ask) {
			w.ask.Exclude = nil // a worker that failed the request before is better than none
			p = d.pickWorker(now, w.ask)
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
	return !slices.ContainsFunc(d.workers, func(p *workerPlaces) bool { return !excluded(a, p.name) })
}

// nextClass returns the class whose first request gets the next place: the top
// tier's, unless that can spare the place for a starving class; otherwise the
// class furthest below its share; otherwise the most urgent.
func (d *Dispatcher) nextClass(now time.Time, blocked []*class) *class {
	var best, underShare *class
	for _, k := range d.classesByTier {
		if k.waiting == 0 || slices.Contains(blocked, k) {
			continue
		}
		if best == nil || (k.config.Tier == best.config.Tier && before(k.first(), best.first())) {
			best = k
		}
		if k.used < d.share(k) && (underShare == nil || d.furtherBelowShare(k, underShare)) {
			underShare = k
		}
	}
	if best == nil {
		return nil
	}
	if best.config.Tier > d.topTier {
		return cmp.Or(underShare, best)
	}
	if s := d.starving(now, blocked); s != nil && d.canSpare(now, best.first()) {
		return s
	}
	return best
}

// furtherBelowShare reports whether a uses a smaller part of its share than b,
// or an equal part and has waited longer for a grant.
func (d *Dispatcher) furtherBelowShare(a, b *class) bool {
	if x, y := a.used*d.share(b), b.used*d.share(a); x != y {
		return x < y
	}
	return a.unservedSince.Before(b.unservedSince)
}

// share returns the number of places that a class is guaranteed against all but
// the top tier. A class that uses them whenever it has requests gets its
// configured part of the worker time.
func (d *Dispatcher) share(k *class) int {
	if d.options.Policy.NoShare {
		return 0
	}
	return max(1, int(k.config.Share*float64(d.slots)))
}

// starving returns the class below the top tier that has waited longest with no
// place in use, if that is longer than starvationTime. While any class below
// the top tier has a place, none is starving: at most one place of a cell is
// ever granted ahead of the top tier.
func (d *Dispatcher) starving(now time.Time, blocked []*class) *class {
	if d.options.Policy.NoShare || d.usedBelow(d.topTier) > 0 {
		return nil
	}
	var longest *class
	for _, k := range d.classesByTier {
		if k.config.Tier == d.topTier || k.waiting == 0 || now.Sub(k.unservedSince) < starvationTime || slices.Contains(blocked, k) {
			continue
		}
		if longest == nil || k.unservedSince.Before(longest.unservedSince) {
			longest = k
		}
	}
	return longest
}

// usedBelow returns the number of places in use by tiers below the given one.
func (d *Dispatcher) usedBelow(tier int) int {
	n := 0
	for _, k := range d.classesByTier {
		if k.config.Tier > tier {
			n += k.used
		}
	}
	return n
}

// canSpare reports whether the next place can go to another class instead of w,
// the top tier's first request. w must still start in time, and no postponed
// request of the tier may be waiting that could have the place. Postponed
// requests come after those in time: once requests in time have been waiting
// without a break for starvationTime, no postponed one would get a place in any
// case.
func (d *Dispatcher) canSpare(now time.Time, w *waiter) bool {
	if w.postponed || w.targetStart.Sub(now) <= seconds(spareFactor*d.nextPlace()) {
		return false
	}
	_, postponed := d.topWaiting()
	return postponed == 0 || now.Sub(d.topClearAt) >= starvationTime
}

// topWaiting returns the number of waiting requests of the top tier, in time
// and postponed.
func (d *Dispatcher) topWaiting() (inTime, postponed int) {
	for _, k := range d.classesByTier {
		if k.config.Tier == d.topTier {
			inTime += k.waiting - k.postponed
			postponed += k.postponed
		}
	}
	return inTime, postponed
}

// nextPlace returns the expected seconds until a place becomes free.
func (d *Dispatcher) nextPlace() float64 { return d.meanHold / float64(max(d.used, 1)) }
