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
	tick     = 20 * time.Millisecond
	runTime  = 300 * time.Millisecond // of a call on its worker
	deadline = 100 * time.Second
	lease    = 5 * time.Second
	slots    = 2
	cell     = "crew/0"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// host is one host's control state, and what a fault does to it.
type host struct {
	name    string
	control runner.Control
	number  uint64
	dead    bool
	frozen  bool
	left    bool // of the roster
	delay   time.Duration
	mute    bool // what it sends is lost
	deaf    bool // what is sent to it is lost
	shuffle bool // what it sends comes twice, in any order
}

// frame is one message on its way.
type frame struct {
	from, to string
	at       time.Time
	message  messenger.Message
}

// call is one request of a host's entry.
type call struct {
	id      string
	host    *host
	poll    func() (runner.Answer, bool)
	ends    time.Time
	place   *server.Place
	until   time.Time
	answers int
	over    bool
	lost    bool // with its host
}

// hosts are a few hosts, the frames between them, and what callers were told.
type hosts struct {
	now    time.Time
	all    []*host
	frames []frame
	calls  []*call
	random *rand.Rand
	most   int // calls on the worker at once
}

func newHosts(names ...string) *hosts {
	w := &hosts{now: begin, random: rand.New(rand.NewPCG(1, 2))}
	for _, n := range names {
		h := &host{name: n, number: 1}
		w.boot(h)
		w.all = append(w.all, h)
	}
	w.roster()
	w.run(time.Second) // gathering is over
	return w
}

// boot gives a host a fresh control state.
func (w *hosts) boot(h *host) {
	h.control = runner.NewControl(h.name, func(to string, m messenger.Message) { w.send(h, to, m) })
	second := loader.Duration(time.Second)
	h.control.Configure(w.now, &loader.Folder{
		Classes: map[string]loader.Class{"check": {Tier: 0, FirstByteTarget: 50 * second, AnswerTarget: 100 * second}},
		Services: map[string]loader.Service{"crew": {
			Kind: loader.KindPlain, Workers: []loader.Worker{{Name: "w0", Slots: slots}},
		}},
	})
}

func (w *hosts) send(h *host, to string, m messenger.Message) {
	if h.mute || h.dead {
		return
	}
	times := 1
	if h.shuffle {
		times = 2
	}
	for range times {
		f := frame{from: h.name, to: to, at: w.now.Add(time.Millisecond + h.delay), message: m}
		if h.shuffle {
			f.at = f.at.Add(time.Duration(w.random.IntN(100)) * time.Millisecond)
		}
		w.frames = append(w.frames, f)
	}
}

func (w *hosts) host(name string) *host {
	for _, h := range w.all {
		if h.name == name {
			return h
		}
	}
	return nil
}

// roster gives the roster of the hosts that are in it to all of them.
func (w *hosts) roster() {
	var records []registrar.Record
	for _, h := range w.all {
		if !h.left {
			records = append(records, registrar.Record{Name: h.name, Control: h.name, Incarnation: h.number})
		}
	}
	r := registrar.NewRoster(records...)
	for _, h := range w.all {
		if !h.dead && !h.frozen {
			h.control.Enroll(w.now, r)
		}
	}
}

// owner is the host that dispatches the cell by the roster.
func (w *hosts) owner() *host {
	var records []registrar.Record
	for _, h := range w.all {
		if !h.left {
			records = append(records, registrar.Record{Name: h.name})
		}
	}
	o, _ := registrar.NewRoster(records...).Owner(cell)
	return w.host(o.Name)
}

// entry is a host that does not dispatch the cell.
func (w *hosts) entry() *host {
	for _, h := range w.all {
		if h != w.owner() && !h.left {
			return h
		}
	}
	return nil
}

func (w *hosts) ask(h *host) *call {
	c := &call{id: fmt.Sprintf("r%d", len(w.calls)), host: h, ends: w.now.Add(deadline)}
	c.poll = h.control.Ask(w.now, "crew", messenger.Ask{Request: c.id, Class: "check", Organisation: "o", Deadline: deadline})
	w.calls = append(w.calls, c)
	return c
}

// run lets time pass: frames arrive, hosts tick, callers go on.
func (w *hosts) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(time.Millisecond)
		w.deliver()
		if w.now.Sub(begin)%tick == 0 {
			for _, h := range w.all {
				if !h.dead && !h.frozen {
					h.control.Tick(w.now)
				}
			}
		}
		w.callers()
	}
}

func (w *hosts) deliver() {
	var later []frame
	due := w.frames
	w.frames = nil
	for _, f := range due {
		h := w.host(f.to)
		switch {
		case f.at.After(w.now) || (h.frozen && !h.dead):
			later = append(later, f)
		case h.dead || h.deaf:
		default:
			h.control.Deliver(w.now, f.from, f.message)
		}
	}
	w.frames = append(later, w.frames...)
}

// callers polls answers, ends calls whose time on the worker is over, and those
// whose deadline is.
func (w *hosts) callers() {
	busy := 0
	for _, c := range w.calls {
		if c.over || c.host.frozen {
			continue
		}
		if c.host.dead {
			c.over, c.lost = true, true
			continue
		}
		w.follow(c)
		if c.place != nil && !c.over {
			busy++
		}
	}
	w.most = max(w.most, busy)
}

func (w *hosts) follow(c *call) {
	if a, ok := c.poll(); ok {
		c.answers++
		if a.Refusal != nil {
			c.over = true
			return
		}
		c.place, c.until = &a.Place, w.now.Add(runTime)
	}
	switch {
	case c.place != nil && !w.now.Before(c.until):
		c.over = true
		c.host.control.Done(w.now, *c.place)
	case c.place == nil && !w.now.Before(c.ends):
		c.over = true
		c.host.control.Leave(w.now, c.id)
	}
}

// settled checks what must hold once all faults are over and time has passed:
// nobody has two answers, nothing is held or waited for by nobody, and a new
// request is served at once.
func (w *hosts) settled() {
	for _, c := range w.calls {
		ExpectWithOffset(2, c.over).To(BeTrue(), c.id)
		if !c.lost {
			ExpectWithOffset(2, c.answers).To(Equal(1), c.id)
		}
	}
	for _, h := range w.all {
		if h.dead {
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
	w.run(time.Second)
	ExpectWithOffset(2, c.answers).To(Equal(1), "a new request")
	ExpectWithOffset(2, c.place).NotTo(BeNil(), "a new request")
}
