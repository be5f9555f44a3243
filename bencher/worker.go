package bencher

import (
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/faker"
)

// worker models a backend server: an engine, which generates a token for each call of its
// batch in every step, or a plain service, whose calls run independently.
type worker struct {
	name        string
	plain       bool // a plain service, not an engine
	model       faker.Model
	slowFactor  float64 // service time over the normal one; 0 is normal
	crashed     bool
	reportsIdle bool    // reports a load of 0 whatever its load is
	batch       []*call // calls that occupy a slot
	queue       []*call // calls sent to the worker beyond its slots
	stepping    bool    // a step is running
}

// load returns the load that the worker reports.
func (w *worker) load() int {
	if w.reportsIdle {
		return 0
	}
	return len(w.batch) + len(w.queue)
}

// enqueue adds a call to the queue. The caller must run simulator.step afterwards.
func (w *worker) enqueue(c *call) {
	c.prefillTokens = c.flow.promptTokens + c.generated
	w.queue = append(w.queue, c)
}

// remove removes a call from the batch or the queue.
func (w *worker) remove(c *call) {
	same := func(o *call) bool { return o == c }
	w.batch = slices.DeleteFunc(w.batch, same)
	w.queue = slices.DeleteFunc(w.queue, same)
}

// fillBatch moves calls from the queue to free slots and returns those moved.
func (w *worker) fillBatch() []*call {
	n := min(max(w.model.Slots-len(w.batch), 0), len(w.queue))
	started := slices.Clone(w.queue[:n])
	w.queue = w.queue[n:]
	w.batch = append(w.batch, started...)
	return started
}

// stepTime returns the duration of the next step of an engine's batch, including the prefill
// of the calls that began.
func (w *worker) stepTime(started []*call) time.Duration {
	prefill := 0
	for _, c := range started {
		prefill += c.prefillTokens
	}
	m := w.model
	m.SlowFactor = w.slowFactor
	return m.StepTime(len(w.batch), prefill)
}

// plainTime returns the service time of a call at a plain service.
func (w *worker) plainTime(c *call) time.Duration {
	if w.slowFactor > 0 {
		return time.Duration(float64(c.serviceTime) * w.slowFactor)
	}
	return c.serviceTime
}
