package retrier_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadawood/cicadawood/retrier"
)

func TestRetrier(t *testing.T) {
	// A fixed seed makes every run test the same schedules.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "retrier")
}

var start = time.Unix(1000, 0)

// A group of engines fails under load. If every failed call were retried, and each retry
// again, the remaining engines would get a multiple of the load and fail, too.
var _ = Describe("Budgets", func() {
	It("bound retries by first tries, in any order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			p := retrier.Policy{Ratio: 0.2, Floor: 0.5, Burst: float64(rapid.IntRange(1, 40).Draw(t, "burst"))}
			b := retrier.Budgets{Policy: p}
			now := start
			firsts, retries := map[string]float64{}, map[string]float64{}
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				org, service := fmt.Sprint("o", rapid.IntRange(0, 2).Draw(t, "org")), fmt.Sprint("s", rapid.IntRange(0, 1).Draw(t, "service"))
				if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
					b.RecordFirst(now, org, service, 1)
					firsts[org]++
					firsts[service]++
				} else if b.Take(now, org, service, 1) {
					retries[org]++
					retries[service]++
				}
			}
			for name, n := range retries {
				bound := p.Burst + p.Ratio*firsts[name] + p.Floor*now.Sub(start).Seconds()
				if n > bound+1e-6 {
					t.Fatalf("%s: %.0f retries, bound %.1f", name, n, bound)
				}
			}
		})
	})

	It("take from neither if one is empty", func() {
		b := retrier.Budgets{Policy: retrier.Policy{Burst: 2, Ratio: 1, Floor: 1e-9}}
		Expect(b.Take(start, "greedy", "lm", 1)).To(BeTrue())
		Expect(b.Take(start, "greedy", "lm", 1)).To(BeTrue())
		Expect(b.Take(start, "modest", "lm", 1)).To(BeFalse(), "the service has none left")
		b.RecordFirst(start, "modest", "lm", 1)
		Expect(b.Take(start, "greedy", "lm", 1)).To(BeFalse(), "the organisation has none left")
		Expect(b.Take(start, "modest", "lm", 1)).To(BeTrue(), "and took none of the service's")
	})

	It("are separate for each tier", func() {
		b := retrier.Budgets{Policy: retrier.Policy{Burst: 1, Floor: 1e-9}}
		Expect(b.Take(start, "dock", "lm", 2)).To(BeTrue())
		Expect(b.Take(start, "dock", "lm", 2)).To(BeFalse())
		Expect(b.Take(start, "dock", "lm", 0)).To(BeTrue(), "tier 0 has its own")
	})

	It("stay bounded in number for any names", func() {
		var b retrier.Budgets
		for i := range 20000 {
			b.RecordFirst(start, fmt.Sprint("o", i), "s", 1)
			b.Take(start, fmt.Sprint("o", i), fmt.Sprint("s", i), 1)
		}
		Expect(b.Len()).To(BeNumerically("<=", 16385))
	})
})

// Callers that were refused in an outage and all got the same retry time would all retry in
// the same second.
var _ = Describe("Jitter", func() {
	DescribeTable("is never early, and spreads callers",
		func(after, minimum, maximum time.Duration) {
			Expect(retrier.Jitter(after, 0)).To(Equal(minimum))
			Expect(retrier.Jitter(after, 1)).To(Equal(maximum))
		},
		Entry("a short time over a second", 200*time.Millisecond, 200*time.Millisecond, 1200*time.Millisecond),
		Entry("a long time over half of it", 10*time.Second, 10*time.Second, 15*time.Second),
	)
})
