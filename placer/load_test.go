package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

// heavy is a burst of plans at twice the usual rate, on top of the usual chats.
var heavy = load{plans: 50, chats: 40, engines: 12, rate: 41.4, planGap: 400 * time.Millisecond, chatGap: 250 * time.Millisecond}

// tight is the same on fewer and faster engines, with tighter targets.
var tight = load{plans: 44, chats: 30, engines: 9, rate: 52.4, planGap: 300 * time.Millisecond, chatGap: 200 * time.Millisecond}

// Guards against streams that stutter: on a heavy day long prompts keep the engines busy with
// prefill, and chats beside them have a pause in each event.
var _ = Describe("A heavy day", func() {
	const day = 20 * time.Second
	var current load
	mean := func(of func([]string, *rand.Rand) chooser) (plans, chats float64) {
		const seeds = 3
		for seed := range uint64(seeds) {
			p, c := simulate(current, 101+seed, day, of).share()
			plans, chats = plans+p/seeds, chats+c/seeds
		}
		return plans, chats
	}

	DescribeTable("is served better by each mechanism", func(l load) {
		current = l
		plans, chats := mean(viewWithout(""))
		AddReportEntry("view", fmt.Sprintf("plans %.3f chats %.3f", plans, chats))
		p, c := mean(viewWithout("pauses"))
		AddReportEntry("without pauses", fmt.Sprintf("plans %.3f chats %.3f", p, c))
		Expect(chats).To(BeNumerically(">", c+0.2))
		p, c = mean(viewWithout("parts"))
		AddReportEntry("without parts", fmt.Sprintf("plans %.3f chats %.3f", p, c))
		// Without parts, the view overestimates the engines' speed, and gains plans at the cost
		// of chats, so the sum counts.
		Expect(plans + chats).To(BeNumerically(">", p+c+0.2))
		p, c = mean(atRandom)
		AddReportEntry("at random", fmt.Sprintf("plans %.3f chats %.3f", p, c))
		Expect(plans).To(BeNumerically(">", p+0.2))
		Expect(chats).To(BeNumerically(">", c+0.2))
	}, Entry("on twelve engines", heavy), Entry("on nine faster ones with tighter targets", tight))
})

// Guards against late answers for all when plans arrive at eight times the usual rate. If all
// are sent, the engines are seconds behind with their prefill: chats, which are more urgent and
// short, time out in the same queue while plans begin.
var _ = Describe("A flood of long prompts", func() {
	flood := load{plans: 120, chats: 40, engines: 12, rate: 41.4, planGap: 400 * time.Millisecond, chatGap: 250 * time.Millisecond}

	It("is refused in part, so that the rest and the short prompts are in time", func() {
		with := simulate(flood, 101, 10*time.Second, viewWithout(""))
		without := simulate(flood, 101, 10*time.Second, viewWithout("queue"))
		plans, chats := with.share()
		p, c := without.share()
		AddReportEntry("flood", fmt.Sprintf("with: plans %.3f chats %.3f, without: plans %.3f chats %.3f", plans, chats, p, c))
		Expect(plans).To(BeNumerically(">", p+0.3))
		Expect(chats).To(BeNumerically(">", c+0.3))
	})
})

// Guards against refusing plans while the longest and least urgent prompts arrive at five times
// what engines can prefill. Those fill each queue up to half of their own long target. Plans
// are more urgent, but with a target less than half of that, they find the queue too long and
// are refused. This happened when the queue counted all that was sent, as if engines prefilled
// in that order.
var _ = Describe("A flood of the least urgent class", func() {
	flood := load{
		plans: 8, chats: 20, reviews: 60, engines: 9, rate: 93, planGap: 300 * time.Millisecond, chatGap: 250 * time.Millisecond, planRank: 1,
	}

	// unserved returns how many requests of a class got no answer.
	unserved := func(t tally) int { return t.asked - t.inTime - t.late }

	It("is refused in place of the more urgent", func() {
		for seed := range uint64(3) {
			with := simulate(flood, 201+seed, 10*time.Second, viewWithout(""))
			without := simulate(flood, 201+seed, 10*time.Second, viewWithout("ranks"))
			AddReportEntry("by rank", fmt.Sprintf("plans %s; chats %s; reviews %s", with.plans, with.chats, with.reviews))
			AddReportEntry("in order", fmt.Sprintf("plans %s; chats %s; reviews %s", without.plans, without.chats, without.reviews))
			Expect(unserved(with.plans)).To(BeNumerically("<=", with.plans.asked/12))
			Expect(unserved(with.chats)).To(BeNumerically("<=", with.chats.asked/12))
			Expect(with.plans.inTime).To(BeNumerically(">", without.plans.inTime))
			Expect(unserved(without.plans)).To(BeNumerically(">", without.plans.asked/12))
		}
	})

	It("finds room when it retries as asked", func() {
		for seed := range uint64(3) {
			o := simulate(flood, 201+seed, 2*time.Second, viewWithout(""))
			AddReportEntry("two seconds", o.reviews.String())
			Expect(o.reviews.refused).To(BeNumerically(">", 20))
			Expect(o.reviews.servedOnRetry).To(BeNumerically(">", o.reviews.refused/2))
		}
	})
})

