package placer

import (
	"slices"
	"time"
)

// demandFor is how long it is remembered that requests with a target came: a burst's
// pauses are shorter.
const demandFor = 10 * time.Second

// demands is what requests came lately, by service.
type demands map[string][]demand

// demand is that requests of a rank and a route's tier came with a target.
type demand struct {
	rank, tier int
	target     time.Duration
	at         time.Time // the last one
}

// note takes that a request came.
func (d demands) note(now time.Time, a Request) {
	kept := d[a.Service][:0]
	known := false
	for _, x := range d[a.Service] {
		if x.rank == a.Rank && x.tier == a.Tier && x.target == a.Target {
			known, x.at = true, now
		}
		if now.Sub(x.at) < demandFor {
			kept = append(kept, x)
		}
	}
	if !known {
		kept = append(kept, demand{rank: a.Rank, tier: a.Tier, target: a.Target, at: now})
	}
	d[a.Service] = kept
}

// tightest is the shortest target of requests that came lately and are as urgent as this
// one, or more, its own among them.
func (d demands) tightest(a Request) time.Duration {
	least := a.Target
	for _, x := range d[a.Service] {
		if x.rank <= a.Rank && x.target > 0 && x.target < least {
			least = x.target
		}
	}
	return least
}

// leastUrgent says that no request of a less urgent route than this one's came lately.
func (d demands) leastUrgent(a Request) bool {
	return !slices.ContainsFunc(d[a.Service], func(x demand) bool { return x.tier > a.Tier })
}
