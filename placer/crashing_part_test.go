package placer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/attributor"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/quarantiner"
)

var _ = Describe("A part of prompts that crashes workers", func() {
	var (
		v      *placer.View
		now    time.Time
		nextID uint64
	)
	names := []string{"e-1", "e-2", "e-3", "e-4", "e-5", "e-6"}
	BeforeEach(func() {
		v, now, nextID = placer.New("a"), start, 0
		v.SetWorkers(now, engines(names...))
	})
	advance := func(d time.Duration) time.Time { now = now.Add(d); return now }
	// request returns one with a content of its own.
	request := func(parts ...string) placer.Request {
		nextID++
		var list []placer.Part
		for _, key := range attributor.Keys("m", parts) {
			list = append(list, placer.Part{Key: key, Tokens: 50})
		}
		return placer.Request{Service: "lm", Prompt: 500, Output: 50, Left: 5 * time.Second, Target: time.Second, Parts: list, Fingerprint: quarantiner.Fingerprint(nextID)}
	}
	send := func(parts ...string) placer.Choice {
		c, refused := v.Place(now, nextID+1, request(parts...))
		Expect(refused).To(BeNil())
		return c
	}
	// crash ends requests as their worker crashes.
	crash := func(list ...placer.Choice) {
		advance(100 * time.Millisecond)
		for _, c := range list {
			v.Ended(now, c.Flight.ID, placer.Disconnected)
		}
	}
	serve := func(parts ...string) {
		v.Ended(advance(100*time.Millisecond), send(parts...).Flight.ID, placer.Answered)
	}
	isHeld := func(parts ...string) bool {
		v.Sweep(now)
		_, held := v.HeldBack(now, request(parts...))
		return held
	}
	const settled = 60 * time.Millisecond
	// holdBad has the part bad crash three workers.
	holdBad := func() {
		serve("a", "own")
		for range 3 {
			crash(send("a", "bad", "own"))
			advance(settled)
		}
		v.Sweep(now)
	}

	It("is refused at any place but the last, with a retry time, and others are not", func() {
		holdBad()
		Expect(v.Quarantine().DrainQuarantined()).To(HaveLen(1))
		for _, parts := range [][]string{{"bad", "x"}, {"a", "bad", "x"}, {"c", "a", "bad", "x"}} {
			_, refused := v.Place(now, 1000, request(parts...))
			Expect(refused).NotTo(BeNil())
			Expect(refused.Reason).To(Equal("quarantine"))
			Expect(refused.RetryAfter).To(BeNumerically(">", 9*time.Minute))
		}
		send("a", "own")
		send("a", "bad")
	})

	// Guards against one crash per copy, and against crashing what runs beside them.
	It("goes where its like is while it is suspected, and others go elsewhere", func() {
		crash(send("a", "bad", "own"))
		first := send("b", "bad", "own")
		for range 4 {
			Expect(send("c", "bad", "own").Worker.Name).To(Equal(first.Worker.Name))
			Expect(send("d", "own").Worker.Name).NotTo(Equal(first.Worker.Name))
		}
	})

	// Guards against refusals because the only worker for suspected requests is full.
	It("goes to any worker if that one is full", func() {
		crash(send("a", "bad", "own"))
		used := map[string]bool{}
		for range 100 {
			used[send("b", "bad", "own").Worker.Name] = true
		}
		Expect(len(used)).To(BeNumerically(">", 1))
	})

	// Guards against two more crashes: a request that crashed a worker is sent again at once.
	It("waits for the crash to be judged that may show it to be the cause", Label(prover.Cell(prover.Granted, prover.PoisonPart)), func() {
		serve("a", "own")
		for range 2 {
			crash(send("a", "bad", "own"))
			advance(settled)
		}
		crash(send("a", "bad", "own"))
		Expect(send("b", "bad", "own").Delay).To(BeNumerically(">", 40*time.Millisecond))
		Expect(send("b", "own").Delay).To(BeZero())
		advance(settled)
		_, refused := v.Place(now, 1000, request("b", "bad", "own"))
		Expect(refused).NotTo(BeNil())
	})

	// Guards against a sign that is none: the worker failed the request or rejected it unread, or
	// crashed in a way that looks like the end of its answer.
	DescribeTable("is not cleared", func(o placer.Outcome) {
		serve("a", "own")
		for range 3 {
			crash(send("a", "bad", "own"))
			advance(settled)
			if !isHeld("bad", "own") {
				v.Ended(now, send("a", "bad", "own").Flight.ID, o)
			}
		}
		Expect(isHeld("bad", "own")).To(BeTrue())
	},
		Entry("by an error", placer.Errored), Entry("by an answer that is not shown to be whole", placer.Unproven),
		Entry("by a refusal", placer.Refused), Entry("by a cancellation", placer.Canceled), Entry("by silence", placer.Silent),
	)

	It("is cleared by a whole answer", func() {
		for range 9 {
			crash(send("a", "sound", "own"))
			advance(settled)
			v.Ended(now, send("a", "sound", "own").Flight.ID, placer.Answered)
		}
		Expect(isHeld("sound", "own")).To(BeFalse())
	})

	// Guards against suspicion of what long streams share, which end rarely.
	It("is cleared by a stream that its worker outlives", func() {
		long, other := send("a", "sound", "own"), send("x", "own")
		for other.Worker.Name != long.Worker.Name {
			other = send("x", "own")
		}
		v.Begun(advance(100*time.Millisecond), long.Flight.ID)
		for range 2 {
			crash(send("b", "sound", "own"))
			advance(settled)
			v.Sweep(now)
		}
		Expect(v.Suspects().Suspicions(9)).To(ContainElement(HaveField("Part", attributor.IDOf("sound").String())))
		advance(3 * time.Second)
		v.Begun(now, other.Flight.ID)
		Expect(v.Suspects().Suspicions(9)).NotTo(ContainElement(HaveField("Part", attributor.IDOf("sound").String())))
	})

	// Guards against sound requests that are held back because they ran beside the cause.
	It("explains the crashes of whole requests beside it", func() {
		beside := request("b", "own")
		for range 3 {
			c := send("a", "bad", "own")
			nextID++
			x := placer.Flight{ID: 10_000 + nextID, Worker: c.Worker.Name, Parts: beside.Parts, Left: time.Second, Fingerprint: beside.Fingerprint}
			v.Receive(advance(30*time.Millisecond), "h", x)
			advance(100 * time.Millisecond)
			v.Ended(now, x.ID, placer.Disconnected)
			v.Ended(now, c.Flight.ID, placer.Disconnected)
			advance(settled)
		}
		_, held := v.HeldBack(now, beside)
		Expect(held).To(BeTrue(), "before the part is found")
		v.Sweep(now)
		_, held = v.HeldBack(now, beside)
		Expect(held).To(BeFalse())
		Expect(isHeld("bad", "own")).To(BeTrue())
	})

	// Guards against a crash too many on a host that hears of another's crash and repeat at once.
	It("is counted for a request that another host sent after it reported a crash", func() {
		for _, name := range names {
			answered := placer.Flight{ID: nextID + 50, Worker: name, Parts: request("z", "own").Parts, Left: time.Second}
			v.Receive(now, "h", answered)
			v.Ended(advance(50*time.Millisecond), answered.ID, placer.Answered)
		}
		for range 3 {
			f := placer.Flight{ID: 100 + nextID, Worker: names[nextID%6], Parts: request("a", "bad", "own").Parts, Left: time.Second, Fingerprint: quarantiner.Fingerprint(nextID)}
			v.Receive(now, "h", f)
			v.Ended(advance(5*time.Millisecond), f.ID, placer.Disconnected)
		}
		v.Sweep(advance(settled))
		Expect(isHeld("bad", "own")).To(BeTrue())
	})

	// Guards against blaming what all requests share where other hosts send to workers that are down,
	// and that this host has never had on its list.
	It("is not found by crashes of workers that are not known", func() {
		for i := range 9 {
			f := placer.Flight{ID: uint64(500 + i), Worker: fmt.Sprint("gone-", i), Parts: request("a", "common", "own").Parts, Left: time.Second, Fingerprint: quarantiner.Fingerprint(i + 1)}
			v.Receive(now, "h", f)
			v.Ended(advance(50*time.Millisecond), f.ID, placer.Disconnected)
			advance(settled)
		}
		Expect(isHeld("common", "own")).To(BeFalse())
	})

	// Guards against blaming what all requests share where the list is of an older snapshot, and something
	// accepts the connections of workers that are gone and closes them, which a busy host notices late.
	It("is not found by connections that break at workers that have answered no host", func() {
		for i := range 9 {
			f := placer.Flight{ID: uint64(500 + i), Worker: names[i%len(names)], Parts: request("a", "common", "own").Parts, Left: time.Second, Fingerprint: quarantiner.Fingerprint(i + 1)}
			v.Receive(now, "h", f)
			v.Ended(advance(40*time.Millisecond), f.ID, placer.Disconnected)
			advance(settled)
		}
		Expect(isHeld("common", "own")).To(BeFalse())
	})

	// Guards against losing the evidence of the requests that a worker had not begun, beside one that it had.
	It("is found by crashes at which another request had begun", func() {
		for i := range 3 {
			begun := placer.Flight{ID: uint64(600 + i), Worker: names[i], Parts: request(fmt.Sprint("only-", i), "own").Parts, Left: time.Second, Fingerprint: quarantiner.Fingerprint(600 + i)}
			bad := placer.Flight{ID: uint64(700 + i), Worker: names[i], Parts: request("a", "bad", "own").Parts, Left: time.Second, Fingerprint: quarantiner.Fingerprint(700 + i)}
			v.Receive(now, "h", begun)
			v.Receive(now, "h", bad)
			v.Begun(advance(30*time.Millisecond), begun.ID)
			v.Ended(advance(time.Millisecond), bad.ID, placer.Disconnected)
			v.Ended(now, begun.ID, placer.Disconnected)
			v.Sweep(advance(settled))
		}
		Expect(isHeld("bad", "own")).To(BeTrue())
	})

	// Guards against taking a loss of power of all workers, reported one by one, for three crashes.
	It("is not found where all workers crash at once", func() {
		var list []placer.Flight
		for i := range names {
			f := placer.Flight{ID: uint64(100 + i), Worker: names[i], Parts: request("a", "common", "own").Parts, Left: time.Second, Fingerprint: quarantiner.Fingerprint(i + 1)}
			v.Receive(advance(time.Millisecond), "h", f)
			list = append(list, f)
		}
		for _, f := range list {
			v.Ended(advance(5*time.Millisecond), f.ID, placer.Disconnected)
		}
		v.Sweep(advance(settled))
		Expect(isHeld("common", "own")).To(BeFalse())
	})

	Describe("that was held back beside the cause", func() {
		BeforeEach(func() {
			v.SetTries(func() bool { return true })
			for range 3 {
				crash(send("twin", "bad", "own"))
				advance(settled)
			}
			Expect(isHeld("twin", "own")).To(BeTrue())
			Expect(isHeld("bad", "own")).To(BeTrue())
		})
		place := func(parts ...string) (placer.Choice, *placer.Refusal) {
			return v.Place(now, nextID+1, request(parts...))
		}

		// Guards against a sound part that nothing is answered with for ten minutes.
		It("is tried alone, by one request at a time, and released by its answer", func() {
			_, refused := place("twin", "own")
			Expect(refused).NotTo(BeNil(), "at once")
			_, refused = place("bad", "own")
			Expect(refused).NotTo(BeNil(), "at once")
			advance(time.Second)
			_, refused = place("twin", "bad", "own")
			Expect(refused).NotTo(BeNil(), "both")
			tried, refused := place("twin", "own")
			Expect(refused).To(BeNil())
			_, refused = place("twin", "own")
			Expect(refused).NotTo(BeNil(), "a second one beside it")
			v.Ended(advance(100*time.Millisecond), tried.Flight.ID, placer.Answered)
			Expect(isHeld("twin", "own")).To(BeFalse())
			Expect(isHeld("bad", "own")).To(BeTrue())
			Expect(v.Quarantine().DrainCleared()).To(HaveLen(1))
		})

		// Guards against two sound parts that hold each other back, as no request has only one.
		It("is tried together with others that it never comes without, and not with the cause", func() {
			v.SetTries(func() bool { return false })
			for _, part := range []string{"a2", "b2"} {
				v.ReceiveQuarantined(now, quarantiner.Entry{Fingerprint: quarantiner.FingerprintOfPart(uint64(attributor.IDOf(part))), Remaining: time.Minute, Duration: time.Minute}, false)
			}
			for range 3 {
				_, refused := place("a2", "b2", "bad", "own")
				Expect(refused).NotTo(BeNil())
				_, refused = place("a2", "b2", "own")
				Expect(refused).NotTo(BeNil())
			}
			v.SetTries(func() bool { return true })
			advance(time.Second)
			_, refused := place("a2", "b2", "bad", "own")
			Expect(refused).NotTo(BeNil())
			tried, refused := place("a2", "b2", "own")
			Expect(refused).To(BeNil())
			v.Ended(advance(100*time.Millisecond), tried.Flight.ID, placer.Answered)
			Expect(isHeld("a2", "b2", "own")).To(BeFalse())
			Expect(isHeld("bad", "own")).To(BeTrue())
		})

		It("is released by a stream that its worker outlives", func() {
			advance(time.Second)
			tried, refused := place("twin", "own")
			Expect(refused).To(BeNil())
			v.Begun(advance(100*time.Millisecond), tried.Flight.ID)
			Expect(isHeld("twin", "own")).To(BeTrue())
			advance(600 * time.Millisecond)
			Expect(isHeld("twin", "own")).To(BeFalse())
		})

		// Guards against a sound part that stays held back as its trial reached a worker that is down.
		It("is tried again, three times in all, where nothing ran the request", func() {
			advance(time.Second)
			for n := range 3 {
				tried, refused := place("twin", "own")
				Expect(refused).To(BeNil())
				v.Ended(advance(100*time.Microsecond), tried.Flight.ID, placer.Disconnected)
				_, refused = place("twin", "own")
				Expect(refused).NotTo(BeNil(), "at once")
				advance(time.Duration(n+1) * time.Second)
			}
			_, refused := place("twin", "own")
			Expect(refused).NotTo(BeNil())
		})

		// Guards against more than three sends of a part that crashes workers.
		It("is not tried again once that crashed a worker, nor where another host tries", func() {
			advance(time.Second)
			tried, refused := place("bad", "own")
			Expect(refused).To(BeNil())
			crash(tried)
			for range 20 {
				advance(time.Second)
				_, refused = place("bad", "own")
				Expect(refused).NotTo(BeNil())
			}
			v.SetTries(func() bool { return false })
			_, refused = place("twin", "own")
			Expect(refused).NotTo(BeNil())
		})
	})
})
