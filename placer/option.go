package placer

import (
	"math"
	"time"
)

const (
	// fetchSetup is the milliseconds that a fetch of memory between engines takes besides
	// its bytes.
	fetchSetup = 5.0
	// fetchLeast is the fewest tokens worth a fetch: fewer are read about as soon.
	fetchLeast = 1000
	// fetchFar is how many times longer a fetch between availability zones takes.
	fetchFar = 2.0
)

// option is one worker that a request may go to, and what that one would do for it.
// Times are in milliseconds.
type option struct {
	*worker
	others
	read     int     // tokens of the prompt that it would read
	fetch    int     // tokens that it would fetch from another worker
	source   string  // address of that one
	own      float64 // reading the request, or a plain worker's whole time for it
	fetching float64 // fetching, beside the reading of others
	queue    float64 // reading what comes before the request
	all      float64 // reading all that it was sent
	kept     int     // slots that are kept for more urgent requests
	margin   int     // slots that are left to other hosts
	equals   float64 // reading what is as urgent as the request, or more
	duty     float64 // the part of its time for which it will read, as far as it was given lately
	wait     float64 // until the request's first event, or a plain service's answer
	cost     float64
	free     time.Duration // until the worker may get a request, by the limit that it names
}

// option is what a request would make an engine do; a plain worker's is set by plain.
func (w *worker) option(now time.Time, a Request, holder *worker, held int) option {
	o := option{worker: w, others: w.others(now, a), free: w.limit.wait(now)}
	if w.CacheTokens == 0 {
		return o
	}
	kept := w.parts.covered(a.Parts)
	o.read = max(a.Prompt-kept, 1)
	o.own = w.readTime(o.read, a.Prompt+a.Output)
	o.queue, o.all = w.line.before(now, a.Rank)+o.overdue, w.line.before(now, lastRank)
	o.equals = w.line.equals(now, a.Rank) + o.equal
	if holder != nil && holder != w && held-kept >= fetchLeast {
		o.fetchFrom(holder, held, kept, a)
	}
	o.wait = math.Max(o.queue, o.fetching) + o.own + w.rest()
	return o
}

// fetchFrom has the worker fetch what another holds of a prompt beyond what it keeps
// itself, where that takes less time than reading it.
func (o *option) fetchFrom(holder *worker, held, kept int, a Request) {
	read := max(a.Prompt-held, 1)
	own, fetching := o.readTime(read, a.Prompt+a.Output), o.fetchTime(held-kept, holder)
	if own+fetching < o.own {
		o.read, o.fetch, o.source, o.own, o.fetching = read, held-kept, holder.Address, own, fetching
	}
}

// fetchTime is how long the worker takes to fetch so many tokens from another.
func (w *worker) fetchTime(tokens int, from *worker) float64 {
	const bits = 8
	took := fetchSetup + float64(tokens)*float64(w.TokenBytes)*bits/(w.LinkMbps*1000)
	if w.Zone != from.Zone {
		took *= fetchFar
	}
	return took
}

// holder is the worker that keeps most of a prompt's first parts, and how many tokens
// of them; nil where none does, or engines can't fetch from one another.
func (v *View) holder(a Request) (*worker, int) {
	var holder *worker
	held := 0
	for _, w := range v.order {
		if w.Service != a.Service || w.LinkMbps <= 0 || w.TokenBytes <= 0 {
			continue
		}
		if n := w.parts.present(a.Parts); n > held || n == held && n > 0 && w.Name < holder.Name {
			holder, held = w, n
		}
	}
	return holder, held
}
