package placer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadawood/cicadawood/placer"
)

// decision is where a request goes. The zero worker refuses it.
type decision struct {
	worker string
	source string // address of the engine to fetch the prompt from
	pause  time.Duration
	after  time.Duration
}

func decided(c placer.Choice, r *placer.Refusal) decision {
	if r != nil {
		return decision{after: r.RetryAfter}
	}
	return decision{worker: c.Worker.Name, source: c.Source, pause: c.Delay}
}

// chooser picks an engine for a request.
type chooser interface {
	choose(now time.Duration, s *stream) decision
	begun(now time.Duration, s *stream)
	ended(now time.Duration, s *stream)
}

// ours is the View. Without is a mechanism that is switched off.
type ours struct {
	view    *placer.View
	without string
}

func (o ours) choose(now time.Duration, s *stream) decision {
	a := s.ask
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
	return decided(o.view.Place(start.Add(now), s.id, a))
}
func (o ours) begun(now time.Duration, s *stream) { o.view.Begun(start.Add(now), s.id) }
func (o ours) ended(now time.Duration, s *stream) {
	o.view.Ended(start.Add(now), s.id, placer.Answered)
}

// random sends each request anywhere.
type random struct {
	names []string
	r     *rand.Rand
}

func (r random) choose(time.Duration, *stream) decision {
	return decision{worker: r.names[r.r.IntN(len(r.names))]}
}
func (random) begun(time.Duration, *stream) {}
func (random) ended(time.Duration, *stream) {}

func oursWithout(what string) func([]string, *rand.Rand) chooser {
	return func(names []string, _ *rand.Rand) chooser {
		v := placer.New("a")
		v.SetWorkers(start, engines(names...))
		return ours{view: v, without: what}
	}
}

// fleet is many hosts, each with a View of its own, that tell one another what they
// did only after a while.
type fleet struct {
	hosts []ours
	late  lateness
	told  agenda
	taken map[uint64]int
	sent  map[uint64]time.Duration
	r     *rand.Rand
}

// lateness is how long a host's word takes to the others: of what it sends to a
// worker, and of what became of that.
type lateness struct{ sent, rest time.Duration }

func fleetOf(hosts int, late lateness, worker func(string) placer.Worker) func([]string, *rand.Rand) chooser {
	return func(names []string, r *rand.Rand) chooser {
		f := &fleet{late: late, taken: map[uint64]int{}, sent: map[uint64]time.Duration{}, r: r}
		var workers []placer.Worker
		for _, n := range names {
			workers = append(workers, worker(n))
		}
		for i := range hosts {
			v := placer.New(fmt.Sprintf("z-%d", i%4))
			v.SetWorkers(start, workers)
			f.hosts = append(f.hosts, ours{view: v})
		}
		return f
	}
}

// hear has hosts take what the others told them by now.
func (f *fleet) hear(now time.Duration) {
	for len(f.told) > 0 && f.told[0].at <= now {
		m := heap.Pop(&f.told).(moment)
		m.do(m.at)
	}
}

// tell has all hosts but one hear of something later.
func (f *fleet) tell(at time.Duration, from int, do func(*placer.View, time.Time)) {
	heap.Push(&f.told, moment{at: at, do: func(at time.Duration) {
		for i, h := range f.hosts {
			if i != from {
				do(h.view, start.Add(at))
			}
		}
	}})
}

func (f *fleet) choose(now time.Duration, s *stream) decision {
	f.hear(now)
	i := f.r.IntN(len(f.hosts))
	c, refusal := f.hosts[i].view.Place(start.Add(now), s.id, s.ask)
	if refusal != nil {
		return decided(c, refusal)
	}
	f.taken[s.id], f.sent[s.id] = i, now+c.Delay
	f.tell(now+f.late.sent, i, func(v *placer.View, at time.Time) { v.Receive(at, fmt.Sprint(i), c.Flight) })
	return decided(c, nil)
}

func (f *fleet) begun(now time.Duration, s *stream) {
	f.hear(now)
	i := f.taken[s.id]
	took := now - f.sent[s.id]
	f.hosts[i].view.BegunAfter(start.Add(now), s.id, took)
	f.tell(now+f.late.rest, i, func(v *placer.View, at time.Time) { v.BegunAfter(at, s.id, took) })
}

func (f *fleet) ended(now time.Duration, s *stream) {
	f.hear(now)
	i := f.taken[s.id]
	f.hosts[i].ended(now, s)
	f.tell(now+f.late.rest, i, func(v *placer.View, at time.Time) { v.Ended(at, s.id, placer.Answered) })
}

func atRandom(names []string, r *rand.Rand) chooser { return random{names: names, r: r} }