// Guards against prefilling long parts at every engine when many callers ask for parts that one
// engine has cached, as the queues grow behind them. If the parts are fetched, more requests
// are in time.
var _ = Describe("A burst of prompts that share long parts", func() {
	It("is prefilled once and fetched, if engines can fetch", func() {
		burst := load{chats: 20, reviews: 45, engines: 9, rate: 93, chatGap: 250 * time.Millisecond}
		linked := func(names []string, _ *rand.Rand) chooser {
			v := placer.New("a")
			v.SetWorkers(start, linkedEngines(names...))
			return viewChooser{view: v}
		}
		for seed := range uint64(3) {
			with := simulate(burst, 301+seed, 8*time.Second, linked)
			without := simulate(burst, 301+seed, 8*time.Second, viewWithout(""))
			AddReportEntry("fetched", fmt.Sprintf("reviews %s; %d tokens prefilled", with.reviews, with.prefilled))
			AddReportEntry("prefilled", fmt.Sprintf("reviews %s; %d tokens prefilled", without.reviews, without.prefilled))
			Expect(with.prefilled).To(BeNumerically("<", without.prefilled))
			Expect(with.reviews.share()).To(BeNumerically(">", without.reviews.share()+0.05))
			Expect(with.reviews.refused).To(BeNumerically("<", without.reviews.refused))
		}
	})
})

// Guards against evicting parts that the next prompts need. Long prompts that share parts
// arrive at twice the usual rate, and running requests fill some engines' caches. If those get
// more prompts, as their queues are short for a moment, they evict such parts; the parts are
// prefilled again, and the queues grow everywhere.
var _ = Describe("A burst of prompts that fills engines' caches", func() {
	It("keeps the parts that are needed", func() {
		const seeds = 8
		burst := load{chats: 21, reviews: 34, engines: 9, rate: 93, chatGap: 200 * time.Millisecond, memory: 300_000}
		served := func(name string, prepare func(*placer.View)) (all tally, read int) {
			for seed := range uint64(seeds) {
				o := simulate(burst, 601+seed, 12*time.Second, func(names []string, _ *rand.Rand) chooser {
					v := placer.New("a")
					v.SetWorkers(start, linkedEngines(names...))
					prepare(v)
					return viewChooser{view: v}
				})
				all, read = all.plus(o.reviews), read+o.prefilled
			}
			AddReportEntry(name, fmt.Sprintf("%s; %d tokens prefilled", all, read))
			return all, read
		}
		with, read := served("counted", func(*placer.View) {})
		without, readWithout := served("not counted", (*placer.View).IgnoreEvictions)
		Expect(read).To(BeNumerically("<", readWithout))
		Expect(with.inTime).To(BeNumerically(">", without.inTime))
		Expect(with.refused).To(BeNumerically("<", without.refused))
	})
})

// Guards against prefilling prompts whose streams can't end in time. Long prompts arrive at
// more than engines can prefill, for as long as a stream may last. Each stream gets one token
// per chunk of the other prompts, and the long streams are cut when their callers leave, after
// a prefill that other requests needed.
var _ = Describe("A flood of prompts with long answers", func() {
	It("is accepted as far as its streams can end", func() {
		flood := load{chats: 20, reviews: 45, engines: 9, rate: 93, chatGap: 200 * time.Millisecond, memory: 444_000, hints: true}
		var with, without tally
		for seed := range uint64(3) {
			with = with.plus(simulate(flood, 701+seed, 12*time.Second, viewWithout("")).reviews)
			without = without.plus(simulate(flood, 701+seed, 12*time.Second, viewWithout("ends")).reviews)
		}
		AddReportEntry("by their ends", with.String())
		AddReportEntry("by their starts", without.String())
		Expect(with.inTime).To(BeNumerically(">", without.inTime*11/10))
		Expect(with.inTime + with.late).To(BeNumerically(">=", without.inTime+without.late))
	})
})

// crowd is a burst of plans at three times the usual rate on many small engines.
var crowd = load{
	plans: 505, chats: 84, engines: 90, rate: 41.4, planGap: 400 * time.Millisecond, chatGap: 250 * time.Millisecond, slots: 24, sessions: 846,
}

func smallEngine(name string) placer.Worker {
	return placer.Worker{Name: name, Service: "lm", Zone: "z", Slots: 24, CacheTokens: 261_920, EventTokens: 5}
}

// Guards against many hosts that place at the same time and learn late what the others sent.
// Until then they all pick the same idle engine, which prefills for half a second while its
// neighbours idle: answers are late, and chats stutter.
var _ = Describe("Many hosts before many small engines", func() {
	It("serve about as well as one host if they report immediately what they send", func() {
		const rest, day = 22 * time.Millisecond, 5 * time.Second
		of := func(hosts int, sent time.Duration) (plans, chats float64) {
			plans, chats = simulate(crowd, 101, day, fleetOf(hosts, updateDelays{sent, rest}, smallEngine)).share()
			AddReportEntry(fmt.Sprintf("%d hosts, %s late", hosts, sent), fmt.Sprintf("plans %.3f chats %.3f", plans, chats))
			return plans, chats
		}
		onePlans, oneChats := of(1, 0)
		plans, chats := of(74, 3*time.Millisecond)
		latePlans, lateChats := of(74, rest)
		Expect(plans).To(BeNumerically(">", onePlans-0.15))
		Expect(chats).To(BeNumerically(">", oneChats-0.25))
		Expect(plans).To(BeNumerically(">", latePlans+0.1))
		Expect(chats).To(BeNumerically(">", lateChats+0.2))
	})
})

// BenchmarkPlace measures one placement among 9 and 90 engines, with fifteen requests under way
// at each.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{9, 90} {
		b.Run(fmt.Sprintf("%d workers", n), func(b *testing.B) {
			v := placer.New("a")
			var names []string
			for i := range n {
				names = append(names, fmt.Sprintf("e-%02d", i))
			}
			v.SetWorkers(start, engines(names...))
			now, last := start, uint64(15*n)
			for i := range uint64(b.N) {
				now = now.Add(100 * time.Millisecond / time.Duration(n))
				_, _ = v.Place(now, i, plan(1000+i%117))
				v.Begun(now, i)
				if i > last {
					v.Ended(now, i-last, placer.Answered)
				}
			}
		})
	}
}
