package placer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

// flood is floods of every kind at several times the usual rate, with a quiet second before and
// after.
var flood = load{
	chats: 190, plans: 58, reviews: 110, engines: 9, rate: 93, slots: 48, memory: 444_000, hints: true, tiers: true, quietTime: time.Second,
	planGap: 300 * time.Millisecond, chatGap: 200 * time.Millisecond,
}

// served returns the share of requests that were answered, in time or late.
func (t tally) served() float64 {
	if t.asked == 0 {
		return 1
	}
	return float64(t.inTime+t.late) / float64(t.asked)
}

// Guards against accepting less urgent requests while more urgent ones are refused.
var _ = Describe("A flood of every kind", func() {
	const length = 8 * time.Second
	memories := func(names []string, _ *rand.Rand) chooser {
		v := placer.New("a")
		workers := engines(names...)
		for i := range workers {
			workers[i].Slots, workers[i].CacheTokens = flood.slots, flood.memory
		}
		v.SetWorkers(start, workers)
		return viewChooser{view: v}
	}
	report := func(o outcome) {
		AddReportEntry("flood", fmt.Sprintf("chats %s; plans %s; reviews %s", o.chats, o.plans, o.reviews))
	}
	times := func(x float64) load {
		l := flood
		l.chats, l.plans, l.reviews = x*l.chats, x*l.plans, x*l.reviews
		return l
	}

	DescribeTable("is served by urgency", func(l load) {
		for seed := range uint64(3) {
			o := simulate(l, 801+seed, length, memories)
			report(o)
			for second, kinds := range o.seconds {
				for less := 1; less < len(kinds); less++ {
					for more := range less {
						slack := max(1.0/12, 2/float64(max(kinds[more].asked, 1)))
						Expect(kinds[more].served()).To(BeNumerically(">=", kinds[less].served()-slack), "second %d, kind %d before %d", second, more, less)
					}
				}
			}
			Expect(o.chats.served()).To(BeNumerically(">", 11.0/12))
		}
	},
		Entry("of one organisation", flood),
		Entry("of organisations whose ranks cross those of the routes", func() load { l := flood; l.organisations = 2; return l }()),
		Entry("at half the strength", times(0.5)),
	)

	// Guards against refusing the least urgent requests, or the longest prompts, after the
	// flood.
	It("serves the least urgent again two seconds after it, including the longest", func() {
		l := flood
		l.quietTime = 3 * time.Second
		var after, long tally
		for seed := range uint64(6) {
			o := simulate(l, 811+seed, 12*time.Second, memories)
			report(o)
			after = after.plus(o.seconds[len(o.seconds)-1][2])
			long = long.plus(o.long)
		}
		AddReportEntry("after", fmt.Sprintf("reviews %s; the longest %s", after, long))
		Expect(after.served()).To(BeNumerically(">=", 11.0/12))
		Expect(long.served()).To(BeNumerically(">=", 11.0/12))
	})
})
