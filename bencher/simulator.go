package bencher

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/cicadawood/cicadawood/faker"
)

const (
	hosts     = 8
	tick      = 20 * time.Millisecond
	reachTime = time.Millisecond // until a connection to a dead worker is refused
	mostTries = 3
	crashAt   = 50 * time.Second
	slowBy    = 3
)

// Condition is what is wrong during a run.
type Condition string

// Conditions.
const (
	Well  Condition = "well"
	Slow  Condition = "slow"  // one worker at a third of its speed; its report says it is idle
	Crash Condition = "crash" // one worker dies in the burst
	Late  Condition = "late"  // load reports are 5 s old
)

// router is the decisions of one row.
type router interface {
	// arrive takes a new request, or one that has to be sent again.
	arrive(now time.Duration, c *call, exclude *worker)
	// end takes back a request's place.
	end(now time.Duration, c *call, failed bool)
	// drop withdraws a request that still waits.
	drop(now time.Duration, c *call)
	tick(now time.Duration)
	control() int // bytes between hosts so far
}

// event is one point in time at which something happens.
type event struct {
	at       time.Duration
	sequence int
	run      func(now time.Duration)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulator runs one service under one row.
type simulator struct {
	service  service
	workload Workload
	workers  []*worker
	router   router
	measure  *measure
	events   events
	sequence int
	open     int // requests without an end
}

func newSimulator(w Workload, s service, k Condition) *simulator {
	m := &simulator{service: s, workload: w, measure: newMeasure()}
	for i := range s.workers {
		b := &worker{name: fmt.Sprintf("w%02d", i), plain: s.plain, model: faker.DefaultModel()}
		b.model.Slots = s.slots
		m.workers = append(m.workers, b)
	}
	switch k {
	case Slow:
		m.workers[0].slow, m.workers[0].lies = slowBy, true
	case Crash:
		m.at(crashAt, func(now time.Duration) { m.crash(now, m.workers[0]) })
	}
	return m
}

func (s *simulator) at(t time.Duration, run func(time.Duration)) {
	s.sequence++
	heap.Push(&s.events, event{at: t, sequence: s.sequence, run: run})
}

// run plays the requests to their end.
func (s *simulator) run(calls []*call) {
	s.open = len(calls)
	for _, c := range calls {
		s.at(c.arrived, func(now time.Duration) { s.arrive(now, c) })
	}
	s.at(tick, s.tick)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > runEnd {
			return
		}
		e.run(e.at)
	}
}

func (s *simulator) tick(now time.Duration) {
	s.router.tick(now)
	s.measure.sample(now)
	if s.open > 0 {
		s.at(now+tick, s.tick)
	}
}

func (s *simulator) arrive(now time.Duration, c *call) {
	s.at(now+s.workload.classes[c.class].AnswerTarget.Std(), func(now time.Duration) { s.cut(now, c) })
	s.waits(now, c)
	s.router.arrive(now, c, nil)
}

// waits notes that a call waits for a place from now on.
func (s *simulator) waits(now time.Duration, c *call) {
	c.since, c.waits = now, true
	s.measure.waits(now, c)
}

// waitOver notes that it no longer does.
func (s *simulator) waitOver(now time.Duration, c *call, began bool) {
	if c.waits {
		c.waits = false
		c.waited = max(c.waited, now-c.since)
		s.measure.waitOver(now, c, began)
	}
}

// send puts a call on a worker.
func (s *simulator) send(now time.Duration, c *call, w *worker) {
	s.began(now, c, w)
	if w.crashed {
		s.waitOver(now, c, false)
		s.at(now+reachTime, func(now time.Duration) { s.failed(now, c, w) })
		return
	}
	w.enter(c)
	s.step(now, w)
}

func (s *simulator) began(now time.Duration, c *call, w *worker) {
	c.worker, c.granted = w, now
	c.tries++
}

// refuse ends a call that got no place.
func (s *simulator) refuse(now time.Duration, c *call) {
	c.refused = true
	s.waitOver(now, c, false)
	s.finish(now, c)
}

