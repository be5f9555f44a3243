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

// stepPositions gives the position of each step in a worker's answer.
var stepPositions = []struct {
	step     prover.Step
	position int
}{
	{prover.Sent, faker.AtHead},
	{prover.FirstToken, 0},
	{prover.MidStream, 4},
	{prover.Answered, faker.AtEnd},
}

// faults lists the faults of the matrix.
var faults = []prover.Fault{
	prover.Kill, prover.Freeze, prover.CutOneWay, prover.CutBothWays, prover.Blackhole, prover.Slow, prover.Reorder, prover.MismatchedAnswer,
}

// workerFaults returns the faker's faults that make f occur at a position. hit counts
// the occurrences.
func (s *fixture) workerFaults(f prover.Fault, at int, hit *atomic.Int32) []faker.Fault {
	x := faker.Fault{At: at, Kind: faker.CallHook, Hook: func(string) { hit.Add(1) }}
	link := func(m faker.LinkMode) {
		x.Hook = func(worker string) {
			hit.Add(1)
			s.links[worker].Set(m, 0)
		}
	}
	switch f {
	case prover.Kill:
		x.Kind = faker.Crash
	case prover.Freeze: // the worker continues after another has taken over
		x.Kind, x.Delay = faker.Delayed, 4*silence
	case prover.CutOneWay:
		link(faker.ForwardOnly)
	case prover.CutBothWays:
		link(faker.Cut)
	case prover.Blackhole:
		link(faker.SilenceOpen)
	case prover.Slow:
		x.Kind, x.Delay = faker.Delayed, silence/5
	case prover.Reorder: // the answer arrives after the next try's answer has begun
		x.Kind, x.Delay = faker.Delayed, 3*silence
	case prover.MismatchedAnswer:
		x.Kind = faker.Mismatched
	}
	return []faker.Fault{x}
}

// faultPoint is one cell of the matrix.
type faultPoint struct {
	step     prover.Step
	position int
	fault    prover.Fault
}

func faultPoints() []faultPoint {
	var out []faultPoint
	for _, f := range faults {
		for _, p := range stepPositions {
			out = append(out, faultPoint{p.step, p.position, f})
		}
	}
	return out
}

// canFollow reports whether b can hit the same request after a: in the same try if a
// only delays it, otherwise in the next try. After the last token, the next try has no
// middle.
func canFollow(a, b faultPoint) bool {
	if a.fault == prover.Slow {
		return stepIndex(b) > stepIndex(a)
	}
	return a.step != prover.Answered || b.step != prover.MidStream
}

func stepIndex(t faultPoint) int {
	for i, p := range stepPositions {
		if p.step == t.step {
			return i
		}
	}
	return -1
}

// runWithFault runs a request with one fault, and returns an error if it doesn't end
// correctly.
func runWithFault(t faultPoint) error {
	s := newFixture(options{resume: true})
	defer s.close()
	var hit atomic.Int32
	s.faults.Plan(s.workerFaults(t.fault, t.position, &hit))
	err := s.stream().checkComplete()
	if asked, released := s.allocator.counts(); err == nil && (hit.Load() != 1 || asked != released) {
		err = fmt.Errorf("hit %d times, %d places requested, %d released", hit.Load(), asked, released)
	}
	if err != nil {
		return fmt.Errorf("%s/%s: %w", t.step, t.fault, err)
	}
	return nil
}

// grantFaults maps each fault that hits a worker between its grant and the call to the
// state of its link.
var grantFaults = map[prover.Fault]faker.LinkMode{
	prover.Kill: faker.Cut, prover.CutBothWays: faker.Cut, prover.CutOneWay: faker.BackwardOnly, prover.Blackhole: faker.BackwardOnly, prover.Freeze: faker.BackwardOnly,
}

// failAtGrants makes the workers of the first places fail before they are called, one
// fault per place.
func (s *fixture) failAtGrants(hit *atomic.Int32, faults ...prover.Fault) {
	s.allocator.granted = func(p *server.Place) {
		if n := int(hit.Load()); n < len(faults) {
			hit.Add(1)
			s.links[p.Worker.Name].Set(grantFaults[faults[n]], 0)
		}
	}
}

