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

// envelopeBytes is the assumed size in bytes of a frame without the message body.
const envelopeBytes = 64

// progressInterval is the interval between reports of calls in progress, the same as in
// package runner.
const progressInterval = 10 * time.Second

// startTime is the wall-clock time at the start of a run. It is fixed, so that runs are
// reproducible.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// routed implements the rows in which the dispatchers of cells place calls.
type routed struct {
	sim         *simulator
	cells       []string
	dispatchers map[string]*dispatcher.Dispatcher
	choosers    [hostCount]dispatcher.Chooser
	random      *rand.Rand
	calls       map[string]*pendingAsk // by request ID
	attempt     uint64
	exact       bool           // output lengths are known exactly
	sentBytes   int            // of messages between hosts
	frameSizes  map[string]int // in bytes, by message type
	lowerGrants map[string]int // number of grants to tiers below the top one, by cell
}

// pendingAsk is the current Ask of a call, with its Grant once it arrives.
type pendingAsk struct {
	call        *call
	ask         messenger.Ask
	grant       messenger.Grant
	lowerGrants int // of the cell when the call asked
}

func newRouted(s *simulator, size int, p dispatcher.Policy, seed uint64) *routed {
	r := &routed{
		sim: s, dispatchers: map[string]*dispatcher.Dispatcher{}, random: rand.New(rand.NewPCG(seed, 99)),
		calls: map[string]*pendingAsk{}, exact: p.Exact, frameSizes: map[string]int{}, lowerGrants: map[string]int{},
	}
	config := loader.Service{CellSize: size}
	for _, w := range s.workers {
		config.Workers = append(config.Workers, loader.Worker{Name: w.name, Slots: w.model.Slots})
	}
	for _, c := range dispatcher.SplitCells(s.service.name, config) {
		r.cells = append(r.cells, c.Name)
		r.dispatchers[c.Name] = dispatcher.New(c, 1, s.workload.classes, dispatcher.Options{Policy: p, Seed: seed})
	}
	return r
}

func (r *routed) arrive(now time.Duration, c *call, exclude *worker) {
	r.attempt++
	target := r.sim.workload.classes[c.class]
	a := messenger.Ask{
		Request: c.id, Class: c.class, Organisation: c.org, Prompt: c.flow.promptTokens, Attempt: r.attempt, NonPreemptible: c.flow.nonRepeatable,
		Deadline: c.arrivedAt + target.AnswerTarget.Std() - now, Waited: now - c.arrivedAt, Made: c.generated, Output: c.flow.maxTokens - c.generated,
	}
	if r.exact {
		a.Output = c.length
	}
	if exclude != nil {
		a.Exclude = []string{exclude.name}
	}
	a.Cell = r.choosers[c.host].Choose(startTime.Add(now), r.cells, c.class, r.random.Uint64())
	r.calls[c.id] = &pendingAsk{call: c, ask: a, lowerGrants: r.lowerGrants[a.Cell]}
	r.handle(now, a.Cell, fmt.Sprint(c.host), a)
}

// handle delivers a message from a host to the dispatcher of a cell.
func (r *routed) handle(now time.Duration, cell, from string, m messenger.Message) {
	r.countBytes(m)
	r.apply(now, r.dispatchers[cell].Handle(startTime.Add(now), from, m))
}

// apply executes a dispatcher's decisions.
func (r *routed) apply(now time.Duration, out []dispatcher.Output) {
	for _, o := range out {
		r.countBytes(o.Message)
		switch m := o.Message.(type) {
		case messenger.Grant:
			r.granted(now, m)
		case messenger.Refuse:
			r.refused(now, m)
		case messenger.Preempt:
			if k := r.calls[m.Request]; k != nil {
				r.sim.preempt(now, k.call)
			}
		}
	}
}

func (r *routed) granted(now time.Duration, g messenger.Grant) {
	k := r.calls[g.Request]
	r.choosers[k.call.host].RecordWait(startTime.Add(now), g.Cell, g.Class, g.Wait)
	k.grant = g
	if k.call.tier > 0 {
		r.lowerGrants[g.Cell]++
	}
	i := slices.IndexFunc(r.sim.workers, func(w *worker) bool { return w.name == g.Worker })
	r.sim.send(now, k.call, r.sim.workers[i])
}

func (r *routed) refused(now time.Duration, m messenger.Refuse) {
	k := r.calls[m.Request]
	r.choosers[k.call.host].RecordWait(startTime.Add(now), m.Cell, m.Class, m.Wait)
	delete(r.calls, m.Request)
	k.call.passedOver = k.call.tier == 0 && r.lowerGrants[m.Cell] > k.lowerGrants
	r.sim.refuse(now, k.call)
}

func (r *routed) release(now time.Duration, c *call, failed bool) {
	k := r.calls[c.id]
	delete(r.calls, c.id)
	first := c.firstTokenAt - c.placedAt
	if c.firstTokenAt < c.placedAt {
		first = 0
	}
	r.handle(now, k.ask.Cell, fmt.Sprint(c.host), messenger.Done{
		Request: c.id, Attempt: k.ask.Attempt, Cell: k.ask.Cell, Worker: k.grant.Worker,
		Tokens: c.generated - k.ask.Made, First: first, Failed: failed,
	})
}

func (r *routed) withdraw(now time.Duration, c *call) {
	k := r.calls[c.id]
	delete(r.calls, c.id)
	r.handle(now, k.ask.Cell, fmt.Sprint(c.host), messenger.Cancel{Request: c.id, Attempt: k.ask.Attempt, Cell: k.ask.Cell})
}

func (r *routed) tick(now time.Duration) {
	if now%progressInterval == 0 {
		r.reportProgress(now)
	}
	for _, name := range r.cells {
		r.apply(now, r.dispatchers[name].Tick(startTime.Add(now)))
	}
}

// reportProgress sends the dispatchers a Progress for each call that still occupies a slot.
func (r *routed) reportProgress(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(r.calls)) {
		k := r.calls[id]
		if k == nil || k.grant.Worker == "" {
			continue
		}
		r.handle(now, k.ask.Cell, fmt.Sprint(k.call.host), messenger.Progress{
			Request: id, Attempt: k.ask.Attempt, Cell: k.ask.Cell, Tokens: k.call.generated - k.ask.Made,
		})
	}
}

// countBytes adds the size of a message. Each message type is encoded once; later messages
// of the type count with the same size.
func (r *routed) countBytes(m messenger.Message) {
	kind := fmt.Sprintf("%T", m)
	n, ok := r.frameSizes[kind]
	if !ok {
		body, _ := msgpack.Marshal(m)
		n = len(body) + envelopeBytes
		r.frameSizes[kind] = n
	}
	r.sentBytes += n
}

func (r *routed) controlBytes() int { return r.sentBytes }
