package placer

import (
	"slices"
	"time"
)

// recentTargetFor is how long the target of a request is remembered. Pauses within a burst are
// shorter.
const recentTargetFor = 10 * time.Second

// recentTargets holds the targets of recent requests, by service.
type recentTargets map[string][]recentTarget

// recentTarget is a target with which requests of a rank and a route's tier arrived.
type recentTarget struct {
	rank, tier int
	target     time.Duration
	at         time.Time // latest arrival
}

// note records the arrival of a request.
func (t recentTargets) note(now time.Time, req Request) {
	recent := t[req.Service][:0]
	known := false
	for _, x := range t[req.Service] {
		if x.rank == req.Rank && x.tier == req.Tier && x.target == req.Target {
			known, x.at = true, now
		}
		if now.Sub(x.at) < recentTargetFor {
			recent = append(recent, x)
		}
	}
	if !known {
		recent = append(recent, recentTarget{rank: req.Rank, tier: req.Tier, target: req.Target, at: now})
	}
	t[req.Service] = recent
}

// tightest returns the shortest target among this request and recent ones that are at least as
// urgent.
func (t recentTargets) tightest(req Request) time.Duration {
	tightest := req.Target
	for _, x := range t[req.Service] {
		if x.rank <= req.Rank && x.target > 0 && x.target < tightest {
			tightest = x.target
		}
	}
	return tightest
}

// leastUrgent reports whether no request of a less urgent route arrived recently.
func (t recentTargets) leastUrgent(req Request) bool {
	return !slices.ContainsFunc(t[req.Service], func(x recentTarget) bool { return x.tier > req.Tier })
}
