package server_test

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/server"
)

// points is where each step of a call lies in a worker's answer.
var points = []struct {
	step prover.Step
	at   int
}{
	{prover.Sent, faker.AtHead},
	{prover.First, 0},
	{prover.Mid, 4},
	{prover.Answered, faker.AtEnd},
}

// faults is how each fault shows at a worker.
var faults = []prover.Fault{
	prover.Kill, prover.Freeze, prover.CutOne, prover.CutBoth, prover.Silence, prover.Slow, prover.Reorder, prover.Crossed,
}

// fault makes a fault hit at a point; hit counts that it did.
func (s *stand) fault(f prover.Fault, at int, hit *atomic.Int32) []faker.Fault {
	x := faker.Fault{At: at, Kind: faker.Trip, Hook: func(string) { hit.Add(1) }}
	link := func(m faker.Mode) {
		x.Hook = func(worker string) {
			hit.Add(1)
			s.links[worker].Set(m, 0)
		}
	}
	switch f {
	case prover.Kill:
		x.Kind = faker.Crash
	case prover.Freeze: // and it returns when another has taken over
		x.Kind, x.Delay = faker.Late, 4*silence
	case prover.CutOne:
		link(faker.Forward)
	case prover.CutBoth:
		link(faker.Cut)
	case prover.Silence:
		link(faker.SilentOpen)
	case prover.Slow:
		x.Kind, x.Delay = faker.Late, silence/5
	case prover.Reorder: // the answer comes after the next try's has begun
		x.Kind, x.Delay = faker.Late, 3*silence
	case prover.Crossed:
		x.Kind = faker.Crossed
	}
	return []faker.Fault{x}
}

// trouble is one cell of the matrix.
type trouble struct {
	step  prover.Step
	at    int
	fault prover.Fault
}

func troubles() []trouble {
	var out []trouble
	for _, f := range faults {
		for _, p := range points {
			out = append(out, trouble{p.step, p.at, f})
		}
	}
	return out
}

// follows says that a second trouble can hit the same request: in the same try
// where the first only slows it, else in the next, which after the last token
// has none in its middle.
func follows(a, b trouble) bool {
	if a.fault == prover.Slow {
		return order(b) > order(a)
	}
	return a.step != prover.Answered || b.step != prover.Mid
}

func order(t trouble) int {
	for i, p := range points {
		if p.step == t.step {
			return i
		}
	}
	return -1
}

// alone has a request meet one trouble, and returns what was wrong with its end.
func alone(t trouble) error {
	s := newStand(options{resume: true})
	defer s.close()
	var hit atomic.Int32
	s.faults.Plan(s.fault(t.fault, t.at, &hit))
	err := s.stream().whole()
	if asked, released := s.places.counts(); err == nil && (hit.Load() != 1 || asked != released) {
		err = fmt.Errorf("hit %d times, %d places asked for, %d given back", hit.Load(), asked, released)
	}
	if err != nil {
		return fmt.Errorf("%s/%s: %w", t.step, t.fault, err)
	}
	return nil
}

// grantFaults is how each fault shows that hits a worker between its grant and
// the call.
var grantFaults = map[prover.Fault]faker.Mode{
	prover.Kill: faker.Cut, prover.CutBoth: faker.Cut, prover.CutOne: faker.Backward, prover.Silence: faker.Backward, prover.Freeze: faker.Backward,
}

// atGrants has the first places fail, each by its fault, before their workers are
// called.
func (s *stand) atGrants(hit *atomic.Int32, faults ...prover.Fault) {
	s.places.granted = func(p *server.Place) {
		if n := int(hit.Load()); n < len(faults) {
			hit.Add(1)
			s.links[p.Worker.Name].Set(grantFaults[faults[n]], 0)
		}
	}
}

// meetGranted has a place's worker fail at its grant by f, then the next try meet
// b, or its worker the fault at its grant too.
func meetGranted(f prover.Fault, b trouble) error {
	s := newStand(options{resume: true})
	defer s.close()
	var hit atomic.Int32
	if b.step == prover.Granted {
		s.atGrants(&hit, f, b.fault)
	} else {
		s.faults.Plan(s.fault(b.fault, b.at, &hit))
		var first atomic.Int32
		s.atGrants(&first, f)
	}
	err := s.stream().whole()
	want := int32(1)
	if b.step == prover.Granted {
		want = 2
	}
	if err == nil && hit.Load() != want {
		err = fmt.Errorf("hit %d times", hit.Load())
	}
	if err != nil {
		return fmt.Errorf("granted/%s, then %s/%s: %w", f, b.step, b.fault, err)
	}
	return nil
}

