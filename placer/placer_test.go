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

func desks(names ...string) []placer.Worker {
	var out []placer.Worker
	for _, n := range names {
		out = append(out, placer.Worker{Name: n, Service: "app", Zone: "a", Slots: 2})
	}
	return out
}

// plan is a long prompt with shared parts.
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
	place := func(now time.Time, a placer.Request) (placer.Choice, *placer.Refusal) {
		next++
		return v.Place(now, next, a)
	}

	It("sends a prompt where its parts were read, as long as the queue there is short", func() {
		v.SetWorkers(start, engines("e-1", "e-2", "e-3"))
		first, _ := place(start, plan(7))
		v.Begun(start.Add(300*time.Millisecond), first.Flight.ID)
		again, _ := place(start.Add(400*time.Millisecond), plan(7))
		Expect(again.Worker.Name).To(Equal(first.Worker.Name))
		Expect(again.Flight.Prefill).To(Equal(2900))
		Expect(first.Flight.Prefill).To(Equal(9200))
		used := map[string]bool{}
		for range 30 {
			if c, refusal := place(start.Add(400*time.Millisecond), plan(7)); refusal == nil {
				used[c.Worker.Name] = true
			}
		}
		Expect(used).To(HaveLen(3))
	})

	// Two hosts see the same idle workers. What one has sent must count for the
	// other, or both fill the same worker.
	It("counts what other hosts sent, until it ends or its host is gone", func() {
		v.SetWorkers(start, desks("d-1", "d-2"))
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

	// In a large fleet one host decides where a request goes, and another sends it. Beside
	// load the first one's word that it was sent comes after the second one's that it
	// ended. The request then never ends: slots seem taken, and callers are refused.
	It("does not count what ended before its sending was heard of", func() {
		v.SetWorkers(start, desks("d-1", "d-2"))
		for id := range uint64(6) {
			v.Ended(start, 100+id, placer.Answered)
			v.Receive(start, "other", placer.Flight{ID: 100 + id, Worker: "d-1", Left: time.Second})
		}
		c, _ := place(start, quote)
		Expect(c.Worker.Name).To(Equal("d-1"))
		Expect(v.WorkerStates(start)[0].Flights).To(Equal(1))
	})

	It("forgets what must be over where no word of its end came", func() {
		v.SetWorkers(start, desks("d-1", "d-2"))
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
		v.SetWorkers(start, desks("d-1", "d-2"))
		c, _ := place(start, quote)
		Expect(c.Worker.Name).To(Equal("d-1"))
		v.Ended(start, c.Flight.ID, placer.Broken)
		c, _ = place(start.Add(time.Second), quote)
		Expect(c.Worker.Name).To(Equal("d-2"))
		v.Ended(start.Add(time.Second), c.Flight.ID, placer.Answered)
		c, _ = place(start.Add(20*time.Second), quote)
		Expect(c.Worker.Name).To(Equal("d-1"))
	})

	It("believes that a worker that was born anew keeps nothing", func() {
		workers := engines("e-1")
		workers[0].Instance = "1"
		v.SetWorkers(start, workers)
		place(start, plan(7))
		workers[0].Instance = "2"
		v.SetWorkers(start, workers)
		c, _ := place(start, plan(7))
		Expect(c.Flight.Prefill).To(Equal(9200))
	})

	It("refuses what would wait longer than its caller, and says when to come back", func() {
		v.SetWorkers(start, engines("e-1"))
		fill := func(a placer.Request) (sent int, refusal *placer.Refusal) {
			for refusal == nil {
				sent++
				Expect(sent).To(BeNumerically("<", 1000))
				_, refusal = place(start, a)
			}
			return sent, refusal
		}
		// A long prompt waits for half its target at most, 300 ms of reading.
		sent, refusal := fill(plan(7))
		Expect(sent).To(BeNumerically("<=", 4))
		Expect(refusal.Reason).To(Equal("queue"))
		Expect(refusal.RetryAfter).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<", time.Second)))
		// A short one until its caller would have left, 1.8 s of reading.
		sent, refusal = fill(placer.Request{
			Service: "lm", Prompt: 800, Output: 30, Left: 10 * time.Second, FirstEventTimeout: 2 * time.Second, Target: 300 * time.Millisecond,
		})
		Expect(sent).To(BeNumerically(">", 40))
		Expect(refusal.Reason).To(Equal("overload"))
		Expect(refusal.RetryAfter).To(BeNumerically(">", time.Second))
		_, refusal = place(start, placer.Request{Service: "nobody", Left: time.Second})
		Expect(refusal.Reason).To(Equal("no_workers"))
	})

	// Streams with tight pauses gather on few workers. Beyond a worker's slots the more
	// urgent ones would break into the others' streams there.
	It("fills no worker beyond its slots while others have room", func() {
		workers := engines("e-1", "e-2", "e-3")
		for i := range workers {
			workers[i].Slots = 4
		}
		v.SetWorkers(start, workers)
		for id := range uint64(24) { // e-1 and e-2 were given much to read
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

	// Chats at six times the usual rate fill all engines. One more runs only in the place
	// of another, which is read in again: both are late, and the next one too.
	It("refuses what finds the slots of all engines taken", func() {
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

	// Streams with tight targets for pauses gather on one engine. Each short prompt that
	// is read there takes little, but many in a row break the streams' pauses.
	It("keeps short reading away from many tight streams, the more so where they are more urgent", func() {
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

	// Long prompts at eight times the usual fill the slots of every engine. The next short,
	// more urgent one is refused until one of them ends, while more of them begin.
	It("keeps slots for more urgent routes, whatever the organisation", func() {
		workers := engines("e-1", "e-2")
		for i := range workers {
			workers[i].Slots = 16
		}
		v.SetWorkers(start, workers)
		now := start
		long := placer.Request{Service: "lm", Prompt: 9000, Output: 300, Left: 20 * time.Second, Target: 10 * time.Second, Rank: 1, Tier: 1}
		chat := placer.Request{Service: "lm", Prompt: 300, Output: 300, Left: 20 * time.Second, Target: 300 * time.Millisecond, Rank: 2}
		fill := func(a placer.Request) (sent int) {
			for {
				c, refusal := place(now, a)
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
		Expect(fill(long)).To(Equal(32 - 4 - 2*3)) // two spreads of two, 2.8, on each engine
		Expect(fill(chat)).To(Equal(2 * 3))
	})

	// Guards against a request that is refused for slots while another engine has some.
	It("takes a slot at an engine with tight streams where the others have none", func() {
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

	// Guards against the more urgent being refused for a queue while the less urgent are read.
	It("sends the more urgent to engines with tight streams before it refuses them", func() {
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
		quiet, _ := place(start.Add(500*time.Millisecond), chat)
		Expect(quiet.Worker.Name).NotTo(Equal(busy))
	})

	// An engine's memory is full of parts that many prompts share. The next prompt goes
	// there, as the other engine has a little to read; what is forgotten for it is read
	// again, which takes longer than the wait would have.
	It("spares parts that others use, and no others, where an engine's memory is full", func() {
		workers := engines("e-1", "e-2")
		fresh := placer.Request{
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
			c, refusal := place(later, fresh)
			Expect(refusal).To(BeNil())
			return c.Worker.Name
		}
		Expect(chosen(1)).To(Equal("e-1"), "parts that one request alone had")
		Expect(chosen(2)).To(Equal("e-2"))
	})

	// All engines were given prompts without a pause. A stream gets a token with each chunk
	// that is read, and one with a long answer is cut when its caller leaves, after its
	// prompt was read for nothing.
	It("refuses a stream that would not end before its caller leaves, and only where it says so", func() {
		v.SetWorkers(start, engines("e-1", "e-2"))
		now := start
		read := func(names ...string) {
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
		short, unsaid := long, long
		short.Expected, unsaid.Expected = 40, 0
		read("e-1")
		c, refusal := place(now, long)
		Expect(refusal).To(BeNil())
		Expect(c.Worker.Name).To(Equal("e-2"), "which reads nothing")
		read("e-1", "e-2")
		_, refusal = place(now, long)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason).To(Equal("length"))
		Expect(refusal.RetryAfter).To(BeNumerically("<=", long.Left/3))
		urgent, less := long, long
		less.Expected, less.Tier = 0, 1
		for _, a := range []placer.Request{short, unsaid, less, urgent} { // once a less urgent one came
			c, refusal = place(now, a)
			Expect(refusal).To(BeNil())
			v.Ended(now, c.Flight.ID, placer.Canceled)
		}
		now = now.Add(11 * time.Second) // no less urgent one came for long
		read("e-1", "e-2")
		_, refusal = place(now, long)
		Expect(refusal).NotTo(BeNil())
		// Streams last a third of what was expected: what was read before is not read again.
		middle := long
		middle.Expected = 100
		for range 40 {
			c, refusal := place(now, middle)
			Expect(refusal).To(BeNil())
			v.BegunAfter(now, c.Flight.ID, 120*time.Millisecond)
			v.Ended(now.Add(250*time.Millisecond), c.Flight.ID, placer.Answered)
			read("e-1", "e-2")
		}
		longer := long
		longer.Output, longer.Expected = 1500, 1500
		_, refusal = place(now, longer)
		Expect(refusal).To(BeNil())
		_, refusal = place(now.Add(4*time.Second), long)
		Expect(refusal).To(BeNil(), "the flood is over")
	})

	// A worker restarts under its name, and what was sent to the process before still
	// begins and ends at other hosts. Counted at the new one, it reads fewer than none: it
	// never seems idle again, and nothing more is learned of how fast it reads.
	It("counts nothing at a worker that was sent to the process before it", func() {
		workers := engines("e-1")
		workers[0].Instance = "1"
		v.SetWorkers(start, workers)
		old, _ := place(start, plan(7))
		workers[0].Instance = "2"
		v.SetWorkers(start, workers)
		v.Begun(start.Add(time.Second), old.Flight.ID)
		Expect(v.WorkerStates(start.Add(time.Second))[0].Reading).To(BeZero())
		v.Ended(start.Add(time.Second), old.Flight.ID, placer.Broken)
		Expect(v.WorkerStates(start.Add(time.Second))[0].Avoided).To(BeZero())
	})

	// The word of a stream's end is lost, and the view forgets the stream after its time.
	// Taken for one that was cut at its deadline, it makes all others look longer, and
	// callers are refused for their length.
	It("learns nothing of a stream whose end was not heard of", func() {
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
