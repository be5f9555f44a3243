package placer_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

var _ = Describe("Workers that name how many requests a second they take", func() {
	const (
		span  = 4 * time.Second
		delay = 5 * time.Millisecond // until another host has heard of a request
	)
	quote := placer.Request{Service: "app", Left: 2 * time.Second, Target: 300 * time.Millisecond, Tier: 1}
	var (
		v  *placer.View
		id uint64
	)
	BeforeEach(func() {
		v, id = placer.New("a"), 0
		v.SetWorkers(start, desks("d-1", "d-2"))
	})
	// first has a worker answer a request that it was sent at a time, and name a rate.
	first := func(now time.Time, worker string, rate float64) bool {
		return v.UpdateLimit(now.Add(time.Millisecond), worker, rate, v.RateLimit(worker))
	}
	// most is the most of these times within span.
	most := func(at []time.Time) int {
		n, from := 0, 0
		for i := range at {
			for at[i].Sub(at[from]) >= span {
				from++
			}
			n = max(n, i-from+1)
		}
		return n
	}

	// Guards against hosts that each go by the limit, and together send several times as much.
	DescribeTable("get no more from several hosts that decide by what they hear", func(rate float64, hosts int) {
		r := rand.New(rand.NewPCG(5, 6))
		views := make([]*placer.View, hosts)
		for i := range views {
			views[i] = placer.New("a")
			views[i].SetWorkers(start, desks("d-1", "d-2"))
			views[i].ReceiveLimit(start, placer.WorkerLimit{Worker: "d-1", Rate: rate})
		}
		type word struct {
			at   time.Time
			from int
			f    placer.Flight
		}
		var words []word
		var sent []time.Time
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
			for len(words) > 0 && !now.Before(words[0].at) {
				for i, other := range views {
					if i != words[0].from {
						other.Receive(now, "h", words[0].f)
					}
					other.Ended(now, words[0].f.ID, placer.Answered)
				}
				words = words[1:]
			}
			if r.Float64() > 0.2 { // 200 a second
				continue
			}
			id++
			at := r.IntN(hosts)
			c, refused := views[at].Place(now, id, quote)
			if refused != nil {
				continue
			}
			words = append(words, word{now.Add(delay), at, c.Flight})
			if c.Worker.Name == "d-1" {
				sent = append(sent, now)
			}
		}
		Expect(most(sent)).To(BeNumerically("<=", int(1.5*rate*span.Seconds()+5)))
		Expect(len(sent)).To(BeNumerically(">=", int(0.8*rate*20)), "what it takes is used")
	},
		Entry("one host", 2.0, 1), Entry("nine", 2.0, 9), Entry("sixteen", 1.0, 16), Entry("less than one a second", 0.3, 9), Entry("many a second", 40.0, 9),
	)

	It("refuse where all have what they take, and say when the next may come", func() {
		first(start, "d-1", 0.5)
		first(start, "d-2", 1)
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

	// Guards against the less urgent taking what all that name a limit take.
	It("are for the more urgent first, where all name a limit", func() {
		first(start, "d-1", 2)
		first(start, "d-2", 2)
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
	It("are free again by an answer to what was sent after the limit was known", func() {
		known := v.RateLimit("d-1") // as a request is placed
		Expect(first(start.Add(time.Millisecond), "d-1", 2)).To(BeTrue())
		Expect(v.UpdateLimit(start.Add(5*time.Millisecond), "d-1", 0, known)).To(BeFalse())
		Expect(v.RateLimit("d-1")).To(Equal(2.0))
		Expect(first(start.Add(time.Second), "d-1", 2)).To(BeFalse(), "no news")
		Expect(first(start.Add(2*time.Second), "d-1", 0)).To(BeTrue())
		Expect(v.Limits()).To(BeEmpty())
	})

	// Guards against hosts that decide for others never hearing of a limit, or of its end.
	It("are told of where the host that decided knew another", func() {
		Expect(v.UpdateLimit(start, "d-1", 2, 0)).To(BeTrue())
		Expect(v.UpdateLimit(start, "d-1", 2, 0)).To(BeTrue(), "this host knows, that one did not")
		Expect(v.UpdateLimit(start, "d-1", 2, 2)).To(BeFalse())
		Expect(v.UpdateLimit(start, "d-1", 0, 2)).To(BeTrue())
		Expect(v.UpdateLimit(start, "d-1", 0, 2)).To(BeTrue(), "that one did not know of its end yet")
		Expect(v.UpdateLimit(start, "d-1", 0, 0)).To(BeFalse())
	})

	It("lose their limit with a restart under their name, and get a few whatever they name", func() {
		first(start, "d-1", 1e-9)
		Expect(v.RateLimit("d-1")).To(Equal(0.25))
		workers := desks("d-1", "d-2")
		workers[0].Instance = "2"
		v.SetWorkers(start.Add(time.Second), workers)
		Expect(v.RateLimit("d-1")).To(BeZero())
	})
})
