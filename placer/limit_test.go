package placer_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

var _ = Describe("Workers that state how many requests per second they accept", func() {
	const (
		window = 4 * time.Second
		delay  = 5 * time.Millisecond // until other hosts learn of a request
	)
	quote := placer.Request{Service: "app", Left: 2 * time.Second, Target: 300 * time.Millisecond, Tier: 1}
	var (
		v  *placer.View
		id uint64
	)
	BeforeEach(func() {
		v, id = placer.New("a"), 0
		v.SetWorkers(start, plainWorkers("d-1", "d-2"))
	})
	// answer has a worker answer a request and state a rate.
	answer := func(now time.Time, worker string, rate float64) bool {
		return v.UpdateLimit(now.Add(time.Millisecond), worker, rate, v.RateLimit(worker))
	}
	// maxInWindow returns the maximum number of these times within any window.
	maxInWindow := func(at []time.Time) int {
		n, from := 0, 0
		for i := range at {
			for at[i].Sub(at[from]) >= window {
				from++
			}
			n = max(n, i-from+1)
		}
		return n
	}

	// Guards against hosts that each keep the limit, but together exceed it several times over.
	DescribeTable("get no more from several hosts that decide by each other's reports", func(rate float64, hosts int) {
		r := rand.New(rand.NewPCG(5, 6))
		views := make([]*placer.View, hosts)
		for i := range views {
			views[i] = placer.New("a")
			views[i].SetWorkers(start, plainWorkers("d-1", "d-2"))
			views[i].ReceiveLimit(start, placer.WorkerLimit{Worker: "d-1", Rate: rate})
		}
		type update struct {
			at   time.Time
			from int
			f    placer.Flight
		}
		var updates []update
		var sent []time.Time
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
			for len(updates) > 0 && !now.Before(updates[0].at) {
				for i, other := range views {
					if i != updates[0].from {
						other.Receive(now, "h", updates[0].f)
					}
					other.Ended(now, updates[0].f.ID, placer.Answered)
				}
				updates = updates[1:]
			}
			if r.Float64() > 0.2 { // 200 per second
				continue
			}
			id++
			at := r.IntN(hosts)
			c, refused := views[at].Place(now, id, quote)
			if refused != nil {
				continue
			}
			updates = append(updates, update{now.Add(delay), at, c.Flight})
			if c.Worker.Name == "d-1" {
				sent = append(sent, now)
			}
		}
		Expect(maxInWindow(sent)).To(BeNumerically("<=", int(1.5*rate*window.Seconds()+5)))
		Expect(len(sent)).To(BeNumerically(">=", int(0.8*rate*20)), "the limit is used")
	},
		Entry("one host", 2.0, 1), Entry("nine", 2.0, 9), Entry("sixteen", 1.0, 16), Entry("less than one per second", 0.3, 9), Entry("many per second", 40.0, 9),
	)

	It("cause refusals once all limits are used up, with the time until the next request is accepted", func() {
		answer(start, "d-1", 0.5)
		answer(start, "d-2", 1)
		now := start.Add(3 * time.Second)
		for range 2 {
			id++
			_, refused := v.Place(now, id, quote)
			Expect(refused).To(BeNil())
		}
		id++
		_, refused := v.Place(now, id, quote)
		Expect(refused).NotTo(BeNil())
		Expect(refused.Reason).To(Equal("limit"))
		Expect(refused.RetryAfter).To(BeNumerically("~", time.Second, 10*time.Millisecond))
		_, refused = v.Place(now.Add(refused.RetryAfter), id, quote)
		Expect(refused).To(BeNil())
	})

	// Guards against less urgent requests using up the limits if all workers have one.
	It("serve more urgent requests first if all have a limit", func() {
		answer(start, "d-1", 2)
		answer(start, "d-2", 2)
		urgent := quote
		urgent.Tier = 0
		served := map[int]int{}
		for now := start.Add(time.Second); now.Before(start.Add(10 * time.Second)); now = now.Add(50 * time.Millisecond) {
			for _, a := range []placer.Request{quote, urgent} {
				id++
				if _, refused := v.Place(now, id, a); refused == nil {
					served[a.Tier]++
					v.Ended(now, id, placer.Answered)
				}
			}
		}
		Expect(served[0]).To(BeNumerically(">", 30))
		Expect(served[1]).To(BeNumerically("<", 5))
	})

	// Guards against an answer that was on its way ending a limit.
	It("lose their limit by an answer to a request that was sent after the limit was known", func() {
		known := v.RateLimit("d-1") // when a request is placed
		Expect(answer(start.Add(time.Millisecond), "d-1", 2)).To(BeTrue())
		Expect(v.UpdateLimit(start.Add(5*time.Millisecond), "d-1", 0, known)).To(BeFalse())
		Expect(v.RateLimit("d-1")).To(Equal(2.0))
		Expect(answer(start.Add(time.Second), "d-1", 2)).To(BeFalse(), "no change")
		Expect(answer(start.Add(2*time.Second), "d-1", 0)).To(BeTrue())
		Expect(v.Limits()).To(BeEmpty())
	})

	// Guards against hosts that decide for others never learning of a limit or of its end.
	It("are reported if the host that decided knew another limit", func() {
		Expect(v.UpdateLimit(start, "d-1", 2, 0)).To(BeTrue())
		Expect(v.UpdateLimit(start, "d-1", 2, 0)).To(BeTrue(), "this host knows it, the other one did not")
		Expect(v.UpdateLimit(start, "d-1", 2, 2)).To(BeFalse())
		Expect(v.UpdateLimit(start, "d-1", 0, 2)).To(BeTrue())
		Expect(v.UpdateLimit(start, "d-1", 0, 2)).To(BeTrue(), "the other one did not know of the end yet")
		Expect(v.UpdateLimit(start, "d-1", 0, 0)).To(BeFalse())
	})

	It("lose their limit when they restart under their name, and get some requests whatever they state", func() {
		answer(start, "d-1", 1e-9)
		Expect(v.RateLimit("d-1")).To(Equal(0.25))
		workers := plainWorkers("d-1", "d-2")
		workers[0].Incarnation = "2"
		v.SetWorkers(start.Add(time.Second), workers)
		Expect(v.RateLimit("d-1")).To(BeZero())
	})
})
