package placer

import (
	"slices"
	"time"
)

// recentTargetFor is how long the target of a request is remembered. Pauses within a burst are
// shorter.
const recentTargetFor = 10 * time.Second

// recentTargets is the targets of recent requests, by service.
type recentTargets map[string][]recentTarget

// recentTarget is a target with which requests of a rank and a route's tier arrived.
type recentTarget struct {
	rank, tier int
	target     time.Duration
	at         time.Time // latest arrival
}

// note records the arrival of a request.
func (d recentTargets) note(now time.Time, a Request) {
	kept := d[a.Service][:0]
	known := false
	for _, x := range d[a.Service] {
		if x.rank == a.Rank && x.tier == a.Tier && x.target == a.Target {
			known, x.at = true, now
		}
		if now.Sub(x.at) < recentTargetFor {
			kept = append(kept, x)
		}
	}
	if !known {
		kept = append(kept, recentTarget{rank: a.Rank, tier: a.Tier, target: a.Target, at: now})
	}
	d[a.Service] = kept
}

// tightest returns the shortest target among this request and recent ones that are at least as
// urgent.
func (d recentTargets) tightest(a Request) time.Duration {
	least := a.Target
	for _, x := range d[a.Service] {
		if x.rank <= a.Rank && x.target > 0 && x.target < least {
			least = x.target
		}
	}
	return least
}

// leastUrgent reports whether no request of a less urgent route arrived recently.
func (d recentTargets) leastUrgent(a Request) bool {
	return !slices.ContainsFunc(d[a.Service], func(x recentTarget) bool { return x.tier > a.Tier })
}
