package bencher

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/cicadawood/cicadawood/faker"
)

const (
	hostCount           = 8 // that send requests
	tickInterval        = 20 * time.Millisecond
	connectRefusedDelay = time.Millisecond // until a connection to a crashed worker is refused
	maxAttempts         = 3                // attempts per call
	crashAt             = 50 * time.Second
	slowFactor          = 3 // service time of the slow worker over the normal one
)

// Condition is the fault present during a run, if any.
type Condition string

// Conditions.
const (
	NoFault     Condition = "well"
	SlowWorker  Condition = "slow"  // one worker runs at a third of its speed and reports that it is idle
	WorkerCrash Condition = "crash" // one worker crashes during the burst
	LateReports Condition = "late"  // load reports are 5 s old instead of 500 ms
)

// router makes the routing decisions of one row.
type router interface {
	// arrive handles a new call, or one that must be sent again. exclude is the worker
	// that failed, if any.
	arrive(now time.Duration, c *call, exclude *worker)
	// release frees the slot of a call.
	release(now time.Duration, c *call, failed bool)
	// withdraw cancels a call that still waits.
	withdraw(now time.Duration, c *call)
	// tick is called every tickInterval.
	tick(now time.Duration)
	// controlBytes returns the size of all messages between hosts so far.
	controlBytes() int
}

// event is a function to run at a simulated time. Events at the same time run in order of
// their sequence numbers.
type event struct {
	at       time.Duration
	sequence int
	run      func(now time.Duration)
}

// events is a priority queue of events by time and sequence number.
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

// simulator is a discrete-event simulation of one service under the policy of one row.
type simulator struct {
	service   service
	workload  Workload
	workers   []*worker
	router    router
	measure   *measure
	events    events
	sequence  int
	openCalls int // calls that have not ended
}

func newSimulator(w Workload, s service, k Condition) *simulator {
	m := &simulator{service: s, workload: w, measure: newMeasure()}
	for i := range s.workers {
		b := &worker{name: fmt.Sprintf("w%02d", i), plain: s.plain, model: faker.DefaultModel()}
		b.model.Slots = s.slots
		m.workers = append(m.workers, b)
	}
	switch k {
	case SlowWorker:
		m.workers[0].slowFactor, m.workers[0].reportsIdle = slowFactor, true
	case WorkerCrash:
		m.schedule(crashAt, func(now time.Duration) { m.crash(now, m.workers[0]) })
	}
	return m
}

// schedule has a function run at a simulated time.
func (s *simulator) schedule(t time.Duration, run func(time.Duration)) {
	s.sequence++
	heap.Push(&s.events, event{at: t, sequence: s.sequence, run: run})
}

// run simulates the calls until no events remain or runEnd has passed.
func (s *simulator) run(calls []*call) {
	s.openCalls = len(calls)
	for _, c := range calls {
		s.schedule(c.arrivedAt, func(now time.Duration) { s.arrive(now, c) })
	}
	s.schedule(tickInterval, s.tick)
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
	if s.openCalls > 0 {
		s.schedule(now+tickInterval, s.tick)
	}
}

// arrive hands a new call to the router and schedules its deadline.
func (s *simulator) arrive(now time.Duration, c *call) {
	s.schedule(now+s.workload.classes[c.class].AnswerTarget.Std(), func(now time.Duration) { s.expire(now, c) })
	s.startWait(now, c)
	s.router.arrive(now, c, nil)
}

// startWait records that a call waits for a slot from now on.
func (s *simulator) startWait(now time.Duration, c *call) {
	c.waitingSince, c.waiting = now, true
	s.measure.waitStarted(now, c)
}

// endWait records that a call no longer waits; gotSlot is false if it ends or is sent again
// without a slot.
func (s *simulator) endWait(now time.Duration, c *call, gotSlot bool) {
	if c.waiting {
		c.waiting = false
		c.maxWait = max(c.maxWait, now-c.waitingSince)
		s.measure.waitEnded(now, c, gotSlot)
	}
}

// send sends a call to a worker. If the worker has crashed, the call fails once the
// connection is refused.
func (s *simulator) send(now time.Duration, c *call, w *worker) {
	s.place(now, c, w)
	if w.crashed {
		s.endWait(now, c, false)
		s.schedule(now+connectRefusedDelay, func(now time.Duration) { s.workerFailed(now, c, w) })
		return
	}
	w.enqueue(c)
	s.step(now, w)
}

// place records a new attempt of a call at a worker.
func (s *simulator) place(now time.Duration, c *call, w *worker) {
	c.worker, c.placedAt = w, now
	c.attempts++
}

// refuse ends a call that the router rejected.
func (s *simulator) refuse(now time.Duration, c *call) {
	c.refused = true
	s.endWait(now, c, false)
	s.finish(now, c)
}

