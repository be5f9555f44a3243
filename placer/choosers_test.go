package placer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadawood/cicadawood/placer"
)

// decision is where a request goes. An empty worker is a refusal.
type decision struct {
	worker     string
	source     string // address of the engine to fetch the prompt's parts from
	delay      time.Duration
	retryAfter time.Duration
}

func decisionOf(c placer.Choice, r *placer.Refusal) decision {
	if r != nil {
		return decision{retryAfter: r.RetryAfter}
	}
	return decision{worker: c.Worker.Name, source: c.Source, delay: c.Delay}
}

// chooser picks an engine for a request.
type chooser interface {
	choose(now time.Duration, s *stream) decision
	begun(now time.Duration, s *stream)
	ended(now time.Duration, s *stream)
}

// viewChooser chooses by a View; without names a mechanism to switch off.
type viewChooser struct {
	view    *placer.View
	without string
}

func (o viewChooser) choose(now time.Duration, s *stream) decision {
	a := s.req
	switch o.without {
	case "parts":
		a.Parts = nil
	case "pauses":
		a.Gap = 0
	case "queue":
		a.Target = 0
	case "ranks":
		a.Rank = 0
	case "ends":
		a.Expected = 0
	}
	return decisionOf(o.view.Place(start.Add(now), s.id, a))
}
func (o viewChooser) begun(now time.Duration, s *stream) { o.view.Begun(start.Add(now), s.id) }
func (o viewChooser) ended(now time.Duration, s *stream) {
	o.view.Ended(start.Add(now), s.id, placer.Answered)
}

// random sends each request to any engine.
type random struct {
	names []string
	r     *rand.Rand
}

func (r random) choose(time.Duration, *stream) decision {
	return decision{worker: r.names[r.r.IntN(len(r.names))]}
}
func (random) begun(time.Duration, *stream) {}
func (random) ended(time.Duration, *stream) {}

func viewWithout(mechanism string) func([]string, *rand.Rand) chooser {
	return func(names []string, _ *rand.Rand) chooser {
		v := placer.New("a")
		v.SetWorkers(start, engines(names...))
		return viewChooser{view: v, without: mechanism}
	}
}

// fleet is many hosts, each with a View of its own, that report to each other with delays.
type fleet struct {
	hosts    []viewChooser
	delays   updateDelays
	updates  eventQueue
	chosenBy map[uint64]int
	sent     map[uint64]time.Duration
	r        *rand.Rand
}

// updateDelays are the delays of a host's reports: of the requests that it sends, and of all
// other events.
type updateDelays struct{ sent, rest time.Duration }

func fleetOf(hosts int, delays updateDelays, worker func(string) placer.Worker) func([]string, *rand.Rand) chooser {
	return func(names []string, r *rand.Rand) chooser {
		f := &fleet{delays: delays, chosenBy: map[uint64]int{}, sent: map[uint64]time.Duration{}, r: r}
		var workers []placer.Worker
		for _, n := range names {
			workers = append(workers, worker(n))
		}
		for i := range hosts {
			v := placer.New(fmt.Sprintf("z-%d", i%4))
			v.SetWorkers(start, workers)
			f.hosts = append(f.hosts, viewChooser{view: v})
		}
		return f
	}
}

// deliver applies the reports that are due.
func (f *fleet) deliver(now time.Duration) {
	for len(f.updates) > 0 && f.updates[0].at <= now {
		m := heap.Pop(&f.updates).(event)
		m.do(m.at)
	}
}

// broadcast has all hosts but one apply a report at a later time.
func (f *fleet) broadcast(at time.Duration, from int, apply func(*placer.View, time.Time)) {
	heap.Push(&f.updates, event{at: at, do: func(at time.Duration) {
		for i, h := range f.hosts {
			if i != from {
				apply(h.view, start.Add(at))
			}
		}
	}})
}

func (f *fleet) choose(now time.Duration, s *stream) decision {
	f.deliver(now)
	i := f.r.IntN(len(f.hosts))
	c, refusal := f.hosts[i].view.Place(start.Add(now), s.id, s.req)
	if refusal != nil {
		return decisionOf(c, refusal)
	}
	f.chosenBy[s.id], f.sent[s.id] = i, now+c.Delay
	f.broadcast(now+f.delays.sent, i, func(v *placer.View, at time.Time) { v.Receive(at, fmt.Sprint(i), c.Flight) })
	return decisionOf(c, nil)
}

func (f *fleet) begun(now time.Duration, s *stream) {
	f.deliver(now)
	i := f.chosenBy[s.id]
	took := now - f.sent[s.id]
	f.hosts[i].view.BegunAfter(start.Add(now), s.id, took)
	f.broadcast(now+f.delays.rest, i, func(v *placer.View, at time.Time) { v.BegunAfter(at, s.id, took) })
}

func (f *fleet) ended(now time.Duration, s *stream) {
	f.deliver(now)
	i := f.chosenBy[s.id]
	f.hosts[i].ended(now, s)
	f.broadcast(now+f.delays.rest, i, func(v *placer.View, at time.Time) { v.Ended(at, s.id, placer.Answered) })
}

func atRandom(names []string, r *rand.Rand) chooser { return random{names: names, r: r} }
