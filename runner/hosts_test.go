package runner_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/runner"
	"github.com/cicadawood/cicadawood/server"
)

const (
	tick         = 20 * time.Millisecond
	callDuration = 300 * time.Millisecond // of a call on its worker
	deadline     = 100 * time.Second
	lease        = 5 * time.Second
	slots        = 2
	cell         = "crew/0"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// host is one host's control state, and the faults injected into it.
type host struct {
	name          string
	control       runner.Control
	incarnation   uint64
	crashed       bool
	frozen        bool
	removed       bool // from the roster
	delay         time.Duration
	dropsSent     bool
	dropsReceived bool
	reorders      bool // frames that it sends arrive twice, in any order
}

// frame is one message in transit.
type frame struct {
	from, to string
	at       time.Time
	message  messenger.Message
}

// call is one request of a host's entry.
type call struct {
	id        string
	host      *host
	poll      func() (runner.Answer, bool)
	deadline  time.Time
	place     *server.Place
	runsUntil time.Time
	answers   int
	finished  bool
	lost      bool // with its host
}

// cluster is a few hosts, the frames between them, and their calls.
type cluster struct {
	now     time.Time
	hosts   []*host
	frames  []frame
	calls   []*call
	random  *rand.Rand
	maxBusy int // highest number of concurrent calls on the worker
}

func newCluster(names ...string) *cluster {
	w := &cluster{now: startTime, random: rand.New(rand.NewPCG(1, 2))}
	for _, n := range names {
		h := &host{name: n, incarnation: 1}
		w.restart(h)
		w.hosts = append(w.hosts, h)
	}
	w.roster()
	w.advance(time.Second) // past the claim window
	return w
}

// restart gives a host a fresh control state.
func (w *cluster) restart(h *host) {
	h.control = runner.NewControl(h.name, func(to string, m messenger.Message) { w.send(h, to, m) })
	second := loader.Duration(time.Second)
	h.control.Configure(w.now, &loader.Folder{
		Classes: map[string]loader.Class{"check": {Tier: 0, FirstByteTarget: 50 * second, AnswerTarget: 100 * second}},
		Services: map[string]loader.Service{"crew": {
			Kind: loader.KindPlain, Workers: []loader.Worker{{Name: "w0", Slots: slots}},
		}},
	})
}

func (w *cluster) send(h *host, to string, m messenger.Message) {
	if h.dropsSent || h.crashed {
		return
	}
	times := 1
	if h.reorders {
		times = 2
	}
	for range times {
		f := frame{from: h.name, to: to, at: w.now.Add(time.Millisecond + h.delay), message: m}
		if h.reorders {
			f.at = f.at.Add(time.Duration(w.random.IntN(100)) * time.Millisecond)
		}
		w.frames = append(w.frames, f)
	}
}

func (w *cluster) host(name string) *host {
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// roster applies the current roster at all hosts that run.
func (w *cluster) roster() {
	var records []registrar.Record
	for _, h := range w.hosts {
		if !h.removed {
			records = append(records, registrar.Record{Name: h.name, Control: h.name, Incarnation: h.incarnation})
		}
	}
	r := registrar.NewRoster(records...)
	for _, h := range w.hosts {
		if !h.crashed && !h.frozen {
			h.control.SetRoster(w.now, r)
		}
	}
}

// owner returns the host that dispatches the cell according to the roster.
func (w *cluster) owner() *host {
	var records []registrar.Record
	for _, h := range w.hosts {
		if !h.removed {
			records = append(records, registrar.Record{Name: h.name})
		}
	}
	o, _ := registrar.NewRoster(records...).Owner(cell)
	return w.host(o.Name)
}

// entry returns a host that does not dispatch the cell.
func (w *cluster) entry() *host {
	for _, h := range w.hosts {
		if h != w.owner() && !h.removed {
			return h
		}
	}
	return nil
}

func (w *cluster) ask(h *host) *call {
	c := &call{id: fmt.Sprintf("r%d", len(w.calls)), host: h, deadline: w.now.Add(deadline)}
	c.poll = h.control.Ask(w.now, "crew", messenger.Ask{Request: c.id, Class: "check", Organisation: "o", Deadline: deadline})
	w.calls = append(w.calls, c)
	return c
}

// advance simulates time: frames arrive, hosts tick, and calls proceed.
func (w *cluster) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(time.Millisecond)
		w.deliver()
		if w.now.Sub(startTime)%tick == 0 {
			for _, h := range w.hosts {
				if !h.crashed && !h.frozen {
					h.control.Tick(w.now)
				}
			}
		}
		w.stepCalls()
	}
}

func (w *cluster) deliver() {
	var later []frame
	due := w.frames
	w.frames = nil
	for _, f := range due {
		h := w.host(f.to)
		switch {
		case f.at.After(w.now) || (h.frozen && !h.crashed):
			later = append(later, f)
		case h.crashed || h.dropsReceived:
		default:
			h.control.Deliver(w.now, f.from, f.message)
		}
	}
	w.frames = append(later, w.frames...)
}

// stepCalls polls answers, and ends calls whose time on the worker or whose deadline is
// over.
func (w *cluster) stepCalls() {
	busy := 0
	for _, c := range w.calls {
		if c.finished || c.host.frozen {
			continue
		}
		if c.host.crashed {
			c.finished, c.lost = true, true
			continue
		}
		w.stepCall(c)
		if c.place != nil && !c.finished {
			busy++
		}
	}
	w.maxBusy = max(w.maxBusy, busy)
}

func (w *cluster) stepCall(c *call) {
	if a, ok := c.poll(); ok {
		c.answers++
		if a.Refusal != nil {
			c.finished = true
			return
		}
		c.place, c.runsUntil = &a.Place, w.now.Add(callDuration)
	}
	switch {
	case c.place != nil && !w.now.Before(c.runsUntil):
		c.finished = true
		c.host.control.Release(w.now, *c.place)
	case c.place == nil && !w.now.Before(c.deadline):
		c.finished = true
		c.host.control.Cancel(w.now, c.id)
	}
}

// expectSettled checks the state after all faults have ended and time has passed: each call
// has one answer, no place is held or waited for, and a new request is served.
func (w *cluster) expectSettled() {
	for _, c := range w.calls {
		ExpectWithOffset(2, c.finished).To(BeTrue(), c.id)
		if !c.lost {
			ExpectWithOffset(2, c.answers).To(Equal(1), c.id)
		}
	}
	for _, h := range w.hosts {
		if h.crashed {
			continue
		}
		s := h.control.State()
		ExpectWithOffset(2, s.Calls).To(BeEmpty(), h.name)
		for _, d := range s.Cells {
			ExpectWithOffset(2, d.Granted).To(BeEmpty(), h.name)
			ExpectWithOffset(2, d.Waiting).To(BeEmpty(), h.name)
		}
	}
	c := w.ask(w.entry())
	w.advance(time.Second)
	ExpectWithOffset(2, c.answers).To(Equal(1), "a new request")
	ExpectWithOffset(2, c.place).NotTo(BeNil(), "a new request")
}
