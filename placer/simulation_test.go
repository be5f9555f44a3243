package placer_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cicadawood/cicadawood/placer"
)

// eventQueue holds the next events, the earliest first.
type eventQueue []event

type event struct {
	at time.Duration
	do func(time.Duration)
}

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at < a[j].at }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

// load is the traffic of a heavy day: plans and chats per second, on a number of engines that
// prefill rate tokens per millisecond, with the streams' targets for pauses.
type load struct {
	plans, chats     float64
	engines          int
	rate             float64
	planGap, chatGap time.Duration
	slots            int           // of an engine; 0 is 96
	planRank         int           // rank of plans; chats have 0
	reviews          float64       // per second; longer prompts than plans, the least urgent, with a longer target
	sessions         int           // number of second parts that plans share; 0 is 117
	memory           int           // KV cache of an engine in tokens; 0 is unlimited
	hints            bool          // callers state how long an answer they expect
	tiers            bool          // chats, plans and reviews are of routes of tiers 0, 1 and 2
	organisations    int           // number of organisations, whose tier outranks the route's; 0 is one
	quietTime        time.Duration // for so long at the start and at the end, the rates are a tenth
}

// tally counts the results for callers of one class.
type tally struct {
	asked, inTime, late int
	refused             int // at least once
	servedOnRetry       int // of these, the ones served on their retry
}

func (t *tally) count(s *stream, ok, late bool) {
	t.asked++
	if ok {
		t.inTime++
	}
	if late {
		t.late++
	}
	if s.refused > 0 {
		t.refused++
	}
	if s.refused > 0 && (ok || late) {
		t.servedOnRetry++
	}
}

// plus returns the sum of two tallies.
func (t tally) plus(o tally) tally {
	return tally{t.asked + o.asked, t.inTime + o.inTime, t.late + o.late, t.refused + o.refused, t.servedOnRetry + o.servedOnRetry}
}

// share returns the share of requests that were served in time.
func (t tally) share() float64 { return float64(t.inTime) / float64(t.asked) }

func (t tally) String() string {
	return fmt.Sprintf("%d asked, %d in time, %d late, %d refused, %d of these served", t.asked, t.inTime, t.late, t.refused, t.servedOnRetry)
}

// outcome is the results for callers of all classes.
type outcome struct {
	plans, chats, reviews tally
	refused               int
	overfull              int        // engines that ever had more requests than slots
	seconds               [][3]tally // of chats, plans and reviews, by the second in which they were sent
	long                  tally      // of reviews of the longest fifth that were sent in the last second
	prefilled             int        // tokens of shared parts that were prefilled
}

func (o outcome) share() (plans, chats float64) { return o.plans.share(), o.chats.share() }

// simulation is one run of a load: its engines, its callers and its next events.
type simulation struct {
	load      load
	r         *rand.Rand
	queue     eventQueue
	names     []string
	engines   map[string]*engine
	busy      map[*engine]bool
	chooser   chooser
	streams   []*stream
	prefilled int   // tokens of shared parts that were prefilled
	sizes     []int // of the second parts of plans
	length    time.Duration
}

// longReview is the number of prompt tokens that one review in five exceeds.
const longReview = 18_500

// simulate runs a load for a time.
func simulate(l load, seed uint64, length time.Duration, of func([]string, *rand.Rand) chooser) outcome {
	d := &simulation{load: l, r: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}, busy: map[*engine]bool{}, length: length}
	for i := range l.engines {
		name := fmt.Sprintf("e-%02d", i)
		d.names = append(d.names, name)
		d.engines[name] = &engine{
			parts: map[uint64]bool{}, sizes: map[uint64]int{}, cacheTokens: l.memory, rate: l.rate, slots: cmp.Or(l.slots, 96),
		}
	}
	d.chooser = of(d.names, d.r)
	d.sizes = make([]int, cmp.Or(l.sessions, 117))
	for i := range d.sizes {
		d.sizes[i] = logNormal(d.r, 3780, 0.7, 11300)
	}
	d.arrive(l.plans, length, d.plan)
	d.arrive(l.chats, length, d.chat)
	d.arrive(l.reviews, length, func() placer.Request { return l.review(d.r) })
	for _, s := range d.streams {
		d.urgency(s)
	}
	for len(d.queue) > 0 {
		m := heap.Pop(&d.queue).(event)
		m.do(m.at)
	}
	return d.outcome()
}

func (d *simulation) schedule(at time.Duration, f func(time.Duration)) {
	heap.Push(&d.queue, event{at, f})
}

// run has an engine take step after step until it has nothing to do.
func (d *simulation) run(now time.Duration, e *engine) {
	if len(e.queue)+len(e.running) == 0 {
		d.busy[e] = false
		return
	}
	took, begun, ended := e.step(now)
	d.schedule(now+took, func(at time.Duration) {
		for _, s := range begun {
			d.chooser.begun(at, s)
		}
		for _, s := range ended {
			d.chooser.ended(at, s)
		}
		d.run(at, e)
	})
}

// urgency sets the tier and rank of a request, if routes have tiers.
func (d *simulation) urgency(s *stream) {
	if !d.load.tiers {
		return
	}
	s.req.Tier = s.kind()
	s.req.Rank = s.req.Tier
	if n := d.load.organisations; n > 0 {
		s.req.Rank += 3 * d.r.IntN(n)
	}
}

// kind returns 0 for a chat, 1 for a plan, 2 for a review.
func (s *stream) kind() int {
	switch {
	case s.isReview:
		return 2
	case len(s.req.Parts) > 1:
		return 1
	}
	return 0
}

