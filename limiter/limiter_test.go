package limiter_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadawood/cicadawood/limiter"
	"github.com/cicadawood/cicadawood/prover"
)

const (
	step = 10 * time.Millisecond
	org  = "carrier"
)

// delayedMessage is a message in transit.
type delayedMessage struct {
	at  time.Time
	run func()
}

// simulation is a set of hosts that share one organisation's limit. Messages
// take time or get lost, and the owner of the limit can be lost.
type simulation struct {
	now           time.Time
	limits        limiter.Rates
	gates         []*limiter.Gate
	lender        *limiter.Lender
	rosterChanged time.Time
	ownerUp       bool   // the owner can be reached
	partitioned   []bool // hosts that can't reach the owner
	inTransit     []delayedMessage
	delay         time.Duration
	admitted      []int
	refused       []int
}

func newSimulation(hosts int, limit float64) *simulation {
	w := &simulation{
		now: time.Unix(1000, 0), limits: limiter.Rates{Requests: limit}, lender: &limiter.Lender{}, ownerUp: true,
		partitioned: make([]bool, hosts), admitted: make([]int, hosts), refused: make([]int, hosts),
	}
	w.rosterChanged = w.now.Add(-time.Hour)
	for range hosts {
		g := &limiter.Gate{}
		g.Configure(w.limits, hosts)
		w.gates = append(w.gates, g)
	}
	return w
}

// loseOwner loses the owner; the next one starts without loans.
func (s *simulation) loseOwner() {
	s.lender, s.rosterChanged = &limiter.Lender{}, s.now
}

// tick advances time by a step, with arrivals at each host.
func (s *simulation) tick(arrivals []int) {
	s.now = s.now.Add(step)
	later := s.inTransit[:0]
	due := []delayedMessage{}
	for _, f := range s.inTransit {
		if f.at.After(s.now) {
			later = append(later, f)
			continue
		}
		due = append(due, f)
	}
	s.inTransit = later
	for _, f := range due {
		f.run()
	}
	for i, g := range s.gates {
		for range arrivals[i] {
			if _, ok := g.Admit(s.now, 1, 0); ok {
				s.admitted[i]++
			} else {
				s.refused[i]++
			}
		}
		s.requestLoan(i, g)
	}
}

// requestLoan sends a host's loan request to the owner, and the answer back.
func (s *simulation) requestLoan(i int, g *limiter.Gate) {
	demand, sequence, due := g.LoanRequest(s.now)
	if !due || !s.ownerUp || s.partitioned[i] {
		return
	}
	s.inTransit = append(s.inTransit, delayedMessage{at: s.now.Add(s.delay), run: func() {
		loan, ok := s.lender.Lend(s.now, s.rosterChanged, org, fmt.Sprint(i), len(s.gates), s.limits, demand)
		if !ok || s.partitioned[i] {
			return
		}
		s.inTransit = append(s.inTransit, delayedMessage{at: s.now.Add(s.delay), run: func() { g.SetLoan(s.now, sequence, loan) }})
	}})
}

// rate returns the sum of the rates that the hosts admit now.
func (s *simulation) rate() float64 {
	sum := 0.0
	for _, g := range s.gates {
		sum += g.Rates(s.now).Requests
	}
	return sum
}

func (s *simulation) total() int {
	n := 0
	for _, a := range s.admitted {
		n += a
	}
	return n
}

// run advances time with the same arrivals at each step.
func (s *simulation) run(d time.Duration, arrivals ...int) {
	for range d / step {
		s.tick(arrivals)
	}
}

