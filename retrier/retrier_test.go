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
	// The same schedules each time: a verdict must not depend on the run.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "retrier")
}

var start = time.Unix(1000, 0)

// An engine group dies under load. Were every failed call sent again, and each
// of those, the engines that are left would get a multiple of the load and die.
var _ = Describe("Budgets", func() {
	It("bound retries by first tries, whatever comes in which order", func() {
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
				most := p.Burst + p.Ratio*firsts[name] + p.Floor*now.Sub(start).Seconds()
				if n > most+1e-6 {
					t.Fatalf("%s: %.0f retries, bound %.1f", name, n, most)
				}
			}
		})
	})

	It("take from neither where one is empty", func() {
		b := retrier.Budgets{Policy: retrier.Policy{Burst: 2, Ratio: 1, Floor: 1e-9}}
		Expect(b.Take(start, "greedy", "lm", 1)).To(BeTrue())
		Expect(b.Take(start, "greedy", "lm", 1)).To(BeTrue())
		Expect(b.Take(start, "modest", "lm", 1)).To(BeFalse(), "the service has none left")
		b.RecordFirst(start, "modest", "lm", 1)
		Expect(b.Take(start, "greedy", "lm", 1)).To(BeFalse(), "the organisation has none left")
		Expect(b.Take(start, "modest", "lm", 1)).To(BeTrue(), "and took none of the service's")
	})

	It("keep a tier's apart from another's", func() {
		b := retrier.Budgets{Policy: retrier.Policy{Burst: 1, Floor: 1e-9}}
		Expect(b.Take(start, "dock", "lm", 2)).To(BeTrue())
		Expect(b.Take(start, "dock", "lm", 2)).To(BeFalse())
		Expect(b.Take(start, "dock", "lm", 0)).To(BeTrue(), "a hold has its own")
	})

	It("stay bounded whatever the names", func() {
		var b retrier.Budgets
		for i := range 20000 {
			b.RecordFirst(start, fmt.Sprint("o", i), "s", 1)
			b.Take(start, fmt.Sprint("o", i), fmt.Sprint("s", i), 1)
		}
		Expect(b.Len()).To(BeNumerically("<=", 16385))
	})
})

// An outage ends. Callers that were all told to come back after a second would
// all come in the same one.
var _ = Describe("Jitter", func() {
	DescribeTable("is never early, and spreads",
		func(after, least, most time.Duration) {
			Expect(retrier.Jitter(after, 0)).To(Equal(least))
			Expect(retrier.Jitter(after, 1)).To(Equal(most))
		},
		Entry("a short time over a second", 200*time.Millisecond, 200*time.Millisecond, 1200*time.Millisecond),
		Entry("a long one over its half", 10*time.Second, 10*time.Second, 15*time.Second),
	)
})
