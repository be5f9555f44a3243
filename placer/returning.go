package placer

import "time"

const (
	// returnWeight is how many times the prefill time of a refused request must pass before the
	// next one is asked to retry: new requests arrive as well.
	returnWeight = 2.0
	// maxAwayShare is the maximum part of its remaining time for which a caller waits to retry.
	maxAwayShare = 1.0 / 3
)

// serviceRank identifies the requests of a service with the same rank.
type class struct {
	service string
	rank    int
}

// scheduleReturn returns the retry time of a refused request: when there is room, and the
// requests of its rank refused before it have been prefilled. Without it, requests that are
// refused together return together, and all but the first are refused again. Less urgent
// requests do not delay more urgent ones.
func (v *View) scheduleReturn(now time.Time, a Request, options []candidate, after time.Duration) time.Duration {
	own := 0.0
	for _, o := range options {
		own += o.ownTime / float64(len(options)*len(options))
	}
	at := now.Add(after)
	key := class{service: a.Service, rank: a.Rank}
	if b := v.returns[key]; b.After(at) {
		at = b
	}
	most := now.Add(time.Duration(maxAwayShare * float64(a.Left)))
	if at.After(most) {
		at = most
	}
	v.returns[key] = at.Add(milliseconds(returnWeight * own))
	return at.Sub(now)
}
