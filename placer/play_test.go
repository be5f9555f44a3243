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

// agenda is what happens next, the soonest first.
type agenda []moment

type moment struct {
	at time.Duration
	do func(time.Duration)
}

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(moment)) }
func (a *agenda) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

// load is a heavy day's traffic: plans and chats, a second, on so many engines that
// read so many prompt tokens a millisecond, with the streams' targets for pauses.
type load struct {
	plans, chats     float64
	engines          int
	rate             float64
	planGap, chatGap time.Duration
	slots            int           // of an engine; 0 is 96
	planRank         int           // how urgent plans are; chats are 0
	reviews          float64       // a second; still longer prompts, the least urgent, with a longer target
	sessions         int           // second parts that plans share; 0 is 117
	memory           int           // tokens that an engine keeps; 0 is endless
	hints            bool          // callers say how long an answer they expect
	tiers            bool          // chats, plans and reviews are of routes of tiers 0, 1 and 2
	organisations    int           // of all callers, whose tier goes before the route's; 0 is one
	quiet            time.Duration // a tenth comes before and after so long a time
}

// tally is what callers of one class got.
type tally struct {
	asked, inTime, late int
	refused             int // once or more
	back                int // of these, those that were served when they came back
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
		t.back++
	}
}

// plus is two tallies together.
func (t tally) plus(o tally) tally {
	return tally{t.asked + o.asked, t.inTime + o.inTime, t.late + o.late, t.refused + o.refused, t.back + o.back}
}

// share is the part of those that asked that were served in time.
func (t tally) share() float64 { return float64(t.inTime) / float64(t.asked) }

func (t tally) String() string {
	return fmt.Sprintf("%d asked, %d in time, %d late, %d refused, %d of these served", t.asked, t.inTime, t.late, t.refused, t.back)
}

// outcome is what callers got.
type outcome struct {
	plans, chats, reviews tally
	refused               int
	over                  int        // engines that ever had more requests than slots
	seconds               [][3]tally // of chats, plans and reviews, by when they asked
	long                  tally      // of reviews of the longest fifth that asked in the last second
	readAgain             int        // tokens of shared parts that were read, in all
}

func (o outcome) share() (plans, chats float64) { return o.plans.share(), o.chats.share() }

// day is one play of a load: its engines, its callers and what happens next.
type day struct {
	load    load
	r       *rand.Rand
	todo    agenda
	names   []string
	engines map[string]*engine
	busy    map[*engine]bool
	chooser chooser
	streams []*stream
	again   int   // tokens of shared parts that were read
	sizes   []int // of the second parts of plans
	length  time.Duration
}

// longReview is the prompt tokens of which one in five reviews has more.
const longReview = 18_500

// play plays a load for a time.
func play(l load, seed uint64, length time.Duration, of func([]string, *rand.Rand) chooser) outcome {
	d := &day{load: l, r: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}, busy: map[*engine]bool{}, length: length}
	for i := range l.engines {
		name := fmt.Sprintf("e-%02d", i)
		d.names = append(d.names, name)
		d.engines[name] = &engine{
			parts: map[uint64]bool{}, sizes: map[uint64]int{}, memory: l.memory, rate: l.rate, slots: cmp.Or(l.slots, 96),
		}
	}
	d.chooser = of(d.names, d.r)
	d.sizes = make([]int, cmp.Or(l.sessions, 117))
	for i := range d.sizes {
		d.sizes[i] = skewed(d.r, 3780, 0.7, 11300)
	}
	d.arrive(l.plans, length, d.plan)
	d.arrive(l.chats, length, d.chat)
	d.arrive(l.reviews, length, func() placer.Request { return l.review(d.r) })
	for _, s := range d.streams {
		d.urgency(s)
	}
	for len(d.todo) > 0 {
		m := heap.Pop(&d.todo).(moment)
		m.do(m.at)
	}
	return d.outcome()
}

func (d *day) do(at time.Duration, f func(time.Duration)) { heap.Push(&d.todo, moment{at, f}) }

// run has an engine take step after step until it has nothing to do.
func (d *day) run(now time.Duration, e *engine) {
	if len(e.queue)+len(e.running) == 0 {
		d.busy[e] = false
		return
	}
	took, begun, ended := e.step(now)
	d.do(now+took, func(at time.Duration) {
		for _, s := range begun {
			d.chooser.begun(at, s)
		}
		for _, s := range ended {
			d.chooser.ended(at, s)
		}
		d.run(at, e)
	})
}

// urgency sets the tiers and ranks of a request, where routes have tiers.
func (d *day) urgency(s *stream) {
	if !d.load.tiers {
		return
	}
	s.ask.Tier = s.kind()
	s.ask.Rank = s.ask.Tier
	if n := d.load.organisations; n > 0 {
		s.ask.Rank += 3 * d.r.IntN(n)
	}
}

// kind is 0 for a chat, 1 for a plan, 2 for a review.
func (s *stream) kind() int {
	switch {
	case s.review:
		return 2
	case len(s.ask.Parts) > 1:
		return 1
	}
	return 0
}

