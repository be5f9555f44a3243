package bencher

import (
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/faker"
)

// worker is one backend server's model: an engine that gives every sequence of
// its batch a token each step, or a plain service whose calls run apart.
type worker struct {
	name    string
	plain   bool
	model   faker.Model
	slow    float64
	crashed bool
	lies    bool // reports no load
	batch   []*call
	queue   []*call // inside the worker, beyond its slots
	busy    bool    // a step is running
}

// load is what the worker reports.
func (w *worker) load() int {
	if w.lies {
		return 0
	}
	return len(w.batch) + len(w.queue)
}

// enter takes a call; the simulator then runs the worker.
func (w *worker) enter(c *call) {
	c.prefill = c.flow.prompt + c.made
	w.queue = append(w.queue, c)
}

// leave takes a call out before its end.
func (w *worker) leave(c *call) {
	same := func(o *call) bool { return o == c }
	w.batch = slices.DeleteFunc(w.batch, same)
	w.queue = slices.DeleteFunc(w.queue, same)
}

// start fills the batch from the queue and returns the calls that began.
func (w *worker) start() []*call {
	n := min(max(w.model.Slots-len(w.batch), 0), len(w.queue))
	began := slices.Clone(w.queue[:n])
	w.queue = w.queue[n:]
	w.batch = append(w.batch, began...)
	return began
}

// stepTime is how long the next step of an engine's batch takes.
func (w *worker) stepTime(began []*call) time.Duration {
	prefill := 0
	for _, c := range began {
		prefill += c.prefill
	}
	m := w.model
	m.SlowFactor = w.slow
	return m.StepTime(len(w.batch), prefill)
}

// plainTime is how long one call of a plain service takes.
func (w *worker) plainTime(c *call) time.Duration {
	if w.slow > 0 {
		return time.Duration(float64(c.took) * w.slow)
	}
	return c.took
}
