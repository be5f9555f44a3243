package dispatcher

import (
	"cmp"
	"math"
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// averageOver is the time constant of how many places tiers and lines use.
const averageOver = 2 * time.Second

// average follows the places that each tier and those above it use.
func (d *Dispatcher) average(now time.Time) {
	weight := 1 - math.Exp(-now.Sub(d.updated).Seconds()/averageOver.Seconds())
	d.updated = now
	sum := 0
	for i, k := range d.order {
		k.average(weight)
		sum += k.held
		if i+1 < len(d.order) && d.order[i+1].config.Tier == k.config.Tier {
			continue
		}
		d.above[k.config.Tier] += weight * (float64(sum) - d.above[k.config.Tier])
	}
}

// expected is how long a request of a class that comes now is expected to wait;
// behind its own organisation's line l, or behind the whole class where l is nil.
func (d *Dispatcher) expected(k *class, l *line) time.Duration {
	if d.used < d.slots && k.waiting == 0 {
		return 0
	}
	ahead, above := 0.0, 0.0
	for _, o := range d.order {
		if o != k && o.config.Tier <= k.config.Tier {
			ahead += o.backlog
		}
		if o.config.Tier < k.config.Tier {
			above = d.above[o.config.Tier]
		}
	}
	places := d.capacity - above
	if k.config.Tier > d.top {
		places = max(places, float64(d.share(k)))
	} else {
		places -= d.reserve()
	}
	places = max(places, 1)
	return seconds(k.wait(l, places) + ahead/places + d.nextPlace())
}

// reserve is the part of a place that starving classes may take ahead of the top
// tier. The top tier is admitted as if they always did: whether it is refused
// does not depend on what the others ask for.
func (d *Dispatcher) reserve() float64 {
	if d.options.Policy.NoShare {
		return 0
	}
	longest := 0.0
	for _, k := range d.order {
		if p := d.estimates.paces[k.name]; p != nil && k.config.Tier > d.top {
			longest = max(longest, p.request)
		}
	}
	return longest / (longest + patience.Seconds())
}

// full says whether a request would wait too long to be of use, and how long it
// would. A class with an empty queue always takes one: it must progress.
func (d *Dispatcher) full(now time.Time, w *waiter) (time.Duration, bool) {
	if d.options.Policy.NoRefusal || w.class.waiting == 0 || d.gathering(now) {
		return 0, false
	}
	wait, slack := d.expected(w.class, w.class.lineOf(w.ask.Organisation)), w.due.Sub(now)
	margin := lowerMargin
	if w.class.config.Tier == d.top {
		margin = admitMargin
	}
	return wait, wait.Seconds() > margin*slack.Seconds()
}

// expire answers the requests that would miss their deadline if they started
// now.
func (d *Dispatcher) expire(now time.Time) {
	for len(d.soon.items) > 0 && !now.Before(d.soon.first().due) {
		w := d.soon.first()
		d.soon.remove(w.inSoon)
		// Only the top tier's: late ones at its head would hold a starving
		// class's place back for ever. Below it, keeping the turn is as good for
		// goodput and halves the worst waits.
		if !d.options.Policy.NoPostpone && w.class.config.Tier == d.top {
			w.class.postpone(w)
		}
	}
	for len(d.late.items) > 0 && !now.Before(d.late.first().end) {
		w := d.late.first()
		d.remove(w)
		d.refuse(w, ReasonDeadline, d.expected(w.class, nil))
	}
}

// preempt asks for places of lower tiers back where requests of the top tier
// would be late without. One that waits only for a place that comes in time
// anyway preempts nothing: that would be work thrown away.
func (d *Dispatcher) preempt(now time.Time) {
	if d.options.Policy.NoPreempt || len(d.waiting) == 0 {
		return
	}
	var first *waiter
	waiting, asked := 0, 0
	for _, k := range d.order {
		if k.config.Tier != d.top || k.waiting == 0 {
			continue
		}
		waiting += k.waiting
		if w := k.first(); first == nil || before(w, first) {
			first = w
		}
	}
	if first == nil || d.heldUnder(d.top) == 0 {
		return
	}
	slack := first.due.Sub(now).Seconds()
	if slack > 2*float64(waiting)*d.cautious(now) {
		return
	}
	for _, g := range d.grants {
		if g.preempted {
			asked++
		}
	}
	for ; asked < waiting; asked++ {
		g := d.victim(now, first)
		if g == nil {
			return
		}
		g.preempted = true
		g.class.counts.Preempted++
		d.send(g.from, messenger.Preempt{Request: g.ask.Request, Attempt: g.ask.Attempt, Cell: d.cell.Name})
	}
}

// cautious is nextPlace, but for a dispatcher that has seen no place come free
// yet: there the longest use so far counts. Without, one that starts among long
// answers hopes for a place at any moment, and its top tier misses its deadlines.
func (d *Dispatcher) cautious(now time.Time) float64 {
	if d.hold > 0 {
		return d.nextPlace()
	}
	longest := 0.0
	for _, g := range d.grants {
		longest = max(longest, now.Sub(g.at).Seconds())
	}
	return longest / float64(max(d.used, 1))
}

// victim is the grant that costs least to preempt for a request: of the lowest
// tier, and then the one with the most left to do, by what it was estimated and
// has made. Its place must be one that the request can take: else a lower tier
// gets it back, and is preempted again, without end.
func (d *Dispatcher) victim(now time.Time, w *waiter) *grant {
	var best *grant
	var most float64
	for _, g := range d.grants {
		if g.preempted || g.ask.NonPreemptible || g.class.config.Tier == d.top || !d.takes(now, w, g.worker) {
			continue
		}
		left, _ := d.estimates.estimate(g.ask, g.made, d.options.Policy)
		if best == nil || cmp.Or(cmp.Compare(g.class.config.Tier, best.class.config.Tier), cmp.Compare(left, most), cmp.Compare(g.order, best.order)) > 0 {
			best, most = g, left
		}
	}
	return best
}

// takes says whether a request could have a worker's next place.
func (d *Dispatcher) takes(now time.Time, w *waiter, worker string) bool {
	p := d.places[worker]
	if p.used > p.slots || d.leaving[worker] || excluded(w.ask, worker) {
		return false
	}
	return d.options.Policy.NoBreaker || d.breaker.Allowed(now, worker)
}
