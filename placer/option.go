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
	// keptSpreads is how many times the spread of more urgent requests is kept free of an
	// engine's slots, and keptMost the part of its slots that are kept at most.
	keptSpreads = 2.0
	keptMost    = 0.25
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
	equals   float64 // reading what is as urgent as the request, or more
	duty     float64 // the part of its time for which it will read, as far as it was given lately
	cost     float64
}

// keepSlots keeps slots of each engine for requests of more urgent routes: as many more
// as may come soon, which is the spread of their number there now. Failure: less urgent
// ones fill all slots, and the more urgent are refused until one ends. Where none that is
// more urgent is there, nothing is kept. The route decides, not the organisation: the long
// prompts of an urgent organisation would keep out the short ones of all others.
func keepSlots(options []option) {
	urgent := 0
	for i := range options {
		urgent += options[i].urgent
	}
	if urgent == 0 {
		return
	}
	spread := math.Sqrt(float64(urgent) / float64(len(options)))
	for i := range options {
		o := &options[i]
		o.kept = int(math.Ceil(math.Min(keptSpreads*spread, keptMost*float64(o.Slots))))
	}
}

// shareDuty sets for how much of its time each engine will read: what it was given lately,
// and no more than the mean of all, as what comes next goes where there is less.
func shareDuty(now time.Time, options []option) {
	mean := 0.0
	for i := range options {
		o := &options[i]
		o.duty = o.readLately(now) / inMilliseconds(readFades)
		mean += o.duty / float64(len(options))
	}
	for i := range options {
		options[i].duty = min(options[i].duty, mean, 1)
	}
}

// finish is the milliseconds until the last token that a caller expects of its stream: while
// the engine reads, a token takes as long as a chunk of a prompt.
func (o *option) finish(wait float64, a Ask) float64 {
	step := stepTime + contextTime*float64(o.hold)/1000
	reading := max(o.readTime(chunk, chunk), step)
	return wait + float64(a.Expected)*(step+o.duty*(reading-step))
}

// end is when the stream's last token is expected: finish, as far as such predictions held
// lately.
func (o *option) end(wait float64, a Ask) time.Duration {
	return milliseconds(o.fit.lasting() * o.finish(wait, a))
}

// option is what a request would make the worker do. What holder keeps of its prompt,
// and this worker does not, is fetched where that takes less time than reading it.
func (w *worker) option(now time.Time, a Ask, holder *worker, held int) option {
	o := option{worker: w, others: w.others(now, a)}
	if w.Memory == 0 {
		return o
	}
	kept := w.parts.covered(a.Parts)
	o.read = max(a.Prompt-kept, 1)
	o.own = w.readTime(o.read, a.Prompt+a.Output)
	o.queue, o.all = w.line.before(now, a.Rank)+o.overdue, w.line.before(now, lastRank)
	o.equals = w.line.equals(now, a.Rank) + o.equal
	if holder == nil || holder == w || held-kept < fetchLeast {
		return o
	}
	read := max(a.Prompt-held, 1)
	own, fetching := w.readTime(read, a.Prompt+a.Output), w.fetchTime(held-kept, holder)
	if own+fetching < o.own {
		o.read, o.fetch, o.source, o.own, o.fetching = read, held-kept, holder.Address, own, fetching
	}
	return o
}

// fetchTime is how long the worker takes to fetch so many tokens from another.
func (w *worker) fetchTime(tokens int, from *worker) float64 {
	const bits = 8
	took := fetchSetup + float64(tokens)*float64(w.Token)*bits/(w.Link*1000)
	if w.Zone != from.Zone {
		took *= fetchFar
	}
	return took
}

// holder is the worker that keeps most of a prompt's first parts, and how many tokens
// of them; nil where none does, or engines can't fetch from one another.
func (v *View) holder(a Ask) (*worker, int) {
	var holder *worker
	held := 0
	for _, w := range v.workers {
		if w.Service != a.Service || w.Link <= 0 || w.Token <= 0 {
			continue
		}
		if n := w.parts.present(a.Parts); n > held || n == held && n > 0 && w.Name < holder.Name {
			holder, held = w, n
		}
	}
	return holder, held
}

// wait is the milliseconds until a request's first event, or a plain service's
// answer, if the worker got it now.
func (v *View) wait(o *option) float64 {
	if o.Memory == 0 {
		return v.plainWait(o.worker)
	}
	return math.Max(o.queue, o.fetching) + o.own + o.rest()
}
