package dispatcher_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/prover"
)

// simulation is one cell with fake entries whose messages can be lost,
// duplicated and delayed, and a record of the answers to each request.
type simulation struct {
	t         *rapid.T
	now       time.Time
	d         *dispatcher.Dispatcher
	slots     int
	attempt   uint64
	open      map[string]messenger.Ask   // asked and not yet answered
	granted   map[string]messenger.Grant // in use
	answers   map[string]int             // by request
	deadlines map[string]time.Time       // when the entry gives up a request
	sent      []messenger.Message        // to be sent again
}

func newSimulation(t *rapid.T, workers, slots int) *simulation {
	return &simulation{
		t: t, now: ready, d: started(workers, slots), slots: slots,
		open: map[string]messenger.Ask{}, granted: map[string]messenger.Grant{}, answers: map[string]int{},
		deadlines: map[string]time.Time{},
	}
}

func (s *simulation) handle(m messenger.Message) {
	s.sent = append(s.sent, m)
	s.checkOutputs(s.d.Handle(s.now, "a", m))
}

// checkOutputs checks each answer as it arrives: none may be for a request
// without an open ask.
func (s *simulation) checkOutputs(out []dispatcher.Output) {
	for _, o := range out {
		switch m := o.Message.(type) {
		case messenger.Grant:
			if g, ok := s.granted[m.Request]; ok && g.Order == m.Order {
				continue // repeated
			}
			s.answer(m.Request)
			s.granted[m.Request] = m
			s.checkSlots(m.Worker)
		case messenger.Refuse:
			s.answer(m.Request)
			if m.RetryAfter <= 0 {
				s.t.Fatalf("refused without a retry time")
			}
		}
	}
}

func (s *simulation) answer(request string) {
	if _, ok := s.open[request]; !ok {
		s.t.Fatalf("answer to %s, which has no ask open", request)
	}
	delete(s.open, request)
	s.answers[request]++
}

func (s *simulation) checkSlots(worker string) {
	used := 0
	for _, g := range s.granted {
		if g.Worker == worker {
			used++
		}
	}
	if used > s.slots {
		s.t.Fatalf("%d grants on %s, which has %d slots", used, worker, s.slots)
	}
}

func (s *simulation) ask(class string) {
	s.attempt++
	a := ask(fmt.Sprintf("r%d", s.attempt), class)
	a.Attempt, a.Organisation = s.attempt, fmt.Sprintf("o%d", s.attempt%3)
	s.open[a.Request] = a
	s.deadlines[a.Request] = s.now.Add(a.Deadline)
	s.handle(a)
}

func (s *simulation) done() {
	for _, id := range sorted(s.granted) {
		g := s.granted[id]
		delete(s.granted, id)
		s.handle(done(g))
		return
	}
}

func (s *simulation) cancel() {
	for _, id := range sorted(s.open) {
		a := s.open[id]
		delete(s.open, id)
		s.answers[id]++
		s.handle(messenger.Cancel{Request: id, Attempt: a.Attempt})
		return
	}
}

func (s *simulation) pass(d time.Duration) {
	s.now = s.now.Add(d)
	for _, id := range sorted(s.granted) {
		if g := s.granted[id]; s.now.After(s.deadlines[id]) {
			delete(s.granted, id)
			s.handle(done(g))
		}
	}
	s.checkOutputs(s.d.Tick(s.now))
}

func sorted[V any](m map[string]V) []string {
	var ids []string
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

var classNames = []string{"check", "summary", "letter"}

var _ = Describe("Dispatcher under any schedule", func() {
	// Frames arrive twice and late. A place that is granted twice, or to no
	// caller, would use up the cell until it serves no request.
	It("never grants more than the slots, answers each ask once, and leaves no request behind",
		Label(prover.Cell(prover.Queued, prover.Reorder), prover.Pair(prover.Asked, prover.Reorder, prover.Granted, prover.Reorder)), func() {
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				f := newSimulation(t, rapid.IntRange(1, 3).Draw(t, "workers"), rapid.IntRange(1, 3).Draw(t, "slots"))
				t.Repeat(map[string]func(*rapid.T){
					"ask":    func(t *rapid.T) { f.ask(rapid.SampledFrom(classNames).Draw(t, "class")) },
					"done":   func(*rapid.T) { f.done() },
					"cancel": func(*rapid.T) { f.cancel() },
					"pass": func(t *rapid.T) {
						f.pass(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
					},
					"again": func(t *rapid.T) {
						if len(f.sent) > 0 {
							f.checkOutputs(f.d.Handle(f.now, "a", f.sent[rapid.IntRange(0, len(f.sent)-1).Draw(t, "which")]))
						}
					},
				})
				for len(f.granted)+len(f.open) > 0 {
					f.done()
					f.pass(time.Second)
				}
				for id, n := range f.answers {
					if n != 1 {
						t.Fatalf("%s had %d answers", id, n)
					}
				}
				if s := f.d.State(); len(s.Granted)+len(s.Waiting) > 0 {
					t.Fatalf("left behind: granted %v, waiting %v", s.Granted, s.Waiting)
				}
			})
		})

	// A request of the top tier waits while the last place goes to a lower
	// tier.
	It("grants a lower tier ahead of the top tier only if the class is starving and the top tier can spare the place", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newSimulation(t, 2, 2)
			lower := 0
			t.Repeat(map[string]func(*rapid.T){
				"ask":  func(t *rapid.T) { f.ask(rapid.SampledFrom(classNames).Draw(t, "class")) },
				"done": func(*rapid.T) { f.done() },
				"pass": func(*rapid.T) { f.pass(100 * time.Millisecond) },
				"": func(t *rapid.T) {
					s := f.d.State()
					held := s.Classes[1].Held + s.Classes[2].Held
					if s.Classes[0].Waiting > 0 && held > lower && held > 1 {
						t.Fatalf("%d places under the top tier while %d of it wait", held, s.Classes[0].Waiting)
					}
					lower = held
				},
			})
		})
	})
})
