package dispatcher

import (
	"cmp"
	"math"
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// meanTimeConstant is the time constant of the moving means of places in use.
const meanTimeConstant = 2 * time.Second

// updateMeans updates the mean number of places in use by each organisation
// queue, and by each tier together with the more urgent ones.
func (d *Dispatcher) updateMeans(now time.Time) {
	weight := 1 - math.Exp(-now.Sub(d.averagedAt).Seconds()/meanTimeConstant.Seconds())
	d.averagedAt = now
	sum := 0
	for i, k := range d.classesByTier {
		k.updateMeans(weight)
		sum += k.used
		if i+1 < len(d.classesByTier) && d.classesByTier[i+1].config.Tier == k.config.Tier {
			continue
		}
		d.meanUsedUpTo[k.config.Tier] += weight * (float64(sum) - d.meanUsedUpTo[k.config.Tier])
	}
}

// expectedWait returns how long a request of class k that arrives now is
// expected to wait: behind its organisation's queue q, or behind the whole
// class if q is nil.
func (d *Dispatcher) expectedWait(k *class, q *orgQueue) time.Duration {
	if d.used < d.slots && k.waiting == 0 {
		return 0
	}
	ahead, above := 0.0, 0.0
	for _, o := range d.classesByTier {
		if o != k && o.config.Tier <= k.config.Tier {
			ahead += o.backlog
		}
		if o.config.Tier < k.config.Tier {
			above = d.meanUsedUpTo[o.config.Tier]
		}
	}
	places := d.capacity - above
	if k.config.Tier > d.topTier {
		places = max(places, float64(d.share(k)))
	} else {
		places -= d.starvingReserve()
	}
	places = max(places, 1)
	return seconds(k.expectedWait(q, places) + ahead/places + d.nextPlace())
}

// starvingReserve returns the fraction of a place that starving classes may
// take ahead of the top tier. The top tier is admitted as if they always took
// it, so that its refusals don't depend on the load of the other tiers.
func (d *Dispatcher) starvingReserve() float64 {
	if d.options.Policy.NoShare {
		return 0
	}
	longest := 0.0
	for _, k := range d.classesByTier {
		if p := d.estimator.holdTimes[k.name]; p != nil && k.config.Tier > d.topTier {
			longest = max(longest, p.perRequest)
		}
	}
	return longest / (longest + starvationTime.Seconds())
}

// overloaded reports whether a request would wait too long to be of use, and
// how long it would wait. A class with an empty queue always accepts a request,
// so that every class makes progress.
func (d *Dispatcher) overloaded(now time.Time, w *waiter) (time.Duration, bool) {
	if d.options.Policy.NoRefusal || w.class.waiting == 0 || d.awaitingClaims(now) {
		return 0, false
	}
	wait, slack := d.expectedWait(w.class, w.class.queueOf(w.ask.Organisation)), w.targetStart.Sub(now)
	margin := lowerTierMargin
	if w.class.config.Tier == d.topTier {
		margin = topTierMargin
	}
	return wait, wait.Seconds() > margin*slack.Seconds()
}

// expire postpones requests that missed their targets and refuses those that
// would miss their deadline if they started now.
func (d *Dispatcher) expire(now time.Time) {
	for len(d.byTargetStart.items) > 0 && !now.Before(d.byTargetStart.first().targetStart) {
		w := d.byTargetStart.first()
		d.byTargetStart.remove(w.targetIndex)
		// Only in the top tier: there, late requests at the head would keep a
		// starving class from its place indefinitely. In lower tiers, requests that
		// keep their turn give the same goodput and half the worst-case wait.
		if !d.options.Policy.NoPostpone && w.class.config.Tier == d.topTier {
			w.class.postpone(w)
		}
	}
	for len(d.byLatestStart.items) > 0 && !now.Before(d.byLatestStart.first().latestStart) {
		w := d.byLatestStart.first()
		d.remove(w)
		d.refuse(w, ReasonDeadline, d.expectedWait(w.class, nil))
	}
}

// preempt asks for places of lower tiers back if requests of the top tier would
// otherwise be late. A request for which a place becomes free in time anyway
// preempts nothing: the work on the preempted place would be wasted.
func (d *Dispatcher) preempt(now time.Time) {
	if d.options.Policy.NoPreempt || len(d.waiting) == 0 {
		return
	}
	var first *waiter
	waiting, asked := 0, 0
	for _, k := range d.classesByTier {
		if k.config.Tier != d.topTier || k.waiting == 0 {
			continue
		}
		waiting += k.waiting
		if w := k.first(); first == nil || before(w, first) {
			first = w
		}
	}
	if first == nil || d.usedBelow(d.topTier) == 0 {
		return
	}
	slack := first.targetStart.Sub(now).Seconds()
	if slack > 2*float64(waiting)*d.cautiousNextPlace(now) {
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

// cautiousNextPlace is nextPlace, but takes the longest use so far as the mean
// while no place has become free yet. A dispatcher that starts among long
// answers would otherwise expect a free place at any moment, and its top tier
// would miss its deadlines.
func (d *Dispatcher) cautiousNextPlace(now time.Time) float64 {
	if d.meanHold > 0 {
		return d.nextPlace()
	}
	longest := 0.0
	for _, g := range d.grants {
		longest = max(longest, now.Sub(g.grantedAt).Seconds())
	}
	return longest / float64(max(d.used, 1))
}

// victim returns the grant that is cheapest to preempt for w: one of the lowest
// tier, and of those the one with the most work left, by its estimate and its
// generated tokens. w must be able to use its place: otherwise a lower tier
// would get the place again and be preempted again, without end.
func (d *Dispatcher) victim(now time.Time, w *waiter) *grant {
	var best *grant
	var mostRemaining float64
	for _, g := range d.grants {
		if g.preempted || g.ask.NonPreemptible || g.class.config.Tier == d.topTier || !d.canTake(now, w, g.worker) {
			continue
		}
		remaining, _ := d.estimator.estimate(g.ask, g.generated, d.options.Policy)
		if best == nil || cmp.Or(cmp.Compare(g.class.config.Tier, best.class.config.Tier), cmp.Compare(remaining, mostRemaining), cmp.Compare(g.order, best.order)) > 0 {
			best, mostRemaining = g, remaining
		}
	}
	return best
}

// canTake reports whether a request could use a worker's next free place.
func (d *Dispatcher) canTake(now time.Time, w *waiter, worker string) bool {
	p := d.places[worker]
	if p.used > p.slots || d.leaving[worker] || excluded(w.ask, worker) {
		return false
	}
	return d.options.Policy.NoBreaker || d.breaker.Allowed(now, worker)
}