// One organisation sends requests through every host, and each host knows only
// its own part. Without an owner, nine hosts would admit nine times the limit.
var _ = Describe("Limits over all hosts", func() {
	It("never exceed the bound, whatever messages and owners are lost", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
			limit := float64(rapid.IntRange(1, 300).Draw(t, "limit"))
			w := newSimulation(hosts, limit)
			w.delay = time.Duration(rapid.IntRange(0, 30).Draw(t, "delay")) * step
			arrivals := make([]int, hosts)
			var ticks int
			for range rapid.IntRange(1, 12).Draw(t, "phases") {
				for i := range arrivals {
					arrivals[i] = rapid.IntRange(0, 3).Draw(t, "arrivals")
				}
				switch rapid.IntRange(0, 5).Draw(t, "event") {
				case 0:
					w.loseOwner()
				case 1:
					w.ownerUp = !w.ownerUp
				case 2:
					i := rapid.IntRange(0, hosts-1).Draw(t, "host")
					w.partitioned[i] = !w.partitioned[i]
				}
				for range rapid.IntRange(1, 300).Draw(t, "steps") {
					w.tick(arrivals)
					ticks++
					if r := w.rate(); r > 2*limit+1e-6 {
						t.Fatalf("the hosts admit %.1f/s of %.1f", r, limit)
					}
				}
			}
			length := (time.Duration(ticks) * step).Seconds()
			if bound := 2*limit*length + max(limit, float64(hosts)); float64(w.total()) > bound+1 {
				t.Fatalf("admitted %d in %.1fs, bound %.1f", w.total(), length, bound)
			}
		})
	})

	It("are not exceeded while the owner can be reached, and idle entries ask for nothing", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
			limit := float64(rapid.IntRange(hosts, 300).Draw(t, "limit"))
			w := newSimulation(hosts, limit)
			arrivals := make([]int, hosts)
			for range 8 {
				for i := range arrivals {
					arrivals[i] = rapid.IntRange(0, 4).Draw(t, "arrivals")
				}
				w.run(time.Second, arrivals...)
			}
			lent := 0.0
			for i, g := range w.gates {
				if arrivals[i] > 0 {
					lent += g.Rates(w.now).Requests
				}
			}
			if lent > limit+1e-6 {
				t.Fatalf("loans of %.2f/s of %.1f", lent, limit)
			}
			w.run(limiter.LoanTerm, make([]int, hosts)...)
			for _, g := range w.gates {
				if _, _, due := g.LoanRequest(w.now); due {
					t.Fatalf("an idle entry asks for a loan")
				}
			}
		})
	})

	DescribeTable("are lent to the hosts with traffic",
		func(hosts int, arrivals []int, minimum, maximum float64) {
			const limit = 50.0
			w := newSimulation(hosts, limit)
			w.delay = step
			w.run(4*time.Second, arrivals...)
			before := w.total()
			w.run(20*time.Second, arrivals...)
			Expect(float64(w.total()-before) / 20 / limit).To(And(BeNumerically(">=", minimum), BeNumerically("<=", maximum)))
		},
		Entry("all traffic at one of nine hosts", 9, []int{3, 0, 0, 0, 0, 0, 0, 0, 0}, 0.85, 1.01),
		Entry("equal traffic at nine hosts", 9, []int{1, 1, 1, 1, 1, 1, 1, 1, 1}, 0.9, 1.01),
		Entry("most traffic at one, little at the others", 9, []int{4, 1, 1, 1, 1, 1, 1, 1, 1}, 0.85, 1.01),
		Entry("a single host", 1, []int{3}, 0.99, 1.01),
	)

	// The owner fails while an organisation is at its limit on all hosts.
	DescribeTable("stay within the bound when the owner is lost",
		func(unreachable bool, minimum, maximum float64) {
			w := newSimulation(9, 90)
			w.run(5*time.Second, 1, 1, 1, 1, 1, 1, 1, 1, 1)
			w.ownerUp = !unreachable
			w.loseOwner()
			before := w.total()
			w.run(10*time.Second, 1, 1, 1, 1, 1, 1, 1, 1, 1)
			Expect(float64(w.total()-before) / 10 / 90).To(And(BeNumerically(">=", minimum), BeNumerically("<=", maximum)))
		},
		Entry("and another takes over", Label(prover.Cell(prover.Received, prover.Kill)), false, 0.9, 1.2),
		Entry("and none can be reached", Label(prover.Cell(prover.Received, prover.CutBothWays)), true, 0.9, 1.2),
	)

	It("admit traffic that moves to another host immediately", func() {
		w := newSimulation(9, 90)
		w.run(5*time.Second, 3, 0, 0, 0, 0, 0, 0, 0, 0)
		w.run(time.Second, 0, 1, 0, 0, 0, 0, 0, 0, 0)
		Expect(w.admitted[1]).To(BeNumerically(">=", 9), "a host's even part needn't wait for the loans of others")
		w.run(4*time.Second, 0, 1, 0, 0, 0, 0, 0, 0, 0)
		before := w.admitted[1]
		w.run(5*time.Second, 0, 1, 0, 0, 0, 0, 0, 0, 0)
		Expect(w.admitted[1] - before).To(BeNumerically(">=", 5*75))
	})

	// The answer that reduced an entry's loan is lost: the entry goes on using
	// the larger loan until that expires.
	It("count a previous loan that an entry may still use", Label(prover.Cell(prover.Received, prover.CutOneWay)), func() {
		var l limiter.Lender
		now, since, limit := time.Unix(10000, 0), time.Time{}, limiter.Rates{Requests: 90}
		lend := func(host string, demand float64) float64 {
			r, ok := l.Lend(now, since, org, host, 9, limit, limiter.Rates{Requests: demand})
			Expect(ok).To(BeTrue())
			return r.Requests
		}
		large := lend("a", 1000)
		now = now.Add(time.Second)
		Expect(lend("a", 1)).To(BeNumerically("<", large), "this answer is lost")
		Expect(lend("b", 1000)).To(BeNumerically("<=", 90-large+1e-6))
		now = now.Add(limiter.LoanTerm)
		Expect(lend("b", 1000)).To(BeNumerically(">", 60), "the large loan has expired")
	})

	It("cost one pair of messages a second for each active host", func() {
		w := newSimulation(1, 1000)
		asks := 0
		for range 1000 {
			w.now = w.now.Add(step)
			w.gates[0].Admit(w.now, 1, 0)
			if _, _, due := w.gates[0].LoanRequest(w.now); due {
				asks++
			}
		}
		Expect(asks).To(BeNumerically("<=", 12))
	})

	// Requests of the least urgent tier use up their organisation's limit. More
	// urgent ones of the same organisation must still be admitted, and all
	// together stay within the limit.
	It("refuse no request because of less urgent ones", func() {
		g := &limiter.Gate{}
		g.Configure(limiter.Rates{Requests: 20, Tokens: 1000}, 1)
		now := time.Unix(1000, 0)
		var admitted [3]int
		for i := range 6000 {
			now = now.Add(step)
			for tier, every := range []int{20, 10, 1} { // 5, 10 and 100 a second
				if i%every != 0 {
					continue
				}
				if _, ok := g.Admit(now, tier, 10); ok {
					admitted[tier]++
				}
			}
		}
		Expect(admitted[0]).To(Equal(300), "all of the most urgent tier")
		Expect(admitted[1]).To(Equal(600), "all of the next tier")
		Expect(admitted[2]).To(And(BeNumerically(">=", 280), BeNumerically("<=", 330)), "the least urgent tier gets the rest")
	})

	It("charge tokens by estimate and correct them", func() {
		g := &limiter.Gate{}
		g.Configure(limiter.Rates{Tokens: 100}, 1)
		now := time.Unix(1000, 0)
		_, ok := g.Admit(now, 1, 500)
		Expect(ok).To(BeTrue(), "more than a burst, but there was room")
		after, ok := g.Admit(now, 1, 1)
		Expect(ok).To(BeFalse())
		Expect(after).To(BeNumerically("~", 4010*time.Millisecond, 10*time.Millisecond), "when the debt of 400 is paid")
		g.Settle(1, -450)
		_, ok = g.Admit(now, 1, 1)
		Expect(ok).To(BeTrue())
	})

	It("ignore the answer to an earlier loan request", Label(prover.Cell(prover.Received, prover.Reorder)), func() {
		g := &limiter.Gate{}
		g.Configure(limiter.Rates{Requests: 100}, 10)
		now := time.Unix(1000, 0)
		g.Admit(now, 1, 0)
		_, first, _ := g.LoanRequest(now)
		g.Admit(now, 1, 0)
		_, second, due := g.LoanRequest(now.Add(time.Second))
		Expect(due).To(BeTrue())
		g.SetLoan(now.Add(time.Second), second, limiter.Rates{Requests: 20})
		g.SetLoan(now.Add(time.Second), first, limiter.Rates{Requests: 90})
		Expect(g.Rates(now.Add(time.Second)).Requests).To(Equal(20.0))
		Expect(g.Rates(now.Add(time.Second+limiter.LoanTerm)).Requests).To(Equal(10.0), "expired: the even part again")
	})
})

var _ = Describe("Gates", func() {
	It("drops idle gates and applies changed limits", func() {
		var g limiter.Gates
		now := time.Unix(1000, 0)
		_, ok := g.Admit(now, org, 1, 1)
		Expect(ok).To(BeTrue(), "no limit is set")
		g.Configure(map[string]limiter.Rates{org: {Requests: 1}})
		g.SetHosts(1)
		_, ok = g.Admit(now, org, 1, 0)
		Expect(ok).To(BeTrue())
		_, ok = g.Admit(now, org, 1, 0)
		Expect(ok).To(BeFalse())
		Expect(g.LoanRequests(now)).To(HaveLen(1))
		Expect(g.LoanRequests(now.Add(time.Minute))).To(BeEmpty())
		Expect(g.Rates(now)).To(BeEmpty())
		g.Admit(now, org, 1, 0)
		g.Configure(nil)
		Expect(g.Rates(now)).To(BeEmpty())
	})
})
