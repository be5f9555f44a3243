package bencher

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
)

// envelopeBytes is a frame's size without its message's body.
const envelopeBytes = 64

// renewEvery is as in package runner.
const renewEvery = 10 * time.Second

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// routed is the row of cells under dispatchers.
type routed struct {
	sim      *simulator
	cells    []string
	owners   map[string]*dispatcher.Dispatcher
	choosers [hosts]dispatcher.Chooser
	random   *rand.Rand
	calls    map[string]*asked
	attempt  uint64
	exact    bool
	bytes    int
	sizes    map[string]int
	lower    map[string]int // grants under the top tier so far, by cell
}

// asked is a call's present ask.
type asked struct {
	call  *call
	ask   messenger.Ask
	grant messenger.Grant
	lower int
}

func newRouted(s *simulator, size int, p dispatcher.Policy, seed uint64) *routed {
	r := &routed{
		sim: s, owners: map[string]*dispatcher.Dispatcher{}, random: rand.New(rand.NewPCG(seed, 99)),
		calls: map[string]*asked{}, exact: p.Exact, sizes: map[string]int{}, lower: map[string]int{},
	}
	config := loader.Service{CellSize: size}
	for _, w := range s.workers {
		config.Workers = append(config.Workers, loader.Worker{Name: w.name, Slots: w.model.Slots})
	}
	for _, c := range dispatcher.SplitCells(s.service.name, config) {
		r.cells = append(r.cells, c.Name)
		r.owners[c.Name] = dispatcher.New(c, 1, s.workload.classes, dispatcher.Options{Policy: p, Seed: seed})
	}
	return r
}

func (r *routed) arrive(now time.Duration, c *call, exclude *worker) {
	r.attempt++
	target := r.sim.workload.classes[c.class]
	a := messenger.Ask{
		Request: c.id, Class: c.class, Organisation: c.org, Prompt: c.flow.prompt, Attempt: r.attempt, NonPreemptible: c.flow.fixed,
		Deadline: c.arrived + target.AnswerTarget.Std() - now, Waited: now - c.arrived, Made: c.made, Output: c.flow.limit - c.made,
	}
	if r.exact {
		a.Output = c.length
	}
	if exclude != nil {
		a.Exclude = []string{exclude.name}
	}
	a.Cell = r.choosers[c.host].Choose(origin.Add(now), r.cells, c.class, r.random.Uint64())
	r.calls[c.id] = &asked{call: c, ask: a, lower: r.lower[a.Cell]}
	r.handle(now, a.Cell, fmt.Sprint(c.host), a)
}

func (r *routed) handle(now time.Duration, cell, from string, m messenger.Message) {
	r.count(m)
	r.take(now, r.owners[cell].Handle(origin.Add(now), from, m))
}

// take carries out what a dispatcher decided.
func (r *routed) take(now time.Duration, out []dispatcher.Output) {
	for _, o := range out {
		r.count(o.Message)
		switch m := o.Message.(type) {
		case messenger.Grant:
			r.granted(now, m)
		case messenger.Refuse:
			r.refused(now, m)
		case messenger.Preempt:
			if k := r.calls[m.Request]; k != nil {
				r.sim.preempted(now, k.call)
			}
		}
	}
}

func (r *routed) granted(now time.Duration, g messenger.Grant) {
	k := r.calls[g.Request]
	r.choosers[k.call.host].RecordWait(origin.Add(now), g.Cell, g.Class, g.Wait)
	k.grant = g
	if k.call.tier > 0 {
		r.lower[g.Cell]++
	}
	i := slices.IndexFunc(r.sim.workers, func(w *worker) bool { return w.name == g.Worker })
	r.sim.send(now, k.call, r.sim.workers[i])
}

func (r *routed) refused(now time.Duration, m messenger.Refuse) {
	k := r.calls[m.Request]
	r.choosers[k.call.host].RecordWait(origin.Add(now), m.Cell, m.Class, m.Wait)
	delete(r.calls, m.Request)
	k.call.passed = k.call.tier == 0 && r.lower[m.Cell] > k.lower
	r.sim.refuse(now, k.call)
}

func (r *routed) end(now time.Duration, c *call, failed bool) {
	k := r.calls[c.id]
	delete(r.calls, c.id)
	first := c.first - c.granted
	if c.first < c.granted {
		first = 0
	}
	r.handle(now, k.ask.Cell, fmt.Sprint(c.host), messenger.Done{
		Request: c.id, Attempt: k.ask.Attempt, Cell: k.ask.Cell, Worker: k.grant.Worker,
		Tokens: c.made - k.ask.Made, First: first, Failed: failed,
	})
}

func (r *routed) drop(now time.Duration, c *call) {
	k := r.calls[c.id]
	delete(r.calls, c.id)
	r.handle(now, k.ask.Cell, fmt.Sprint(c.host), messenger.Cancel{Request: c.id, Attempt: k.ask.Attempt, Cell: k.ask.Cell})
}

func (r *routed) tick(now time.Duration) {
	if now%renewEvery == 0 {
		r.renew(now)
	}
	for _, name := range r.cells {
		r.take(now, r.owners[name].Tick(origin.Add(now)))
	}
}

// renew tells the dispatchers which calls still have their places.
func (r *routed) renew(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(r.calls)) {
		k := r.calls[id]
		if k == nil || k.grant.Worker == "" {
			continue
		}
		r.handle(now, k.ask.Cell, fmt.Sprint(k.call.host), messenger.Progress{
			Request: id, Attempt: k.ask.Attempt, Cell: k.ask.Cell, Tokens: k.call.made - k.ask.Made,
		})
	}
}

// count adds a message's size, taken once for each kind.
func (r *routed) count(m messenger.Message) {
	kind := fmt.Sprintf("%T", m)
	n, ok := r.sizes[kind]
	if !ok {
		body, _ := msgpack.Marshal(m)
		n = len(body) + envelopeBytes
		r.sizes[kind] = n
	}
	r.bytes += n
}

func (r *routed) control() int { return r.bytes }
