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

// heavy is a burst of plans at twice the usual, on top of the usual chats.
var heavy = load{plans: 50, chats: 40, engines: 12, rate: 41.4, planGap: 400 * time.Millisecond, chatGap: 250 * time.Millisecond}

// tight is the same on fewer and faster engines, with tighter targets.
var tight = load{plans: 44, chats: 30, engines: 9, rate: 52.4, planGap: 300 * time.Millisecond, chatGap: 200 * time.Millisecond}

// On a heavy day long prompts fill the engines' reading, and chats that run beside
// them get a pause in each event. Callers see a stream that stutters.
var _ = Describe("A heavy day", func() {
	const day = 20 * time.Second
	var on load
	mean := func(of func([]string, *rand.Rand) chooser) (plans, chats float64) {
		const seeds = 3
		for seed := range uint64(seeds) {
			p, c := play(on, 101+seed, day, of).share()
			plans, chats = plans+p/seeds, chats+c/seeds
		}
		return plans, chats
	}

	DescribeTable("is won by what each mechanism is for", func(l load) {
		on = l
		plans, chats := mean(oursWithout(""))
		AddReportEntry("ours", fmt.Sprintf("plans %.3f chats %.3f", plans, chats))
		p, c := mean(oursWithout("pauses"))
		AddReportEntry("without pauses", fmt.Sprintf("plans %.3f chats %.3f", p, c))
		Expect(chats).To(BeNumerically(">", c+0.2))
		p, c = mean(oursWithout("parts"))
		AddReportEntry("without parts", fmt.Sprintf("plans %.3f chats %.3f", p, c))
		// A view that knows nothing of parts takes engines for faster than they are, and
		// gains plans at the chats' cost: what counts is both.
		Expect(plans + chats).To(BeNumerically(">", p+c+0.2))
		p, c = mean(atRandom)
		AddReportEntry("at random", fmt.Sprintf("plans %.3f chats %.3f", p, c))
		Expect(plans).To(BeNumerically(">", p+0.2))
		Expect(chats).To(BeNumerically(">", c+0.2))
	}, Entry("on twelve engines", heavy), Entry("on nine faster ones with tighter targets", tight))
})

// Eight times the usual plans come at once. Each host sends them all, the engines
// read for seconds ahead, and every answer is late: chats, which are more urgent and
// quickly read, time out in the same queue, while plans begin.
var _ = Describe("A flood of long prompts", func() {
	flood := load{plans: 120, chats: 40, engines: 12, rate: 41.4, planGap: 400 * time.Millisecond, chatGap: 250 * time.Millisecond}

	It("is sent away in part, so that the rest and the short ones are in time", func() {
		with := play(flood, 101, 10*time.Second, oursWithout(""))
		without := play(flood, 101, 10*time.Second, oursWithout("queue"))
		plans, chats := with.share()
		p, c := without.share()
		AddReportEntry("flood", fmt.Sprintf("with: plans %.3f chats %.3f, without: plans %.3f chats %.3f", plans, chats, p, c))
		Expect(plans).To(BeNumerically(">", p+0.3))
		Expect(chats).To(BeNumerically(">", c+0.3))
	})
})

// The longest and least urgent prompts come at five times what engines can read. They
// fill every queue up to half of their own, long target; plans, which are more urgent and
// have a target less than half of that, find the queue beyond theirs and are refused,
// while the long ones begin. Cause: a queue that counted all that was sent, as if engines
// read in that order.
var _ = Describe("A flood of the least urgent class", func() {
	flood := load{
		plans: 8, chats: 20, reviews: 60, engines: 9, rate: 93, planGap: 300 * time.Millisecond, chatGap: 250 * time.Millisecond, planRank: 1,
	}

	// nothing is how many of a class got no answer.
	nothing := func(t tally) int { return t.asked - t.inTime - t.late }

	It("is refused in place of the more urgent", func() {
		for seed := range uint64(3) {
			with := play(flood, 201+seed, 10*time.Second, oursWithout(""))
			without := play(flood, 201+seed, 10*time.Second, oursWithout("ranks"))
			AddReportEntry("by rank", fmt.Sprintf("plans %s; chats %s; reviews %s", with.plans, with.chats, with.reviews))
			AddReportEntry("in order", fmt.Sprintf("plans %s; chats %s; reviews %s", without.plans, without.chats, without.reviews))
			Expect(nothing(with.plans)).To(BeNumerically("<=", with.plans.asked/12))
			Expect(nothing(with.chats)).To(BeNumerically("<=", with.chats.asked/12))
			Expect(with.plans.inTime).To(BeNumerically(">", without.plans.inTime))
			Expect(nothing(without.plans)).To(BeNumerically(">", without.plans.asked/12))
		}
	})

	It("finds room when it comes back after as long as it was told", func() {
		for seed := range uint64(3) {
			o := play(flood, 201+seed, 2*time.Second, oursWithout(""))
			AddReportEntry("two seconds", o.reviews.String())
			Expect(o.reviews.refused).To(BeNumerically(">", 20))
			Expect(o.reviews.back).To(BeNumerically(">", o.reviews.refused/2))
		}
	})
})