// cut ends a call at its deadline.
func (s *simulator) cut(now time.Duration, c *call) {
	if c.ended > 0 {
		return
	}
	c.lost += c.made
	s.measure.wasted["deadline"] += c.made
	s.waitOver(now, c, false)
	if c.worker == nil {
		s.finish(now, c)
		s.router.drop(now, c)
		return
	}
	w := c.worker
	w.leave(c)
	s.finish(now, c)
	s.router.end(now, c, c.first == 0)
	s.step(now, w)
}

func (s *simulator) finish(now time.Duration, c *call) {
	c.ended = now
	s.open--
	s.measure.add(s.workload, c)
}

// failed sends a call again whose worker died.
func (s *simulator) failed(now time.Duration, c *call, w *worker) {
	if c.ended > 0 || c.worker != w {
		return
	}
	s.router.end(now, c, true)
	c.worker = nil
	if c.tries >= mostTries || c.flow.fixed && c.first > 0 {
		s.measure.wasted["crash"] += c.made
		c.lost += c.made
		s.finish(now, c)
		return
	}
	s.again(now, c, w)
}

// preempted takes a call off its worker; its entry asks again with what is left.
func (s *simulator) preempted(now time.Duration, c *call) {
	if c.ended > 0 || c.worker == nil {
		return
	}
	w := c.worker
	w.leave(c)
	s.measure.preempted++
	s.measure.wasted["preempt"] += s.prefillAsTokens(c)
	s.router.end(now, c, false)
	c.worker = nil
	s.again(now, c, nil)
	s.step(now, w)
}

// prefillAsTokens is what reading the prompt and the kept tokens again costs, in
// the tokens that a full batch makes in that time.
func (s *simulator) prefillAsTokens(c *call) int {
	m := faker.DefaultModel()
	n := time.Duration(c.flow.prompt+c.made) * m.Prefill
	return int(float64(n) / float64(m.StepTime(s.service.slots, 0)) * float64(s.service.slots))
}

func (s *simulator) again(now time.Duration, c *call, exclude *worker) {
	s.waits(now, c)
	s.router.arrive(now, c, exclude)
}

func (s *simulator) crash(now time.Duration, w *worker) {
	w.crashed = true
	calls := append(w.batch, w.queue...)
	w.batch, w.queue = nil, nil
	for _, c := range calls {
		s.failed(now, c, w)
	}
}

// step starts what a worker has room for, and an engine's next step.
func (s *simulator) step(now time.Duration, w *worker) {
	if w.busy || w.crashed {
		return
	}
	began := w.start()
	for _, c := range began {
		s.waitOver(now, c, true)
	}
	if w.plain {
		for _, c := range began {
			s.at(now+w.plainTime(c), func(now time.Duration) { s.plainDone(now, c, w) })
		}
		return
	}
	if len(w.batch) == 0 {
		return
	}
	w.busy = true
	s.at(now+w.stepTime(began), func(now time.Duration) { s.stepped(now, w) })
}

func (s *simulator) plainDone(now time.Duration, c *call, w *worker) {
	if c.ended > 0 || c.worker != w || w.crashed {
		return
	}
	c.first, c.made = now, c.length
	s.measure.token(now, c, c.length)
	w.leave(c)
	s.complete(now, c)
	s.step(now, w)
}

func (s *simulator) stepped(now time.Duration, w *worker) {
	w.busy = false
	if w.crashed {
		return
	}
	var ended []*call
	kept := w.batch[:0]
	for _, c := range w.batch {
		c.made++
		s.measure.made++
		s.measure.token(now, c, 1)
		if c.first == 0 {
			c.first = now
		}
		if c.made >= c.length {
			ended = append(ended, c)
			continue
		}
		kept = append(kept, c)
	}
	w.batch = kept
	for _, c := range ended {
		s.complete(now, c)
	}
	s.step(now, w)
}

func (s *simulator) complete(now time.Duration, c *call) {
	c.finished = true
	s.finish(now, c)
	s.router.end(now, c, false)
}
