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

// candidate is a worker that a request may go to, and what the request would mean for it. Times
// are in milliseconds.
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
	urgentBacklog float64 // prefill of all that is at least as urgent as the request
	prefillShare  float64 // predicted part of its time for which it prefills
	wait          float64 // to the request's first event, or to a plain service's answer
	cost          float64
	limitWait     time.Duration // until the worker may get a request by its limit
}

// candidate returns what a request would mean for an engine. For a plain worker, setPlainTimes
// completes it.
func (w *worker) candidate(now time.Time, a Request, holder *worker, held int) candidate {
	o := candidate{worker: w, contention: w.contention(now, a), limitWait: w.limit.wait(now)}
	if w.CacheTokens == 0 {
		return o
	}
	kept := w.cache.covered(a.Parts)
	o.prefillTokens = max(a.Prompt-kept, 1)
	o.ownTime = w.prefillTime(o.prefillTokens, a.Prompt+a.Output)
	o.queueTime, o.backlog = w.queue.timeAhead(now, a.Rank)+o.lag, w.queue.timeAhead(now, maxRank)
	o.urgentBacklog = w.queue.timeUpToRank(now, a.Rank) + o.urgentLag
	if holder != nil && holder != w && held-kept >= minFetchTokens {
		o.fetchFrom(holder, held, kept, a)
	}
	o.wait = math.Max(o.queueTime, o.fetchDelay) + o.ownTime + w.overhead()
	return o
}

// fetchFrom has the worker fetch the tokens that another one has beyond its own, if that takes
// less time than their prefill.
func (o *candidate) fetchFrom(holder *worker, held, kept int, a Request) {
	read := max(a.Prompt-held, 1)
	own, fetching := o.prefillTime(read, a.Prompt+a.Output), o.fetchTime(held-kept, holder)
	if own+fetching < o.ownTime {
		o.prefillTokens, o.fetchTokens, o.source, o.ownTime, o.fetchDelay = read, held-kept, holder.Address, own, fetching
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
func (v *View) holder(a Request) (*worker, int) {
	var holder *worker
	held := 0
	for _, w := range v.sorted {
		if w.Service != a.Service || w.LinkMbps <= 0 || w.TokenBytes <= 0 {
			continue
		}
		if n := w.cache.fetchable(a.Parts); n > held || n == held && n > 0 && w.Name < holder.Name {
			holder, held = w, n
		}
	}
	return holder, held
}
