package attributor_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/attributor"
)

// method is a way to find the parts that crash workers.
type method interface {
	crashed(now time.Duration, worker string, list []attributor.Request)
	sent(parts []attributor.PartID)
	served(now time.Duration, parts []attributor.PartID)
	// suspected reports whether requests with a part are kept apart.
	suspected(now time.Duration, p attributor.PartID) bool
	// judge returns the parts that are held back from now on.
	judge(now time.Duration) []attributor.PartID
}

// world is a play of one service: what it is asked for, and how its workers crash.
type world struct {
	workers     int
	soundRate   float64       // requests a second
	badRate     float64       // requests a second, of each bad part
	badParts    int           // that crash workers
	crashEvery  time.Duration // mean time between crashes of one worker by themselves; 0 is never
	powerLossAt time.Duration // when all workers crash at once; 0 is never
	duration    time.Duration
}

const (
	kinds, documents = 3, 300
	firstBad         = attributor.PartID(1_000_000)
	restartTime      = 3500 * time.Millisecond
	maxTries         = 2
	reportLead       = 20 * time.Millisecond // what a host allows for late reports of others
)

// outcome is what a play showed.
type outcome struct {
	crashes     int           // of workers by bad parts, or of themselves
	untilKnown  int           // crashes until all bad parts were held back
	knownAfter  time.Duration // after the first of them; 0 if they were not
	falseHolds  int           // sound parts that were held back
	sound, good int           // sound requests sent in the second half, and those answered at the first try
}

type simRequest struct {
	attributor.Request
	bad    bool
	tries  int
	late   bool // sent in the second half
	worker int
	begins time.Duration // when it begins to be answered
	ends   time.Duration
	tried  []int
}