// runWithGrantFault runs a request whose first worker fails by f at its grant, and whose
// next try meets b, which may be a fault at the grant, too.
func runWithGrantFault(f prover.Fault, b faultPoint) error {
	s := newFixture(options{resume: true})
	defer s.close()
	var hit atomic.Int32
	if b.step == prover.Granted {
		s.failAtGrants(&hit, f, b.fault)
	} else {
		s.faults.Plan(s.workerFaults(b.fault, b.position, &hit))
		var first atomic.Int32
		s.failAtGrants(&first, f)
	}
	err := s.stream().checkComplete()
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

// runWithFaults runs a request with fault a, then b, and returns an error if it doesn't
// end correctly.
func runWithFaults(a, b faultPoint) error {
	s := newFixture(options{resume: true})
	defer s.close()
	var first, second atomic.Int32
	x, y := s.workerFaults(a.fault, a.position, &first), s.workerFaults(b.fault, b.position, &second)
	if a.fault == prover.Slow {
		s.faults.Plan(append(x, y...))
	} else {
		s.faults.Plan(x, y)
	}
	err := s.stream().checkComplete()
	if err == nil && (first.Load() != 1 || second.Load() != 1) {
		err = fmt.Errorf("hit %d and %d times", first.Load(), second.Load())
	}
	if err != nil {
		return fmt.Errorf("%s/%s, then %s/%s: %w", a.step, a.fault, b.step, b.fault, err)
	}
	return nil
}

// The engine of a stream fails, freezes or is cut off, a middlebox drops the connection,
// or the engine answers with another caller's tokens. The answer must arrive complete:
// each token once, in order, of this request, and the end marker only after them.
var _ = Describe("a stream that can be resumed", func() {
	for _, f := range faults {
		var single []faultPoint
		var labels []string
		for _, t := range faultPoints() {
			if t.fault == f {
				single = append(single, t)
				labels = append(labels, prover.Cell(t.step, t.fault))
			}
		}
		It(fmt.Sprintf("is whole after %s at any step", f), Label(labels...), func() {
			Expect(inParallel(len(single), func(i int) error { return runWithFault(single[i]) })).To(Succeed())
		})
	}

	for _, f := range faults {
		var pairs [][2]faultPoint
		var labels []string
		for _, a := range faultPoints() {
			for _, b := range faultPoints() {
				if a.fault == f && canFollow(a, b) {
					pairs = append(pairs, [2]faultPoint{a, b})
					labels = append(labels, prover.Pair(a.step, a.fault, b.step, b.fault))
				}
			}
		}
		It(fmt.Sprintf("is whole after %s and any second fault", f), Label(labels...), func() {
			Expect(inParallel(len(pairs), func(i int) error { return runWithFaults(pairs[i][0], pairs[i][1]) })).To(Succeed())
		})
	}
})

// The worker of a grant fails before it is called, and then the next try fails, too.
var _ = Describe("a stream whose first place was lost", func() {
	for _, f := range slices.Sorted(maps.Keys(grantFaults)) {
		second := faultPoints()
		for _, g := range slices.Sorted(maps.Keys(grantFaults)) {
			second = append(second, faultPoint{step: prover.Granted, fault: g})
		}
		var labels []string
		for _, b := range second {
			labels = append(labels, prover.Pair(prover.Granted, f, b.step, b.fault))
		}
		It(fmt.Sprintf("by %s is whole after any second fault", f), Label(labels...), func() {
			Expect(inParallel(len(second), func(i int) error { return runWithGrantFault(f, second[i]) })).To(Succeed())
		})
	}
})

// The same faults with an engine that can't resume, or an answer that is not streamed:
// the caller receives the whole answer, or a correct part from its start that is marked
// as broken.
var _ = Describe("an answer that can't be resumed", func() {
	end := func(g response) error {
		if g.done {
			return g.checkComplete()
		}
		return g.checkMarkedBroken()
	}
	It("is whole or marked as broken", func() {
		all := faultPoints()
		Expect(inParallel(len(all), func(i int) error {
			s := newFixture(options{})
			defer s.close()
			var hit atomic.Int32
			s.faults.Plan(s.workerFaults(all[i].fault, all[i].position, &hit))
			if err := end(s.stream()); err != nil {
				return fmt.Errorf("stream, %s/%s: %w", all[i].step, all[i].fault, err)
			}
			return nil
		})).To(Succeed())
	})

	It("is complete if not streamed when a connection breaks", func() {
		Expect(inParallel(8, func(i int) error {
			s := newFixture(options{})
			defer s.close()
			var hit atomic.Int32
			f := []prover.Fault{prover.Kill, prover.CutBothWays, prover.MismatchedAnswer, prover.Slow}[i/2]
			s.faults.Plan(s.workerFaults(f, []int{faker.AtHead, faker.AtEnd}[i%2], &hit))
			return s.json().checkComplete()
		})).To(Succeed())
	})

	It("ends at its deadline if a connection goes silent", func() {
		s := newFixture(options{})
		defer s.close()
		s.faults.Plan([]faker.Fault{{Kind: faker.Silent, At: faker.AtHead}})
		r := s.request(GinkgoT().Context(), "/v1/chat/completions", completionBody(false))
		r.Header.Set("Cicadawood-Deadline", fmt.Sprint((2 * silence).Milliseconds()))
		g := s.send(r)
		Expect(g.code).To(Equal("deadline"))
		Expect(g.run).To(Equal("unknown"), "it was sent, so it may have run")
	})
})