// Many ask for the same long parts, which one engine keeps. The others read them again,
// and the queue behind grows; with the parts fetched, more are in time.
var _ = Describe("A burst of prompts that share long parts", func() {
	It("is read once and fetched, where engines can", func() {
		burst := load{chats: 20, reviews: 45, engines: 9, rate: 93, chatGap: 250 * time.Millisecond}
		linked := func(names []string, _ *rand.Rand) chooser {
			v := placer.New("a")
			v.SetWorkers(start, linked(names...))
			return ours{view: v}
		}
		for seed := range uint64(3) {
			with := play(burst, 301+seed, 8*time.Second, linked)
			without := play(burst, 301+seed, 8*time.Second, oursWithout(""))
			AddReportEntry("fetched", fmt.Sprintf("reviews %s; %d read in all", with.reviews, with.readAgain))
			AddReportEntry("read", fmt.Sprintf("reviews %s; %d read in all", without.reviews, without.readAgain))
			Expect(with.readAgain).To(BeNumerically("<", without.readAgain))
			Expect(with.reviews.share()).To(BeNumerically(">", without.reviews.share()+0.05))
			Expect(with.reviews.refused).To(BeNumerically("<", without.reviews.refused))
		}
	})
})

// Long prompts that share parts come at twice the usual, and what runs fills some engines'
// memory. Given more, as their queues are short for a moment, those forget parts that the
// next prompts want; these are read again, and the queues grow everywhere.
var _ = Describe("A burst of prompts that fills engines' memory", func() {
	It("leaves parts where they are wanted", func() {
		const seeds = 8
		burst := load{chats: 21, reviews: 34, engines: 9, rate: 93, chatGap: 200 * time.Millisecond, memory: 300_000}
		served := func(name string, prepare func(*placer.View)) (all tally, read int) {
			for seed := range uint64(seeds) {
				o := play(burst, 601+seed, 12*time.Second, func(names []string, _ *rand.Rand) chooser {
					v := placer.New("a")
					v.SetWorkers(start, linked(names...))
					prepare(v)
					return ours{view: v}
				})
				all, read = all.plus(o.reviews), read+o.readAgain
			}
			AddReportEntry(name, fmt.Sprintf("%s; %d read in all", all, read))
			return all, read
		}
		with, read := served("counted", func(*placer.View) {})
		without, more := served("not counted", (*placer.View).IgnoreEvictions)
		Expect(read).To(BeNumerically("<", more))
		Expect(with.inTime).To(BeNumerically(">", without.inTime))
		Expect(with.refused).To(BeNumerically("<", without.refused))
	})
})

// Long prompts come at more than engines can read, for as long as a stream may last. Each
// stream gets a token with each chunk of the others' prompts; the long ones are cut when
// their callers leave, after they were read in full: what others wanted to be read for.
var _ = Describe("A flood of prompts with long answers", func() {
	It("is let in as far as its streams can end", func() {
		flood := load{chats: 20, reviews: 45, engines: 9, rate: 93, chatGap: 200 * time.Millisecond, memory: 444_000, hints: true}
		var with, without tally
		for seed := range uint64(3) {
			with = with.plus(play(flood, 701+seed, 12*time.Second, oursWithout("")).reviews)
			without = without.plus(play(flood, 701+seed, 12*time.Second, oursWithout("ends")).reviews)
		}
		AddReportEntry("by their ends", with.String())
		AddReportEntry("by their starts", without.String())
		Expect(with.inTime).To(BeNumerically(">", without.inTime*11/10))
		Expect(with.inTime + with.late).To(BeNumerically(">=", without.inTime+without.late))
	})
})

// crowd is a burst of plans at three times the usual on many small engines.
var crowd = load{
	plans: 505, chats: 84, engines: 90, rate: 41.4, planGap: 400 * time.Millisecond, chatGap: 250 * time.Millisecond, slots: 24, sessions: 846,
}

func small(name string) placer.Worker {
	return placer.Worker{Name: name, Service: "lm", Zone: "z", Slots: 24, CacheTokens: 261_920, EventTokens: 5}
}

// Many hosts place at once, and each sees what the others sent only after a while.
// Until then they all pick the same idle engine, which reads for half a second ahead
// while its neighbours idle: answers are late, and chats stutter.
var _ = Describe("Many hosts before many small engines", func() {
	It("serve about as one host would, if they tell at once what they send", func() {
		const rest, day = 22 * time.Millisecond, 5 * time.Second
		of := func(hosts int, sent time.Duration) (plans, chats float64) {
			plans, chats = play(crowd, 101, day, fleetOf(hosts, lateness{sent, rest}, small)).share()
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

// BenchmarkPlace is one placing among 9 and 90 engines, with fifteen requests under way at
// each.
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
