package quarantiner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/quarantiner"
)

var _ = Describe("Tracker", func() {
	const (
		bad   = quarantiner.Fingerprint(7)
		sound = quarantiner.Fingerprint(8)
	)
	var (
		tracker *quarantiner.Tracker
		now     time.Time
	)
	BeforeEach(func() { tracker, now = &quarantiner.Tracker{}, time.Unix(1000, 0) })
	advance := func(d time.Duration) time.Time { now = now.Add(d); return now }
	// crash crashes a worker with requests that were sent to it just before.
	crash := func(worker string, fs ...quarantiner.Fingerprint) {
		sent := advance(100 * time.Millisecond)
		advance(50 * time.Millisecond)
		for _, f := range fs {
			tracker.WorkerCrashed(now, f, worker, sent)
		}
	}
	quarantined := func(f quarantiner.Fingerprint) bool {
		_, ok := tracker.Quarantined(now, f)
		return ok
	}

	It("quarantines a request when the third worker crashes, and no sooner", func() {
		for i := range 3 {
			Expect(quarantined(bad)).To(BeFalse())
			crash(fmt.Sprint("w-", i), bad)
		}
		remaining, ok := tracker.Quarantined(now, bad)
		Expect(ok).To(BeTrue())
		Expect(remaining).To(Equal(10 * time.Minute))
		Expect(tracker.DrainQuarantined()).To(Equal(tracker.List(now)))
		Expect(tracker.DrainQuarantined()).To(BeEmpty())
		Expect(tracker.List(now)).To(Equal([]quarantiner.Entry{{Fingerprint: bad, Remaining: remaining, Duration: remaining, Workers: []string{"w-0", "w-1", "w-2"}}}))
	})

	// Guards against quarantining requests that were under way when all workers lost power.
	It("counts simultaneous crashes as one", func() {
		sent := now
		advance(time.Second)
		for i := range 9 {
			tracker.WorkerCrashed(advance(time.Millisecond), bad, fmt.Sprint("w-", i), sent)
		}
		Expect(quarantined(bad)).To(BeFalse())
	})

	// Guards against quarantining a frequent request because unrelated workers fail.
	It("clears the marks of a request that was answered", func() {
		crash("w-0", bad)
		crash("w-1", bad)
		tracker.Answered(bad)
		crash("w-2", bad)
		Expect(quarantined(bad)).To(BeFalse())
		Expect(tracker.Suspected(bad)).To(BeTrue())
	})

	// Guards against treating reset connections as crashes.
	It("removes the mark if the worker is still alive", func() {
		crash("w-0", bad)
		crash("w-1", bad)
		tracker.Alive(advance(200*time.Millisecond), "w-1", now.Add(-50*time.Millisecond))
		crash("w-2", bad)
		Expect(quarantined(bad)).To(BeFalse())
		crash("w-3", bad)
		Expect(quarantined(bad)).To(BeTrue())
		tracker.Alive(advance(200*time.Millisecond), "w-3", now.Add(-50*time.Millisecond))
		Expect(quarantined(bad)).To(BeFalse(), "also for a quarantined request")
	})

	// Guards against treating an answer that was on its way as one of the restarted process.
	It("only accepts signs of life from after the crash, and soon after it", func() {
		for i := range 3 {
			crash(fmt.Sprint("w-", i), bad)
		}
		tracker.Alive(advance(200*time.Millisecond), "w-2", now.Add(-160*time.Millisecond))
		Expect(quarantined(bad)).To(BeTrue())
		tracker.Alive(advance(5*time.Second), "w-2", now.Add(-time.Millisecond))
		Expect(quarantined(bad)).To(BeTrue())
	})

	// Guards against quarantining requests that were at the same workers by chance.
	It("does not count crashes that a quarantined request explains", func() {
		crash("w-0", sound, bad)
		crash("w-1", bad, sound)
		crash("w-2", bad)
		Expect(quarantined(bad)).To(BeTrue())
		Expect(tracker.Suspected(sound)).To(BeFalse())
		crash("w-3", bad) // a copy that was under way
		for range 3 {
			crash("w-3", sound)
		}
		Expect(tracker.Suspected(sound)).To(BeFalse())
	})

	// Guards against quarantining a sound request because two workers break off their answers.
	It("takes a worker that is seen again immediately for one that did not crash", func() {
		tracker.RenamedOnRestart = true
		for range 9 {
			crash("w-0", bad)
			crash("w-1", bad)
		}
		Expect(quarantined(bad)).To(BeFalse())
		advance(3 * time.Second) // long enough for a restart
		crash("w-0", bad)
		Expect(quarantined(bad)).To(BeTrue())
	})

	// Guards against one quarantined request hiding all others at workers that keep their
	// names.
	It("explains a crash only by one at the same time", func() {
		for i := range 3 {
			crash(fmt.Sprint("w-", i), bad)
		}
		advance(5 * time.Second)
		for i := range 3 {
			Expect(quarantined(sound)).To(BeFalse())
			crash(fmt.Sprint("w-", i), sound)
		}
		Expect(quarantined(sound)).To(BeTrue())
	})

	It("releases a request after its quarantine, and doubles the next one", func() {
		for i := range 3 {
			crash(fmt.Sprint("w-", i), bad)
		}
		tracker.Sweep(advance(9 * time.Minute))
		Expect(tracker.DrainReleased()).To(BeEmpty())
		tracker.Sweep(advance(time.Minute))
		Expect(tracker.DrainReleased()).To(Equal([]quarantiner.Fingerprint{bad}))
		Expect(quarantined(bad)).To(BeFalse())
		crash("w-3", bad)
		remaining, _ := tracker.Quarantined(now, bad)
		Expect(remaining).To(Equal(20 * time.Minute))
	})

	It("forgets marks after an hour", func() {
		crash("w-0", bad)
		tracker.Sweep(advance(time.Hour))
		Expect(tracker.Suspected(bad)).To(BeTrue())
		tracker.Sweep(advance(time.Second))
		Expect(tracker.Suspected(bad)).To(BeFalse())
	})

	It("accepts the quarantine of another host once", func() {
		for i := range 3 {
			crash(fmt.Sprint("w-", i), bad)
		}
		other := &quarantiner.Tracker{}
		for _, e := range tracker.List(now) {
			Expect(other.Receive(now, e)).To(BeTrue())
			Expect(other.Receive(now, e)).To(BeFalse())
		}
		Expect(other.List(now)).To(Equal(tracker.List(now)))
	})

	It("bounds its records, and keeps quarantined requests longest", func() {
		for i := range 3 {
			crash(fmt.Sprint("w-", i), bad)
		}
		for i := range 10000 {
			tracker.WorkerCrashed(advance(time.Millisecond), quarantiner.Fingerprint(100+i), fmt.Sprint("x-", i), now)
		}
		Expect(quarantined(bad)).To(BeTrue())
		Expect(tracker.Suspected(100)).To(BeFalse())
		Expect(tracker.Suspected(10099)).To(BeTrue())
	})

	It("ignores requests without a fingerprint", func() {
		for i := range 9 {
			crash(fmt.Sprint("w-", i), 0)
		}
		Expect(tracker.Suspected(0)).To(BeFalse())
	})
})
