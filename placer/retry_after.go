package placer

import "time"

const (
	// retryWeight is how many times the prefill time of a refused request must pass before the
	// next one is asked to retry: new requests arrive as well.
	retryWeight = 2.0
	// maxRetryShare is the maximum part of its remaining time for which a caller waits to retry.
	maxRetryShare = 1.0 / 3
)

// serviceRank identifies the requests of a service with the same rank.
type serviceRank struct {
	service string
	rank    int
}

// scheduleRetry returns the retry time of a refused request: when there is room, and the
// requests of its rank refused before it have been prefilled. Without it, requests that are
// refused together return together, and all but the first are refused again. Less urgent
// requests do not delay more urgent ones.
func (v *View) scheduleRetry(now time.Time, req Request, candidates []candidate, after time.Duration) time.Duration {
	prefill := 0.0
	for _, c := range candidates {
		prefill += c.ownTime / float64(len(candidates)*len(candidates))
	}
	at := now.Add(after)
	key := serviceRank{service: req.Service, rank: req.Rank}
	if b := v.nextRetries[key]; b.After(at) {
		at = b
	}
	latest := now.Add(time.Duration(maxRetryShare * float64(req.Left)))
	if at.After(latest) {
		at = latest
	}
	v.nextRetries[key] = at.Add(milliseconds(retryWeight * prefill))
	return at.Sub(now)
}