// arrive has requests come at random, so many a second.
func (d *day) arrive(rate float64, length time.Duration, ask func() placer.Request) {
	if rate == 0 {
		return
	}
	next := func(at time.Duration) time.Duration {
		now := rate
		if at < d.load.quiet || length-at < d.load.quiet {
			now = rate / 10
		}
		return time.Duration(d.r.ExpFloat64() / now * float64(time.Second))
	}
	for at := time.Duration(0); at < length; at += next(at) {
		s := &stream{ask: ask(), id: uint64(len(d.streams) + 1), at: at}
		s.review, s.whole = s.ask.Target > time.Second, s.ask.Left
		d.streams = append(d.streams, s)
		d.do(at, func(now time.Duration) { d.try(now, s) })
	}
}

// try has a request placed. A refused caller comes back once, if that is within a third
// of its time.
func (d *day) try(now time.Duration, s *stream) {
	s.ask.Left = s.whole - (now - s.at)
	choice := d.chooser.choose(now, s)
	if choice.worker == "" {
		s.refused++
		if s.refused == 1 && choice.after <= s.ask.Left/3 {
			s.id += 1 << 32
			d.do(now+choice.after, func(now time.Duration) { d.try(now, s) })
		}
		return
	}
	e, from := d.engines[choice.worker], d.engines[choice.source]
	d.do(now+choice.pause, func(now time.Duration) {
		if from == nil || from == e {
			d.reach(now, s, e)
			return
		}
		d.do(now+fetchTook, func(now time.Duration) {
			e.fetch(from, s)
			d.reach(now, s, e)
		})
	})
}

// reach has a request come to its engine.
func (d *day) reach(now time.Duration, s *stream, e *engine) {
	s.unread = e.lacks(s)
	for _, p := range s.ask.Parts {
		if !e.parts[p.Key] {
			d.again += p.Tokens
		}
	}
	e.add(s)
	if !d.busy[e] {
		d.busy[e] = true
		d.run(now, e)
	}
}

// plan is a long prompt of two shared parts and one of its own.
func (d *day) plan() placer.Request {
	second := uint64(1000 + d.r.IntN(len(d.sizes)))
	a := plan(second)
	a.Parts = []placer.Part{{Key: 1 + second%4, Tokens: 2000 + 300*int(second%4)}, {Key: second, Tokens: d.sizes[second-1000]}}
	a.Prompt = a.Parts[0].Tokens + a.Parts[1].Tokens + skewed(d.r, 2890, 1, 18300)
	a.Output, a.Gap, a.Rank = engineEvent*skewed(d.r, 13, 1, 52), d.load.planGap, d.load.planRank
	return a
}

// chat is a short prompt with a long answer.
func (d *day) chat() placer.Request {
	return placer.Request{
		Service: "lm", Prompt: 200 + skewed(d.r, 628, 1, 3310), Output: engineEvent * skewed(d.r, 73, 0.7, 195), Left: 15 * time.Second,
		FirstEventTimeout: 2 * time.Second, Target: 300 * time.Millisecond, Gap: d.load.chatGap, Parts: []placer.Part{{Key: uint64(5000 + d.r.IntN(20)), Tokens: 120}},
	}
}

// outcome is what callers of each class got.
func (d *day) outcome() outcome {
	o := outcome{readAgain: d.again}
	for _, e := range d.engines {
		if e.most > e.slots {
			o.over++
		}
	}
	for _, s := range d.streams {
		ok := s.finished && s.first-s.at <= s.ask.Target && s.pause <= s.ask.Gap
		late := !ok && s.finished && s.first-s.at <= s.ask.FirstEventTimeout
		if s.refused > 0 {
			o.refused++
		}
		[]*tally{&o.chats, &o.plans, &o.reviews}[s.kind()].count(s, ok, late)
		second := int(s.at / time.Second)
		for len(o.seconds) <= second {
			o.seconds = append(o.seconds, [3]tally{})
		}
		o.seconds[second][s.kind()].count(s, ok, late)
		if s.review && s.ask.Prompt > longReview && s.at > d.length-time.Second {
			o.long.count(s, ok, late)
		}
	}
	return o
}

// review is a prompt of about 17,000 tokens, of which an engine may keep 13,000. Where
// engines forget, what it has of its own takes up room as well.
func (l load) review(r *rand.Rand) placer.Request {
	shared := uint64(9000 + r.IntN(87))
	a := placer.Request{
		Service: "lm", Output: engineEvent * skewed(r, 24, 1, 96), Left: 8 * time.Second, FirstEventTimeout: 6400 * time.Millisecond, Rank: 2,
		Target: 1500 * time.Millisecond, Gap: 800 * time.Millisecond, Parts: []placer.Part{{Key: shared, Tokens: 13_300}},
	}
	own := skewed(r, 3720, 1.1, 53_200)
	a.Prompt = 13_300 + own
	if l.hints {
		a.Expected = guessed(a)
	}
	if l.memory > 0 {
		a.Parts = append(a.Parts, placer.Part{Key: r.Uint64(), Tokens: own})
	}
	return a
}

// guessed is the output that a caller expects: right in the median, often far off.
func guessed(a placer.Request) int {
	r := rand.New(rand.NewPCG(uint64(a.Prompt), uint64(a.Output)))
	return max(int(float64(a.Output)*math.Exp(0.5*r.NormFloat64())), 1)
}

// skewed is a size that is log-normal about a mean, at most most.
func skewed(r *rand.Rand, mean, spread, most float64) int {
	return int(math.Max(1, math.Min(mean*math.Exp(spread*r.NormFloat64()-spread*spread/2), most)))
}
