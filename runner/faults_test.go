package runner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/prover"
)

const (
	// faultDuration is how long a temporary fault lasts.
	faultDuration = 3 * time.Second
	// settleDuration is a little over a grant's lease: far less than a deadline, which
	// would clean up any leak.
	settleDuration = 28 * time.Second
)

// victim is the host that a fault hits.
type victim string

const (
	atOwner victim = "dispatcher"
	atEntry victim = "entry"
)

// reachStep brings a call to a step, the last event before the fault.
var reachStep = map[prover.Step]func(w *cluster){
	prover.Asked: func(w *cluster) { w.ask(w.entry()) }, // its Ask is in transit
	prover.Queued: func(w *cluster) {
		for range slots {
			w.ask(w.entry())
		}
		w.advance(10 * time.Millisecond)
		w.ask(w.entry())
		w.advance(5 * time.Millisecond)
	},
	prover.Granted: func(w *cluster) { // its Grant is in transit
		w.ask(w.entry())
		for len(w.frames) == 0 || w.frames[0].to == w.owner().name {
			w.advance(time.Millisecond)
		}
	},
	prover.Sent:       func(w *cluster) { holdPlace(w, 10*time.Millisecond) },
	prover.FirstToken: func(w *cluster) { holdPlace(w, 60*time.Millisecond) },
	prover.MidStream: func(w *cluster) {
		c := holdPlace(w, 100*time.Millisecond)
		c.host.control.Progress(w.now, *c.place, 5)
		w.advance(5 * time.Millisecond)
	},
	prover.RoleTaken: func(w *cluster) { // by the next host, in its claim window
		holdPlace(w, 10*time.Millisecond)
		w.owner().removed = true
		w.roster()
		w.ask(w.entry())
		w.advance(100 * time.Millisecond)
	},
	prover.RoleHandedOver: func(w *cluster) { // by a leaving host
		holdPlace(w, 10*time.Millisecond)
		w.owner().removed = true
		w.roster()
	},
}

// holdPlace returns a call that has its place, after a time.
func holdPlace(w *cluster, d time.Duration) *call {
	c := w.ask(w.entry())
	w.advance(d)
	Expect(c.place).NotTo(BeNil())
	Expect(c.finished).To(BeFalse())
	return c
}

// injectFault starts a fault at a host and returns a function that ends it.
func injectFault(w *cluster, f prover.Fault, h *host) func() {
	switch f {
	case prover.Kill:
		h.crashed = true
		w.advance(time.Second)
		h.removed = true
		w.roster()
		return func() { h.crashed, h.removed, h.incarnation = false, false, h.incarnation+1; w.restart(h); w.roster() }
	case prover.Freeze:
		h.frozen = true
		w.advance(lease)
		h.removed = true
		w.roster()
		return func() { h.frozen, h.removed = false, false; w.advance(50 * time.Millisecond); w.roster() }
	case prover.CutOneWay:
		h.dropsSent = true
		return func() { h.dropsSent = false }
	case prover.CutBothWays:
		h.dropsSent, h.dropsReceived = true, true
		w.advance(lease)
		h.removed = true
		w.roster()
		return func() { h.dropsSent, h.dropsReceived, h.removed = false, false, false; w.roster() }
	case prover.Blackhole: // the roster does not notice it
		h.dropsSent, h.dropsReceived = true, true
		return func() { h.dropsSent, h.dropsReceived = false, false }
	case prover.Slow:
		h.delay = 700 * time.Millisecond
		return func() { h.delay = 0 }
	default: // prover.Reorder
		h.reorders = true
		return func() { h.reorders = false }
	}
}

// runScenario brings a call to a step, injects a fault for a while, and checks the state
// afterwards.
func runScenario(s prover.Step, f prover.Fault, at victim, then func(w *cluster)) {
	w := newCluster("a", "b", "c", "d")
	reachStep[s](w)
	h := w.owner()
	if at == atEntry {
		h = w.entry()
	}
	end := injectFault(w, f, h)
	if then != nil {
		then(w)
	}
	for range 3 {
		w.ask(w.entry())
	}
	w.advance(faultDuration)
	end()
	w.advance(settleDuration)
	// Two concurrent dispatchers may fill the worker twice over, never more.
	Expect(w.maxBusy).To(BeNumerically("<=", 2*slots+2))
	w.expectSettled()
}

var (
	faultSteps = []prover.Step{prover.Queued, prover.Asked, prover.Granted, prover.Sent, prover.FirstToken, prover.MidStream, prover.RoleTaken, prover.RoleHandedOver}
	faultKinds = []prover.Fault{prover.Kill, prover.Freeze, prover.CutOneWay, prover.CutBothWays, prover.Blackhole, prover.Slow, prover.Reorder}
)

// A host fails, freezes, is cut off, falls silent or slows down, or its frames are
// duplicated and reordered, while a caller waits for a place or has one. Guards against a
// caller that gets no answer or two, and against a place that no call holds and that is
// never released: such places add up until none is free.
var _ = Describe("Places of a cell", func() {
	for _, s := range faultSteps {
		for _, f := range faultKinds {
			if prover.ImpossibleReason(s, f) != "" {
				continue
			}
			for _, at := range []victim{atOwner, atEntry} {
				It("settle when "+string(f)+" hits the "+string(at)+" at "+string(s), Label(prover.Cell(s, f)), func() {
					runScenario(s, f, at, nil)
				})
			}
		}
	}

	for _, f := range faultKinds {
		for _, g := range faultKinds {
			It("settle when "+string(f)+" hits the dispatcher while a call waits, and "+string(g)+" the next one",
				Label(prover.Pair(prover.Queued, f, prover.RoleTaken, g)), func() {
					var end func()
					runScenario(prover.Queued, f, atOwner, func(w *cluster) {
						w.advance(500 * time.Millisecond)
						end = injectFault(w, g, w.owner())
						w.advance(faultDuration)
						end()
					})
				})
		}
	}
})
