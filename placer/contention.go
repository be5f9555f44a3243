package placer

import (
	"math"
	"time"
)

// contention is the effect of the requests at a worker on one more.
type contention struct {
	// tightStreams is the number of streams whose target for pauses a prefill would break.
	// Those more urgent than the request count urgentWeight times.
	tightStreams float64
	// urgentCount is the number of requests of more urgent routes.
	urgentCount int
	// lag is how many milliseconds the worker is behind its prediction, and urgentLag the same
	// for requests that are at least as urgent as this one.
	lag, urgentLag float64
}

// contention computes the effect in one pass over the worker's flights.
func (w *worker) contention(now time.Time, req Request) contention {
	var c contention
	tightLimit := milliseconds(tightFactor * w.maxPrefillPause())
	overhead := w.overhead()
	for _, f := range w.flights {
		if f.Tier < req.Tier {
			c.urgentCount++
		}
		if f.Gap > 0 && f.Gap < tightLimit {
			c.tightStreams += f.pauseWeight(req.Rank)
		}
		if f.begun || f.prefilledAt.IsZero() || !f.expiresAt.IsZero() {
			continue // the first event of a lost host's request will not be reported
		}
		lag := inMilliseconds(now.Sub(f.prefilledAt)) - overhead
		c.lag = math.Max(c.lag, lag)
		if f.Rank <= req.Rank {
			c.urgentLag = math.Max(c.urgentLag, lag)
		}
	}
	return c
}

// pauseWeight returns the weight of a stream's pauses against a request of a rank.
func (f *flight) pauseWeight(rank int) float64 {
	if f.Rank < rank {
		return urgentWeight
	}
	return 1
}
