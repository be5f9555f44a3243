package placer

import (
	"math"
	"time"
)

const (
	// fetchSetupMillis is the time, in milliseconds, that a fetch of cached tokens takes
	// besides the transfer of its bytes.
	fetchSetupMillis = 5.0
	// minFetchTokens is the minimum size of a fetch: fewer tokens are prefilled about as fast.
	minFetchTokens = 1000
	// crossZoneFactor is how many times longer a fetch between availability zones takes.
	crossZoneFactor = 2.0
)

// candidate is a worker that a request may go to, with the predicted effects of the request.
// Times are in milliseconds.
type candidate struct {
	*worker
	contention
	prefillTokens int     // prompt tokens to prefill
	fetchTokens   int     // tokens to fetch from another worker
	source        string  // address of that worker
	ownTime       float64 // prefill of the request, or a plain worker's whole time for it
	fetchDelay    float64 // fetch, during the prefill of other requests
	queueTime     float64 // prefill ahead of the request
	backlog       float64 // prefill of all that was sent to the worker
	reserved      int     // slots reserved for more urgent requests
	margin        int     // slots left to other hosts
	resumable     int     // slots kept for streams that go on
	urgentBacklog float64 // prefill of all that is at least as urgent as the request
	prefillShare  float64 // predicted part of its time for which it prefills
	wait          float64 // to the request's first event, or to a plain service's answer
	cost          float64
	full          bool          // the worker is brittle, and has no room
	limitWait     time.Duration // until the worker may get a request by its limit
}

// candidate predicts the effects of a request on an engine. For a plain worker, setPlainTimes
// adds them.
func (w *worker) candidate(now time.Time, req Request, holder *worker, heldTokens int) candidate {
	c := candidate{worker: w, contention: w.contention(now, req), limitWait: w.limit.wait(now)}
	if w.CacheTokens == 0 {
		return c
	}
	cached := w.cache.covered(req.Parts)
	c.prefillTokens = max(req.Prompt-cached, 1)
	c.ownTime = w.prefillTime(c.prefillTokens, req.Prompt+req.Output)
	c.queueTime, c.backlog = w.queue.timeAhead(now, req.Rank)+c.lag, w.queue.timeAhead(now, maxRank)
	c.urgentBacklog = w.queue.timeUpToRank(now, req.Rank) + c.urgentLag
	if holder != nil && holder != w && heldTokens-cached >= minFetchTokens {
		c.fetchFrom(holder, heldTokens, cached, req)
	}
	c.wait = math.Max(c.queueTime, c.fetchDelay) + c.ownTime + w.overhead()
	return c
}

// fetchFrom has the worker fetch the tokens that another one has beyond its own, if that takes
// less time than their prefill.
func (c *candidate) fetchFrom(holder *worker, heldTokens, cached int, req Request) {
	prefillTokens := max(req.Prompt-heldTokens, 1)
	ownTime, fetchDelay := c.prefillTime(prefillTokens, req.Prompt+req.Output), c.fetchTime(heldTokens-cached, holder)
	if ownTime+fetchDelay < c.ownTime {
		c.prefillTokens, c.fetchTokens, c.source, c.ownTime, c.fetchDelay = prefillTokens, heldTokens-cached, holder.Address, ownTime, fetchDelay
	}
}

// fetchTime returns the milliseconds to fetch so many tokens from another worker.
func (w *worker) fetchTime(tokens int, from *worker) float64 {
	const bits = 8
	took := fetchSetupMillis + float64(tokens)*float64(w.TokenBytes)*bits/(w.LinkMbps*1000)
	if w.Zone != from.Zone {
		took *= crossZoneFactor
	}
	return took
}

// holder returns the worker that has cached most of a prompt's leading parts, and how many
// tokens of them. It returns nil if there is none, or if engines can't fetch from each other.
func (v *View) holder(req Request) (*worker, int) {
	var holder *worker
	tokens := 0
	for _, w := range v.sorted {
		if w.Service != req.Service || w.LinkMbps <= 0 || w.TokenBytes <= 0 {
			continue
		}
		if n := w.cache.fetchable(req.Parts); n > tokens || n == tokens && n > 0 && w.Name < holder.Name {
			holder, tokens = w, n
		}
	}
	return holder, tokens
}
