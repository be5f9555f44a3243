package runner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/prover"
)

const (
	// faultTime is how long a fault that ends lasts.
	faultTime = 3 * time.Second
	// settleTime is a grant's lease and a little: far less than a deadline, which
	// would tidy up anything.
	settleTime = 28 * time.Second
)

// victim is which host a fault hits.
type victim string

const (
	atOwner victim = "dispatcher"
	atEntry victim = "entry"
)

// reach brings a call to a step: the last thing that happens before the fault.
var reach = map[prover.Step]func(w *hosts){
	prover.Asked: func(w *hosts) { w.ask(w.entry()) }, // its Ask is on its way
	prover.Queued: func(w *hosts) {
		for range slots {
			w.ask(w.entry())
		}
		w.run(10 * time.Millisecond)
		w.ask(w.entry())
		w.run(5 * time.Millisecond)
	},
	prover.Granted: func(w *hosts) { // its Grant is on its way
		w.ask(w.entry())
		for len(w.frames) == 0 || w.frames[0].to == w.owner().name {
			w.run(time.Millisecond)
		}
	},
	prover.Sent:       func(w *hosts) { hold(w, 10*time.Millisecond) },
	prover.FirstToken: func(w *hosts) { hold(w, 60*time.Millisecond) },
	prover.MidStream: func(w *hosts) {
		c := hold(w, 100*time.Millisecond)
		c.host.control.Advance(w.now, *c.place, 5)
		w.run(5 * time.Millisecond)
	},
	prover.RoleTaken: func(w *hosts) { // by the next host, which is gathering
		hold(w, 10*time.Millisecond)
		w.owner().left = true
		w.roster()
		w.ask(w.entry())
		w.run(100 * time.Millisecond)
	},
	prover.RoleHandedOver: func(w *hosts) { // by a host that leaves
		hold(w, 10*time.Millisecond)
		w.owner().left = true
		w.roster()
	},
}

// hold is a call that has had its place for a while.
func hold(w *hosts, d time.Duration) *call {
	c := w.ask(w.entry())
	w.run(d)
	Expect(c.place).NotTo(BeNil())
	Expect(c.over).To(BeFalse())
	return c
}

// strike begins a fault at a host and returns what ends it.
func strike(w *hosts, f prover.Fault, h *host) func() {
	switch f {
	case prover.Kill:
		h.dead = true
		w.run(time.Second)
		h.left = true
		w.roster()
		return func() { h.dead, h.left, h.number = false, false, h.number+1; w.boot(h); w.roster() }
	case prover.Freeze:
		h.frozen = true
		w.run(lease)
		h.left = true
		w.roster()
		return func() { h.frozen, h.left = false, false; w.run(50 * time.Millisecond); w.roster() }
	case prover.CutOneWay:
		h.mute = true
		return func() { h.mute = false }
	case prover.CutBothWays:
		h.mute, h.deaf = true, true
		w.run(lease)
		h.left = true
		w.roster()
		return func() { h.mute, h.deaf, h.left = false, false, false; w.roster() }
	case prover.Blackhole: // the roster never hears of it
		h.mute, h.deaf = true, true
		return func() { h.mute, h.deaf = false, false }
	case prover.Slow:
		h.delay = 700 * time.Millisecond
		return func() { h.delay = 0 }
	default: // prover.Reorder
		h.shuffle = true
		return func() { h.shuffle = false }
	}
}

// play reaches a step, lets the fault come and go, and checks what must hold.
func play(s prover.Step, f prover.Fault, at victim, then func(w *hosts)) {
	w := newHosts("a", "b", "c", "d")
	reach[s](w)
	h := w.owner()
	if at == atEntry {
		h = w.entry()
	}
	end := strike(w, f, h)
	if then != nil {
		then(w)
	}
	for range 3 {
		w.ask(w.entry())
	}
	w.run(faultTime)
	end()
	w.run(settleTime)
	// Two dispatchers at once may fill the worker twice over, never more.
	Expect(w.most).To(BeNumerically("<=", 2*slots+2))
	w.settled()
}

var (
	hitSteps  = []prover.Step{prover.Queued, prover.Asked, prover.Granted, prover.Sent, prover.FirstToken, prover.MidStream, prover.RoleTaken, prover.RoleHandedOver}
	hitFaults = []prover.Fault{prover.Kill, prover.Freeze, prover.CutOneWay, prover.CutBothWays, prover.Blackhole, prover.Slow, prover.Reorder}
)

// A caller waits for a place, or has one, when a host dies, freezes, is cut off,
// falls silent, gets slow, or its frames come twice and in disorder. The caller
// must hear once what became of its request, and the place must come free again:
// a place that nobody holds is lost to all callers, one at a time, until none is
// left.
var _ = Describe("Places of a cell", func() {
	for _, s := range hitSteps {
		for _, f := range hitFaults {
			if prover.ImpossibleReason(s, f) != "" {
				continue
			}
			for _, at := range []victim{atOwner, atEntry} {
				It("settle when "+string(f)+" hits the "+string(at)+" at "+string(s), Label(prover.Cell(s, f)), func() {
					play(s, f, at, nil)
				})
			}
		}
	}

	for _, f := range hitFaults {
		for _, g := range hitFaults {
			It("settle when "+string(f)+" hits the dispatcher while a call waits, and "+string(g)+" the next one",
				Label(prover.Pair(prover.Queued, f, prover.RoleTaken, g)), func() {
					var end func()
					play(prover.Queued, f, atOwner, func(w *hosts) {
						w.run(500 * time.Millisecond)
						end = strike(w, g, w.owner())
						w.run(faultTime)
						end()
					})
				})
		}
	}
})