// arrive has requests arrive at random, at a rate per second.
func (d *simulation) arrive(rate float64, length time.Duration, newRequest func() placer.Request) {
	if rate == 0 {
		return
	}
	next := func(at time.Duration) time.Duration {
		now := rate
		if at < d.load.quietTime || length-at < d.load.quietTime {
			now = rate / 10
		}
		return time.Duration(d.r.ExpFloat64() / now * float64(time.Second))
	}
	for at := time.Duration(0); at < length; at += next(at) {
		s := &stream{req: newRequest(), id: uint64(len(d.streams) + 1), at: at}
		s.isReview, s.timeout = s.req.Target > time.Second, s.req.Left
		d.streams = append(d.streams, s)
		d.schedule(at, func(now time.Duration) { d.try(now, s) })
	}
}

// try places a request. A refused caller retries once, if that is within a third of its time.
func (d *simulation) try(now time.Duration, s *stream) {
	s.req.Left = s.timeout - (now - s.at)
	choice := d.chooser.choose(now, s)
	if choice.worker == "" {
		s.refused++
		if s.refused == 1 && choice.retryAfter <= s.req.Left/3 {
			s.id += 1 << 32
			d.schedule(now+choice.retryAfter, func(now time.Duration) { d.try(now, s) })
		}
		return
	}
	e, from := d.engines[choice.worker], d.engines[choice.source]
	d.schedule(now+choice.delay, func(now time.Duration) {
		if from == nil || from == e {
			d.arriveAt(now, s, e)
			return
		}
		d.schedule(now+fetchTime, func(now time.Duration) {
			e.fetch(from, s)
			d.arriveAt(now, s, e)
		})
	})
}

// arriveAt delivers a request to its engine.
func (d *simulation) arriveAt(now time.Duration, s *stream, e *engine) {
	s.prefillLeft = e.uncached(s)
	for _, p := range s.req.Parts {
		if !e.parts[p.Key] {
			d.prefilled += p.Tokens
		}
	}
	e.add(s)
	if !d.busy[e] {
		d.busy[e] = true
		d.run(now, e)
	}
}

// plan returns a long prompt of two shared parts and one of its own.
func (d *simulation) plan() placer.Request {
	second := uint64(1000 + d.r.IntN(len(d.sizes)))
	a := plan(second)
	a.Parts = []placer.Part{{Key: 1 + second%4, Tokens: 2000 + 300*int(second%4)}, {Key: second, Tokens: d.sizes[second-1000]}}
	a.Prompt = a.Parts[0].Tokens + a.Parts[1].Tokens + logNormal(d.r, 2890, 1, 18300)
	a.Output, a.Gap, a.Rank = engineEvent*logNormal(d.r, 13, 1, 52), d.load.planGap, d.load.planRank
	return a
}

// chat returns a short prompt with a long answer.
func (d *simulation) chat() placer.Request {
	return placer.Request{
		Service: "lm", Prompt: 200 + logNormal(d.r, 628, 1, 3310), Output: engineEvent * logNormal(d.r, 73, 0.7, 195), Left: 15 * time.Second,
		FirstEventTimeout: 2 * time.Second, Target: 300 * time.Millisecond, Gap: d.load.chatGap, Parts: []placer.Part{{Key: uint64(5000 + d.r.IntN(20)), Tokens: 120}},
	}
}

// outcome returns the results for callers of each class.
func (d *simulation) outcome() outcome {
	o := outcome{prefilled: d.prefilled}
	for _, e := range d.engines {
		if e.maxRequests > e.slots {
			o.overfull++
		}
	}
	for _, s := range d.streams {
		ok := s.finished && s.first-s.at <= s.req.Target && s.maxPause <= s.req.Gap
		late := !ok && s.finished && s.first-s.at <= s.req.FirstEventTimeout
		if s.refused > 0 {
			o.refused++
		}
		[]*tally{&o.chats, &o.plans, &o.reviews}[s.kind()].count(s, ok, late)
		second := int(s.at / time.Second)
		for len(o.seconds) <= second {
			o.seconds = append(o.seconds, [3]tally{})
		}
		o.seconds[second][s.kind()].count(s, ok, late)
		if s.isReview && s.req.Prompt > longReview && s.at > d.length-time.Second {
			o.long.count(s, ok, late)
		}
	}
	return o
}

// review returns a prompt of about 17,000 tokens, of which an engine may have cached 13,000. If
// caches are limited, its own tokens take up room as well.
func (l load) review(r *rand.Rand) placer.Request {
	shared := uint64(9000 + r.IntN(87))
	a := placer.Request{
		Service: "lm", Output: engineEvent * logNormal(r, 24, 1, 96), Left: 8 * time.Second, FirstEventTimeout: 6400 * time.Millisecond, Rank: 2,
		Target: 1500 * time.Millisecond, Gap: 800 * time.Millisecond, Parts: []placer.Part{{Key: shared, Tokens: 13_300}},
	}
	own := logNormal(r, 3720, 1.1, 53_200)
	a.Prompt = 13_300 + own
	if l.hints {
		a.Expected = statedOutput(a)
	}
	if l.memory > 0 {
		a.Parts = append(a.Parts, placer.Part{Key: r.Uint64(), Tokens: own})
	}
	return a
}

// statedOutput returns the output that a caller expects: right in the median, often far off.
func statedOutput(req placer.Request) int {
	r := rand.New(rand.NewPCG(uint64(req.Prompt), uint64(req.Output)))
	return max(int(float64(req.Output)*math.Exp(0.5*r.NormFloat64())), 1)
}

// logNormal returns a log-normal size with a mean, limited to most.
func logNormal(r *rand.Rand, mean, spread, limit float64) int {
	return int(math.Max(1, math.Min(mean*math.Exp(spread*r.NormFloat64()-spread*spread/2), limit)))
}