// meet has a request meet a, then b, and returns what was wrong with its end.
func meet(a, b trouble) error {
	s := newStand(options{resume: true})
	defer s.close()
	var first, second atomic.Int32
	x, y := s.fault(a.fault, a.at, &first), s.fault(b.fault, b.at, &second)
	if a.fault == prover.Slow {
		s.faults.Plan(append(x, y...))
	} else {
		s.faults.Plan(x, y)
	}
	err := s.stream().whole()
	if err == nil && (first.Load() != 1 || second.Load() != 1) {
		err = fmt.Errorf("hit %d and %d times", first.Load(), second.Load())
	}
	if err != nil {
		return fmt.Errorf("%s/%s, then %s/%s: %w", a.step, a.fault, b.step, b.fault, err)
	}
	return nil
}

// A tour group's plan streams when the engine under it dies, freezes, or is cut
// off, or a middlebox forgets the connection, or the engine answers with another
// caller's tokens. The plan must come whole: each token once, in order, its own,
// and the end mark only then.
var _ = Describe("a stream that can be resumed", func() {
	for _, f := range faults {
		var single []trouble
		var labels []string
		for _, t := range troubles() {
			if t.fault == f {
				single = append(single, t)
				labels = append(labels, prover.Cell(t.step, t.fault))
			}
		}
		It(fmt.Sprintf("is whole after %s at any step", f), Label(labels...), func() {
			Expect(together(len(single), func(i int) error { return alone(single[i]) })).To(Succeed())
		})
	}

	for _, f := range faults {
		var pairs [][2]trouble
		var labels []string
		for _, a := range troubles() {
			for _, b := range troubles() {
				if a.fault == f && follows(a, b) {
					pairs = append(pairs, [2]trouble{a, b})
					labels = append(labels, prover.Pair(a.step, a.fault, b.step, b.fault))
				}
			}
		}
		It(fmt.Sprintf("is whole after %s and any second fault", f), Label(labels...), func() {
			Expect(together(len(pairs), func(i int) error { return meet(pairs[i][0], pairs[i][1]) })).To(Succeed())
		})
	}
})

// The worker of a grant is gone before it is called, and then the next one fails
// as well.
var _ = Describe("a stream whose first place was lost", func() {
	for _, f := range slices.Sorted(maps.Keys(grantFaults)) {
		later := troubles()
		for _, g := range slices.Sorted(maps.Keys(grantFaults)) {
			later = append(later, trouble{step: prover.Granted, fault: g})
		}
		var labels []string
		for _, b := range later {
			labels = append(labels, prover.Pair(prover.Granted, f, b.step, b.fault))
		}
		It(fmt.Sprintf("by %s is whole after any second fault", f), Label(labels...), func() {
			Expect(together(len(later), func(i int) error { return meetGranted(f, later[i]) })).To(Succeed())
		})
	}
})

// The same faults, with an engine that can't resume, or an answer in one piece:
// the caller gets its whole answer, or a true beginning marked as broken.
var _ = Describe("an answer that can't be resumed", func() {
	end := func(g got) error {
		if g.done {
			return g.whole()
		}
		return g.marked()
	}
	It("is whole or marked", func() {
		all := troubles()
		Expect(together(len(all), func(i int) error {
			s := newStand(options{})
			defer s.close()
			var hit atomic.Int32
			s.faults.Plan(s.fault(all[i].fault, all[i].at, &hit))
			if err := end(s.stream()); err != nil {
				return fmt.Errorf("stream, %s/%s: %w", all[i].step, all[i].fault, err)
			}
			return nil
		})).To(Succeed())
	})

	It("comes whole in one piece when a connection breaks", func() {
		Expect(together(8, func(i int) error {
			s := newStand(options{})
			defer s.close()
			var hit atomic.Int32
			f := []prover.Fault{prover.Kill, prover.CutBoth, prover.Crossed, prover.Slow}[i/2]
			s.faults.Plan(s.fault(f, []int{faker.AtHead, faker.AtEnd}[i%2], &hit))
			return s.json().whole()
		})).To(Succeed())
	})

	It("ends at its deadline where a connection goes silent", func() {
		s := newStand(options{})
		defer s.close()
		s.faults.Plan([]faker.Fault{{Kind: faker.Silent, At: faker.AtHead}})
		r := s.request(GinkgoT().Context(), "/v1/chat/completions", completionBody(false))
		r.Header.Set("Cicadawood-Deadline", fmt.Sprint((2 * silence).Milliseconds()))
		g := s.send(r)
		Expect(g.code).To(Equal("deadline"))
		Expect(g.run).To(Equal("unknown"), "it was sent: it may have run")
	})
})