type simEvent struct {
	at  time.Duration
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// play is one run of a world.
type play struct {
	world
	r        *rand.Rand
	m        method
	now      time.Duration
	queue    eventQueue
	up       []bool
	started  []int // of each worker, how often
	running  [][]*simRequest
	held     map[attributor.PartID]bool
	out      outcome
	firstBad time.Duration
	content  uint64
	isolate  bool
}

func clock(d time.Duration) time.Time { return time.Unix(1_800_000_000, 0).Add(d) }

// run plays a world with a method.
func run(w world, m method, isolate bool, seed uint64) outcome {
	p := &play{world: w, r: rand.New(rand.NewPCG(seed, 9)), m: m, up: make([]bool, w.workers), started: make([]int, w.workers), running: make([][]*simRequest, w.workers), held: map[attributor.PartID]bool{}, isolate: isolate}
	for i := range p.up {
		p.up[i] = true
		p.crashByItself(i)
	}
	p.arrivals(w.soundRate, 0, p.soundRequest)
	for i := range w.badParts {
		part := firstBad + attributor.PartID(i)
		p.arrivals(w.badRate, 2*time.Second, func() *simRequest { return p.badRequest(part) })
	}
	if w.powerLossAt > 0 {
		p.at(w.powerLossAt, func() {
			for i := range p.up {
				p.crash(i)
			}
		})
	}
	for len(p.queue) > 0 && p.queue[0].at < w.duration {
		e := heap.Pop(&p.queue).(simEvent)
		p.now = e.at
		p.hold()
		e.run()
	}
	return p.out
}

func (p *play) at(t time.Duration, run func()) { heap.Push(&p.queue, simEvent{t, run}) }

func (p *play) exponential(mean time.Duration) time.Duration {
	return time.Duration(p.r.ExpFloat64() * float64(mean))
}

// hold applies what the method has found out.
func (p *play) hold() {
	for _, part := range p.m.judge(p.now) {
		if p.held[part] {
			continue
		}
		p.held[part] = true
		if part < firstBad {
			p.out.falseHolds++
			continue
		}
		known := 0
		for i := range p.badParts {
			if p.held[firstBad+attributor.PartID(i)] {
				known++
			}
		}
		if known == p.badParts {
			p.out.untilKnown, p.out.knownAfter = p.out.crashes, p.now-p.firstBad
		}
	}
}

// arrivals sends requests at a rate from a time on.
func (p *play) arrivals(rate float64, from time.Duration, next func() *simRequest) {
	if rate == 0 {
		return
	}
	mean := time.Duration(float64(time.Second) / rate)
	var arrive func()
	arrive = func() {
		q := next()
		q.late = p.now > p.duration/2
		p.send(q)
		p.at(p.now+p.exponential(mean), arrive)
	}
	p.at(from+p.exponential(mean), arrive)
}

func (p *play) soundRequest() *simRequest {
	p.content++
	kind := p.r.IntN(kinds)
	document := int(float64(documents) * p.r.Float64() * p.r.Float64())
	return &simRequest{Request: attributor.Request{Content: p.content, Parts: []attributor.PartID{attributor.PartID(1 + kind), attributor.PartID(100 + document)}}}
}

// badRequest returns a sound one with a bad part at any place.
func (p *play) badRequest(part attributor.PartID) *simRequest {
	q := p.soundRequest()
	q.Parts = slices.Insert(q.Parts, p.r.IntN(len(q.Parts)+1), part)
	q.bad = true
	return q
}

// send sends a request to a worker, or refuses it.
func (p *play) send(q *simRequest) {
	if !q.bad && q.late && q.tries == 0 {
		p.out.sound++
	}
	if slices.ContainsFunc(q.Parts, func(x attributor.PartID) bool { return p.held[x] }) {
		return
	}
	w := p.choose(q)
	if w < 0 {
		return
	}
	p.m.sent(q.Parts)
	q.tries++
	q.worker, q.tried = w, append(q.tried, w)
	q.SentAt = clock(p.now)
	if p.r.IntN(9) > 0 && q.tries == 1 {
		q.SentAt = clock(p.now - reportLead) // another host sent it, and has not reported a crash before
	}
	q.begins = p.now + 50*time.Millisecond + p.exponential(100*time.Millisecond)
	q.ends = q.begins + 50*time.Millisecond + p.exponential(400*time.Millisecond)
	p.running[w] = append(p.running[w], q)
	start := p.started[w]
	if q.bad {
		p.at(q.begins+p.exponential(20*time.Millisecond), func() {
			if p.up[w] && p.started[w] == start {
				p.crash(w)
			}
		})
		return
	}
	p.at(q.ends, func() { p.end(q, start) })
}

// choose returns the worker with the fewest requests among those that may get a request; -1 if
// there is none.
func (p *play) choose(q *simRequest) int {
	like, suspect := p.like(q)
	best := -1
	for w := range p.up {
		if !p.up[w] || slices.Contains(q.tried, w) || p.isolate && !like && p.hasSuspect(w) {
			continue
		}
		if suspect >= 0 && w == suspect {
			return w
		}
		if best < 0 || len(p.running[w]) < len(p.running[best]) {
			best = w
		}
	}
	if best >= 0 {
		return best
	}
	for w := range p.up {
		if p.up[w] && !slices.Contains(q.tried, w) {
			return w
		}
	}
	return -1
}

// like returns whether a request has a suspected part, and the worker that has its like; -1 if
// there is none.
func (p *play) like(q *simRequest) (bool, int) {
	if !p.isolate {
		return false, -1
	}
	found := false
	for _, part := range q.Parts {
		if !p.m.suspected(p.now, part) {
			continue
		}
		found = true
		for w := range p.up {
			if p.up[w] && !slices.Contains(q.tried, w) && slices.ContainsFunc(p.running[w], func(x *simRequest) bool { return slices.Contains(x.Parts, part) }) {
				return true, w
			}
		}
	}
	return found, -1
}

func (p *play) hasSuspect(w int) bool {
	return slices.ContainsFunc(p.running[w], func(q *simRequest) bool {
		return slices.ContainsFunc(q.Parts, func(x attributor.PartID) bool { return p.m.suspected(p.now, x) })
	})
}

// end ends a request that its worker has answered, if that has not crashed.
func (p *play) end(q *simRequest, start int) {
	w := q.worker
	if !p.up[w] || p.started[w] != start || !slices.Contains(p.running[w], q) {
		return
	}
	p.running[w] = slices.DeleteFunc(p.running[w], func(x *simRequest) bool { return x == q })
	if q.late && q.tries == 1 {
		p.out.good++
	}
	p.m.served(p.now, q.Parts)
}

// crash has a worker crash and start again under another name.
func (p *play) crash(w int) {
	if !p.up[w] {
		return
	}
	p.up[w] = false
	p.out.crashes++
	if p.firstBad == 0 && p.now > 2*time.Second {
		p.firstBad = p.now
	}
	lost := p.running[w]
	p.running[w] = nil
	var list []attributor.Request
	for _, q := range lost {
		list = append(list, q.Request)
	}
	p.m.crashed(p.now, fmt.Sprint(w, ".", p.started[w]), list)
	p.at(p.now+restartTime, func() {
		p.up[w] = true
		p.started[w]++
		p.crashByItself(w)
	})
	for _, q := range lost {
		if q.tries < maxTries {
			p.at(p.now+time.Millisecond, func() { p.send(q) })
		}
	}
}

func (p *play) crashByItself(w int) {
	if p.crashEvery == 0 {
		return
	}
	start := p.started[w]
	p.at(p.now+p.exponential(p.crashEvery), func() {
		if p.up[w] && p.started[w] == start {
			p.crash(w)
		}
	})
}
