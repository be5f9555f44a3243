package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

var start = time.Unix(1000, 0)

func engines(names ...string) []placer.Worker {
	var out []placer.Worker
	for _, n := range names {
		out = append(out, placer.Worker{Name: n, Service: "lm", Zone: "a", Slots: 96, CacheTokens: 300_000, EventTokens: 4})
	}
	return out
}

func plainWorkers(names ...string) []placer.Worker {
	var out []placer.Worker
	for _, n := range names {
		out = append(out, placer.Worker{Name: n, Service: "app", Zone: "a", Slots: 2})
	}
	return out
}

// plan returns a long prompt with shared parts.
func plan(shared uint64) placer.Request {
	return placer.Request{
		Service: "lm", Prompt: 9200, Output: 60, Left: 6 * time.Second, FirstEventTimeout: 3 * time.Second, Target: 600 * time.Millisecond,
		Gap: 400 * time.Millisecond, Parts: []placer.Part{{Key: 1, Tokens: 2500}, {Key: shared, Tokens: 3800}},
	}
}

var quote = placer.Request{Service: "app", Left: 3 * time.Second, Target: 300 * time.Millisecond}

var _ = Describe("View", func() {
	var (
		v    *placer.View
		next uint64
	)
	BeforeEach(func() { v, next = placer.New("a"), 0 })
	place := func(now time.Time, req placer.Request) (placer.Choice, *placer.Refusal) {
		next++
		return v.Place(now, next, req)
	}

	It("sends a prompt to the worker that has cached its parts, while the queue there is short", func() {
		v.SetWorkers(start, engines("e-1", "e-2", "e-3"))
		first, _ := place(start, plan(7))
		v.Begun(start.Add(300*time.Millisecond), first.Flight.ID)
		second, _ := place(start.Add(400*time.Millisecond), plan(7))
		Expect(second.Worker.Name).To(Equal(first.Worker.Name))
		Expect(second.Flight.Prefill).To(Equal(2900))
		Expect(first.Flight.Prefill).To(Equal(9200))
		used := map[string]bool{}
		for range 30 {
			if c, refusal := place(start.Add(400*time.Millisecond), plan(7)); refusal == nil {
				used[c.Worker.Name] = true
			}
		}
		Expect(used).To(HaveLen(3))
	})

	// Guards against two hosts filling the same idle worker: what one has sent must count for
	// the other.
	It("counts what other hosts sent, until it ends or its host is lost", func() {
		v.SetWorkers(start, plainWorkers("d-1", "d-2"))
		for id := range uint64(6) {
			v.Receive(start, "other", placer.Flight{ID: 100 + id, Worker: "d-1", Left: time.Second})
		}
		for range 4 {
			c, _ := place(start, quote)
			Expect(c.Worker.Name).To(Equal("d-2"))
		}
		v.HostLost(start, "other")
		c, _ := place(start, quote)
		Expect(c.Worker.Name).To(Equal("d-1"))
	})

	// Guards against counting a request for good. In a large fleet one host decides where a
	// request goes, and another one sends it. Under load the report that it was sent may arrive
	// after the one that it ended; slots then seem taken, and callers are refused.
	It("does not count a request whose end was reported before its sending", func() {
		v.SetWorkers(start, plainWorkers("d-1", "d-2"))
		for id := range uint64(6) {
			v.Ended(start, 100+id, placer.Answered)
			v.Receive(start, "other", placer.Flight{ID: 100 + id, Worker: "d-1", Left: time.Second})
		}
		c, _ := place(start, quote)
		Expect(c.Worker.Name).To(Equal("d-1"))
		Expect(v.WorkerStates(start)[0].Flights).To(Equal(1))
	})

	It("removes requests that must be over although their end was not reported", func() {
		v.SetWorkers(start, plainWorkers("d-1", "d-2"))
		for id := range uint64(6) {
			v.Receive(start, "other", placer.Flight{ID: 100 + id, Worker: "d-1", Left: time.Second})
		}
		later := start.Add(3 * time.Second)
		v.Sweep(later)
		place(later, quote)
		c, _ := place(later, quote)
		Expect(c.Worker.Name).To(Equal("d-2"))
	})

	It("avoids a worker that fails, and tries it again after a while", func() {
		v.SetWorkers(start, plainWorkers("d-1", "d-2"))
		c, _ := place(start, quote)
		Expect(c.Worker.Name).To(Equal("d-1"))
		v.Ended(start, c.Flight.ID, placer.Broken)
		c, _ = place(start.Add(time.Second), quote)
		Expect(c.Worker.Name).To(Equal("d-2"))
		v.Ended(start.Add(time.Second), c.Flight.ID, placer.Answered)
		c, _ = place(start.Add(20*time.Second), quote)
		Expect(c.Worker.Name).To(Equal("d-1"))
	})

	It("takes the cache of a restarted worker for empty", func() {
		workers := engines("e-1")
		workers[0].Incarnation = "1"
		v.SetWorkers(start, workers)
		place(start, plan(7))
		workers[0].Incarnation = "2"
		v.SetWorkers(start, workers)
		c, _ := place(start, plan(7))
		Expect(c.Flight.Prefill).To(Equal(9200))
	})

	It("refuses requests that would wait for longer than their caller, with a retry time", func() {
		v.SetWorkers(start, engines("e-1"))
		fill := func(req placer.Request) (sent int, refusal *placer.Refusal) {
			for refusal == nil {
				sent++
				Expect(sent).To(BeNumerically("<", 1000))
				_, refusal = place(start, req)
			}
			return sent, refusal
		}
		// A long prompt waits for at most half its target: 300 ms of prefill.
		sent, refusal := fill(plan(7))
		Expect(sent).To(BeNumerically("<=", 4))
		Expect(refusal.Reason).To(Equal("queue"))
		Expect(refusal.RetryAfter).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<", time.Second)))
		// A short one waits until its caller would have left: 1.8 s of prefill.
		sent, refusal = fill(placer.Request{
			Service: "lm", Prompt: 800, Output: 30, Left: 10 * time.Second, FirstEventTimeout: 2 * time.Second, Target: 300 * time.Millisecond,
		})
		Expect(sent).To(BeNumerically(">", 40))
		Expect(refusal.Reason).To(Equal("overload"))
		Expect(refusal.RetryAfter).To(BeNumerically(">", time.Second))
		_, refusal = place(start, placer.Request{Service: "nobody", Left: time.Second})
		Expect(refusal.Reason).To(Equal("no_workers"))
	})

	// Guards against overfilling a few workers with streams that have tight targets for pauses:
	// beyond a worker's slots, the more urgent streams would preempt others.
	It("fills no worker beyond its slots while others have room", func() {
		workers := engines("e-1", "e-2", "e-3")
		for i := range workers {
			workers[i].Slots = 4
		}
		v.SetWorkers(start, workers)
		for id := range uint64(24) { // e-1 and e-2 had much to prefill
			f := placer.Flight{ID: 100 + id, Worker: []string{"e-1", "e-2"}[id%2], Prefill: 9000, Left: 9 * time.Second}
			v.Receive(start, "other", f)
			v.Begun(start, f.ID)
			v.Ended(start, f.ID, placer.Answered)
		}
		chat := placer.Request{Service: "lm", Prompt: 800, Output: 300, Left: 10 * time.Second, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond}
		held := map[string]int{}
		for range 10 {
			c, refusal := place(start.Add(400*time.Millisecond), chat)
			Expect(refusal).To(BeNil())
			v.Begun(start.Add(400*time.Millisecond), c.Flight.ID)
			held[c.Worker.Name]++
		}
		for _, n := range held {
			Expect(n).To(BeNumerically("<=", 4))
		}
	})

	// Guards against sending more than the engines' slots hold, with chats at six times the
	// usual rate. One more chat only runs by preempting another, which is prefilled again: both
	// are late, and so is the next one.
	It("refuses requests when the slots of all engines are taken", func() {
		workers := engines("e-1", "e-2")
		for i := range workers {
			workers[i].Slots = 4
		}
		v.SetWorkers(start, workers)
		chat := placer.Request{Service: "lm", Prompt: 800, Output: 300, Left: 10 * time.Second, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond}
		now, last := start, placer.Choice{}
		for range 8 {
			c, refusal := place(now, chat)
			Expect(refusal).To(BeNil())
			now = now.Add(50 * time.Millisecond)
			v.Begun(now, c.Flight.ID)
			last = c
		}
		_, refusal := place(now, chat)
		Expect(refusal).To(Equal(&placer.Refusal{RetryAfter: 150 * time.Millisecond, Reason: "slots"}))
		v.Ended(now, last.Flight.ID, placer.Answered)
		c, refusal := place(now, chat)
		Expect(refusal).To(BeNil())
		Expect(c.Worker.Name).To(Equal(last.Worker.Name))
	})

	// Guards against many short prompts in a row at an engine where streams with tight targets
	// for pauses gather: each takes little, but together they break the targets.
	It("keeps short prompts away from many tight streams, the more so from more urgent ones", func() {
		short := placer.Request{Service: "lm", Prompt: 1400, Left: 10 * time.Second, Target: 1500 * time.Millisecond, Rank: 1}
		chosen := func(streams, rank int) string {
			v = placer.New("a")
			v.SetWorkers(start, engines("e-1", "e-2"))
			for id := range uint64(streams) {
				f := placer.Flight{ID: 100 + id, Worker: "e-1", Hold: 800, Left: 9 * time.Second, Gap: 100 * time.Millisecond, Rank: rank}
				v.Receive(start, "other", f)
				v.Begun(start, f.ID)
			}
			v.Receive(start, "other", placer.Flight{ID: 99, Worker: "e-2", Prefill: 800, Hold: 800, Left: 9 * time.Second})
			c, refusal := place(start, short)
			Expect(refusal).To(BeNil())
			return c.Worker.Name
		}
		Expect(chosen(0, 1)).To(Equal("e-1"))
		Expect(chosen(20, 1)).To(Equal("e-2"))
		Expect(chosen(8, 1)).To(Equal("e-1"))
		Expect(chosen(8, 0)).To(Equal("e-2"))
	})

	// Guards against refusing short, more urgent prompts while long prompts at eight times the
	// usual rate fill the slots of all engines and more of them begin.
	It("reserves slots for more urgent routes, whatever the organisation", func() {
		workers := engines("e-1", "e-2")
		for i := range workers {
			workers[i].Slots = 16
		}
		v.SetWorkers(start, workers)
		now := start
		long := placer.Request{Service: "lm", Prompt: 9000, Output: 300, Left: 20 * time.Second, Target: 10 * time.Second, Rank: 1, Tier: 1}
		chat := placer.Request{Service: "lm", Prompt: 300, Output: 300, Left: 20 * time.Second, Target: 300 * time.Millisecond, Rank: 2}
		fill := func(req placer.Request) (sent int) {
			for {
				c, refusal := place(now, req)
				if refusal != nil {
					Expect(refusal.Reason).To(Equal("slots"))
					return sent
				}
				sent++
				now = now.Add(400 * time.Millisecond)
				v.Begun(now, c.Flight.ID)
			}
		}
		for range 4 {
			c, _ := place(now, chat)
			v.Begun(now, c.Flight.ID)
		}
		Expect(fill(long)).To(Equal(32 - 4 - 2*3)) // two standard deviations, 2.8, on each engine
		Expect(fill(chat)).To(Equal(2 * 3))
	})

	// Guards against refusing a request for slots while another engine has some.
	It("uses a slot at an engine with tight streams if the others have none", func() {
		workers := engines("e-1", "e-2")
		workers[0].Slots = 4
		v.SetWorkers(start, workers)
		for id := range uint64(34) {
			f := placer.Flight{ID: 100 + id, Worker: "e-1", Hold: 800, Left: 9 * time.Second}
			if id >= 4 {
				f.Worker, f.Gap = "e-2", 50*time.Millisecond
			}
			v.Receive(start, "other", f)
			v.Begun(start, f.ID)
		}
		c, refusal := place(start, plan(7))
		Expect(refusal).To(BeNil())
		Expect(c.Worker.Name).To(Equal("e-2"))
	})

	// Guards against refusing more urgent requests for a queue while less urgent ones are
	// prefilled.
	It("sends more urgent requests to engines with tight streams before it refuses them", func() {
		outcome := func(less ...placer.Request) string {
			v = placer.New("a")
			v.SetWorkers(start, engines("e-1", "e-2"))
			for id := range uint64(10) {
				f := placer.Flight{ID: 100 + id, Worker: "e-2", Hold: 800, Left: 9 * time.Second, Gap: 50 * time.Millisecond}
				v.Receive(start, "other", f)
				v.Begun(start, f.ID)
			}
			v.Receive(start, "other", placer.Flight{ID: 99, Worker: "e-1", Prefill: 15_000, Hold: 15_000, Left: 9 * time.Second})
			for _, a := range less {
				place(start, a)
			}
			c, refusal := place(start, plan(7))
			if refusal != nil {
				return refusal.Reason
			}
			return c.Worker.Name
		}
		long := plan(8)
		long.Prompt, long.Tier, long.Rank, long.Target = 40_000, 1, 1, time.Millisecond
		Expect(outcome()).To(Equal("queue"))
		Expect(outcome(long)).To(Equal("e-2"))
	})

	It("keeps long prompts away from streams whose pauses they would stretch", func() {
		v.SetWorkers(start, engines("e-1", "e-2"))
		chat := placer.Request{Service: "lm", Prompt: 800, Output: 300, Left: 10 * time.Second, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond}
		chats := map[string]int{}
		for range 4 {
			c, _ := place(start, chat)
			v.Begun(start, c.Flight.ID)
			chats[c.Worker.Name]++
		}
		for range 3 {
			c, _ := place(start, plan(7))
			v.Begun(start.Add(300*time.Millisecond), c.Flight.ID)
		}
		var busy string
		c, _ := place(start.Add(400*time.Millisecond), plan(7))
		busy = c.Worker.Name
		other, _ := place(start.Add(500*time.Millisecond), chat)
		Expect(other.Worker.Name).NotTo(Equal(busy))
	})

	// Guards against evictions from a full cache of parts that many prompts share. The next
	// prompt would go there, as the other engine has a little to prefill; but to prefill the
	// evicted parts again takes longer than that wait.
	It("avoids the eviction of parts that others use, and of no others", func() {
		workers := engines("e-1", "e-2")
		uncached := placer.Request{
			Service: "lm", Prompt: 9000, Left: 8 * time.Second, Target: 1500 * time.Millisecond, Parts: []placer.Part{{Key: 99, Tokens: 9000}},
		}
		chosen := func(users int) string {
			v = placer.New("a")
			v.SetWorkers(start, workers)
			for id := range uint64(60 * users) {
				part := placer.Part{Key: 1000 + id%60, Tokens: 5000}
				v.Receive(start, "other", placer.Flight{ID: 100 + id, Worker: "e-1", Prefill: 5000, Parts: []placer.Part{part}, Left: 9 * time.Second})
				v.Begun(start, 100+id)
				v.Ended(start, 100+id, placer.Answered)
			}
			later := start.Add(10 * time.Second)
			v.Receive(later, "other", placer.Flight{ID: 99, Worker: "e-2", Prefill: 2000, Hold: 2000, Left: 9 * time.Second})
			c, refusal := place(later, uncached)
			Expect(refusal).To(BeNil())
			return c.Worker.Name
		}
		Expect(chosen(1)).To(Equal("e-1"), "parts of a single request")
		Expect(chosen(2)).To(Equal("e-2"))
	})

	// Guards against streams that are cut when their callers leave, after a prefill for
	// nothing. All engines prefill without a break, so that a stream gets one token per chunk.
	It("refuses a stream that would not end before its caller leaves, if the caller states its length", func() {
		v.SetWorkers(start, engines("e-1", "e-2"))
		now := start
		prefill := func(names ...string) {
			for id := range uint64(40) {
				for _, name := range names {
					f := placer.Flight{ID: 100 + 2*id + uint64(len(name)), Worker: name, Prefill: 5000, Hold: 5000, Left: 9 * time.Second}
					v.Receive(now, "other", f)
					now = now.Add(60 * time.Millisecond)
					v.BegunAfter(now, f.ID, 120*time.Millisecond)
					v.Ended(now, f.ID, placer.Answered)
				}
			}
		}
		long := placer.Request{Service: "lm", Prompt: 800, Output: 400, Expected: 400, Left: 8 * time.Second, Target: time.Second}
		short, unstated := long, long
		short.Expected, unstated.Expected = 40, 0
		prefill("e-1")
		c, refusal := place(now, long)
		Expect(refusal).To(BeNil())
		Expect(c.Worker.Name).To(Equal("e-2"), "which has nothing to prefill")
		prefill("e-1", "e-2")
		_, refusal = place(now, long)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason).To(Equal("length"))
		Expect(refusal.RetryAfter).To(BeNumerically("<=", long.Left/3))
		urgent, less := long, long
		less.Expected, less.Tier = 0, 1
		for _, a := range []placer.Request{short, unstated, less, urgent} { // accepted once a less urgent one arrived
			c, refusal = place(now, a)
			Expect(refusal).To(BeNil())
			v.Ended(now, c.Flight.ID, placer.Canceled)
		}
		now = now.Add(11 * time.Second) // the last less urgent one was long ago
		prefill("e-1", "e-2")
		_, refusal = place(now, long)
		Expect(refusal).NotTo(BeNil())
		// Streams last a third of the prediction, as the prefill of the past is not repeated.
		middle := long
		middle.Expected = 100
		for range 40 {
			c, refusal := place(now, middle)
			Expect(refusal).To(BeNil())
			v.BegunAfter(now, c.Flight.ID, 120*time.Millisecond)
			v.Ended(now.Add(250*time.Millisecond), c.Flight.ID, placer.Answered)
			prefill("e-1", "e-2")
		}
		longer := long
		longer.Output, longer.Expected = 1500, 1500
		_, refusal = place(now, longer)
		Expect(refusal).To(BeNil())
		_, refusal = place(now.Add(4*time.Second), long)
		Expect(refusal).To(BeNil(), "the flood is over")
	})

	// Guards against negative counters when a worker restarts under its name, and requests sent
	// to its previous process begin and end at other hosts. If the new process counted them, it
	// would never seem idle again, and no more would be learned of its speed.
	It("does not count requests of a worker's previous process", func() {
		workers := engines("e-1")
		workers[0].Incarnation = "1"
		v.SetWorkers(start, workers)
		old, _ := place(start, plan(7))
		workers[0].Incarnation = "2"
		v.SetWorkers(start, workers)
		v.Begun(start.Add(time.Second), old.Flight.ID)
		Expect(v.WorkerStates(start.Add(time.Second))[0].Reading).To(BeZero())
		v.Ended(start.Add(time.Second), old.Flight.ID, placer.Broken)
		Expect(v.WorkerStates(start.Add(time.Second))[0].Avoided).To(BeZero())
	})

	// Guards against learning from a stream whose end was not reported and that the view
	// removes after its time. If it counted as cut at its deadline, all other streams would
	// look longer, and callers would be refused for their length.
	It("learns nothing from a stream whose end was not reported", func() {
		v.SetWorkers(start, engines("e-1"))
		now := start
		ask := placer.Request{Service: "lm", Prompt: 800, Output: 60, Expected: 60, Left: 8 * time.Second, Target: time.Second}
		for range 20 {
			c, refusal := place(now, ask)
			Expect(refusal).To(BeNil())
			v.BegunAfter(now, c.Flight.ID, 50*time.Millisecond)
			now = now.Add(10 * time.Second)
			v.Sweep(now)
		}
		longer := ask
		longer.Output, longer.Expected = 400, 400
		_, refusal := place(now, longer)
		Expect(refusal).To(BeNil())
	})
})