// expire ends a call that has reached its deadline.
func (s *simulator) expire(now time.Duration, c *call) {
	if c.endedAt > 0 {
		return
	}
	c.wasted += c.generated
	s.measure.wasted["deadline"] += c.generated
	s.endWait(now, c, false)
	if c.worker == nil {
		s.finish(now, c)
		s.router.withdraw(now, c)
		return
	}
	w := c.worker
	w.remove(c)
	s.finish(now, c)
	s.router.release(now, c, c.firstTokenAt == 0)
	s.step(now, w)
}

// finish ends a call and adds its outcome to the figures.
func (s *simulator) finish(now time.Duration, c *call) {
	c.endedAt = now
	s.openCalls--
	s.measure.addCall(s.workload, c)
}

// workerFailed handles the crash of a call's worker. The call is sent again unless it has
// used all attempts, or must not be repeated and has its first token.
func (s *simulator) workerFailed(now time.Duration, c *call, w *worker) {
	if c.endedAt > 0 || c.worker != w {
		return
	}
	s.router.release(now, c, true)
	c.worker = nil
	if c.attempts >= maxAttempts || c.flow.nonRepeatable && c.firstTokenAt > 0 {
		s.measure.wasted["crash"] += c.generated
		c.wasted += c.generated
		s.finish(now, c)
		return
	}
	s.resend(now, c, w)
}

// preempt removes a call from its worker. It is sent again for the remaining tokens.
func (s *simulator) preempt(now time.Duration, c *call) {
	if c.endedAt > 0 || c.worker == nil {
		return
	}
	w := c.worker
	w.remove(c)
	s.measure.preempted++
	s.measure.wasted["preempt"] += s.prefillAsTokens(c)
	s.router.release(now, c, false)
	c.worker = nil
	s.resend(now, c, nil)
	s.step(now, w)
}

// prefillAsTokens returns the cost of repeating the prefill of a call's prompt and of the
// tokens generated so far, as the number of tokens that a full batch generates in that time.
func (s *simulator) prefillAsTokens(c *call) int {
	m := faker.DefaultModel()
	n := time.Duration(c.flow.promptTokens+c.generated) * m.Prefill
	return int(float64(n) / float64(m.StepTime(s.service.slots, 0)) * float64(s.service.slots))
}

// resend hands a call to the router again.
func (s *simulator) resend(now time.Duration, c *call, exclude *worker) {
	s.startWait(now, c)
	s.router.arrive(now, c, exclude)
}

// crash stops a worker for the rest of the run and fails its calls.
func (s *simulator) crash(now time.Duration, w *worker) {
	w.crashed = true
	calls := append(w.batch, w.queue...)
	w.batch, w.queue = nil, nil
	for _, c := range calls {
		s.workerFailed(now, c, w)
	}
}

// step starts queued calls in a worker's free slots, and the next step of an engine's batch.
// It does nothing while a step is running.
func (s *simulator) step(now time.Duration, w *worker) {
	if w.stepping || w.crashed {
		return
	}
	started := w.fillBatch()
	for _, c := range started {
		s.endWait(now, c, true)
	}
	if w.plain {
		for _, c := range started {
			s.schedule(now+w.plainTime(c), func(now time.Duration) { s.plainDone(now, c, w) })
		}
		return
	}
	if len(w.batch) == 0 {
		return
	}
	w.stepping = true
	s.schedule(now+w.stepTime(started), func(now time.Duration) { s.stepDone(now, w) })
}

// plainDone completes a call of a plain service.
func (s *simulator) plainDone(now time.Duration, c *call, w *worker) {
	if c.endedAt > 0 || c.worker != w || w.crashed {
		return
	}
	c.firstTokenAt, c.generated = now, c.length
	s.measure.addTokens(now, c, c.length)
	w.remove(c)
	s.complete(now, c)
	s.step(now, w)
}

// stepDone adds a token to each call of an engine's batch, completes the calls that have all
// their tokens, and starts the next step.
func (s *simulator) stepDone(now time.Duration, w *worker) {
	w.stepping = false
	if w.crashed {
		return
	}
	var ended []*call
	unfinished := w.batch[:0]
	for _, c := range w.batch {
		c.generated++
		s.measure.generated++
		s.measure.addTokens(now, c, 1)
		if c.firstTokenAt == 0 {
			c.firstTokenAt = now
		}
		if c.generated >= c.length {
			ended = append(ended, c)
			continue
		}
		unfinished = append(unfinished, c)
	}
	w.batch = unfinished
	for _, c := range ended {
		s.complete(now, c)
	}
	s.step(now, w)
}

// complete ends a call that was answered whole.
func (s *simulator) complete(now time.Duration, c *call) {
	c.completed = true
	s.finish(now, c)
	s.router.release(now, c, false)
}
