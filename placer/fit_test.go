package placer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

// trueTime is the time of an engine to the first event of a request that it prefills alone: 85
// ms per request, 93 tokens per millisecond, and more time per token the longer the prompt.
func trueTime(prefill, tokens int) time.Duration {
	pairs := float64(prefill) * (float64(tokens) - float64(prefill)/2)
	ms := 85 + float64(prefill)/93 + pairs*0.45/1e6
	return time.Duration(ms * float64(time.Millisecond))
}

// prompt returns a request without shared parts.
func prompt(tokens int) placer.Request {
	return placer.Request{Service: "lm", Prompt: tokens, Left: 30 * time.Second, Target: 20 * time.Second}
}

// Guards against predictions that do not follow when an operator deploys engines twice as fast
// as those before, with 85 ms to a first event for every prompt. A host that keeps its old
// estimate expects short prompts too early and long ones too late, refuses what would be served
// in time, and sends what will not be. This happened with a single factor that was learned from
// the host's own requests only.
var _ = Describe("The time to a first event", func() {
	var (
		v    *placer.View
		now  time.Time
		next uint64
	)
	BeforeEach(func() { v, now, next = placer.New("a"), start, 0 })
	// measure has a worker prefill a prompt alone, and its host report so long a time.
	measure := func(from, worker string, tokens int, d time.Duration) {
		next++
		v.Receive(now, from, placer.Flight{ID: next, Worker: worker, Prefill: tokens, Hold: tokens, Left: time.Minute})
		now = now.Add(d)
		v.BegunAfter(now, next, d)
		v.Ended(now, next, placer.Answered)
	}
	expected := func(tokens int) time.Duration {
		next++
		c, refusal := v.Place(now, next, prompt(tokens))
		Expect(refusal).To(BeNil())
		v.Ended(now, next, placer.Canceled)
		now = now.Add(time.Second)
		return c.Wait
	}

	It("is learned from the measurements of all hosts, for short and long prompts", func() {
		v.SetWorkers(start, engines("e-1", "e-2", "e-3"))
		for i := range 60 {
			tokens := []int{200, 600, 1500, 4000, 9000, 20000}[i%6]
			measure("other", fmt.Sprintf("e-%d", 1+i%3), tokens, trueTime(tokens, tokens))
		}
		for _, tokens := range []int{300, 3000, 15000} {
			want := trueTime(tokens, tokens).Seconds()
			Expect(expected(tokens).Seconds()).To(BeNumerically("~", want, 0.1*want), fmt.Sprint(tokens))
		}
	})

	It("stays about the same for long prompts while only short ones are seen", func() {
		v.SetWorkers(start, engines("e-1"))
		before := expected(15000).Seconds()
		for range 200 {
			measure("other", "e-1", 300, trueTime(300, 300))
		}
		Expect(expected(15000).Seconds()).To(BeNumerically("~", before, 0.4*before))
	})

	It("is not learned from a worker that hangs, nor for others from one that is slow", func() {
		v.SetWorkers(start, engines("e-1", "e-2"))
		for i := range 60 {
			tokens := []int{300, 1500, 9000}[i%3]
			measure("other", "e-1", tokens, trueTime(tokens, tokens))
		}
		before := expected(9000).Seconds()
		measure("other", "e-2", 9000, 25*time.Second)
		Expect(expected(9000).Seconds()).To(BeNumerically("~", before, 0.15*before))
		c, _ := v.Place(now, 1<<40, prompt(300))
		Expect(c.Worker.Name).To(Equal("e-1"))
		v.Ended(now, 1<<40, placer.Canceled)
		for range 10 {
			measure("other", "e-1", 300, 2*trueTime(300, 300))
			measure("other", "e-2", 300, trueTime(300, 300))
		}
		c, _ = v.Place(now, 1<<41, prompt(300))
		Expect(c.Worker.Name).To(Equal("e-2"))
	})

	It("is not learned from prompts that were prefilled beside others", func() {
		v.SetWorkers(start, engines("e-1"))
		before := expected(9000).Seconds()
		for i := range uint64(50) {
			a, b := 1000+2*i, 1001+2*i
			v.Receive(now, "other", placer.Flight{ID: a, Worker: "e-1", Prefill: 9000, Hold: 9000, Left: time.Minute})
			v.Receive(now, "other", placer.Flight{ID: b, Worker: "e-1", Prefill: 9000, Hold: 9000, Left: time.Minute})
			now = now.Add(2 * time.Second)
			for _, id := range []uint64{a, b} {
				v.BegunAfter(now, id, 2*time.Second)
				v.Ended(now, id, placer.Answered)
			}
		}
		Expect(expected(9000).Seconds()).To(BeNumerically("~", before, 0.01*before))
	})
})
