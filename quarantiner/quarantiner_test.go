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
		b   *quarantiner.Tracker
		now time.Time
	)
	BeforeEach(func() { b, now = &quarantiner.Tracker{}, time.Unix(1000, 0) })
	pass := func(d time.Duration) time.Time { now = now.Add(d); return now }
	// crash crashes a worker with requests that were sent to it just before.
	ends := func(worker string, fs ...quarantiner.Fingerprint) {
		sent := pass(100 * time.Millisecond)
		pass(50 * time.Millisecond)
		for _, f := range fs {
			b.WorkerCrashed(now, f, worker, sent)
		}
	}
	held := func(f quarantiner.Fingerprint) bool {
		_, ok := b.Quarantined(now, f)
		return ok
	}

	It("quarantines a request when the third worker crashes, and no sooner", func() {
		for i := range 3 {
			Expect(held(bad)).To(BeFalse())
			ends(fmt.Sprint("w-", i), bad)
		}
		left, ok := b.Quarantined(now, bad)
		Expect(ok).To(BeTrue())
		Expect(left).To(Equal(10 * time.Minute))
		Expect(b.DrainQuarantined()).To(Equal(b.List(now)))
		Expect(b.DrainQuarantined()).To(BeEmpty())
		Expect(b.List(now)).To(Equal([]quarantiner.Entry{{Fingerprint: bad, Remaining: left, Duration: left, Workers: []string{"w-0", "w-1", "w-2"}}}))
	})

	// Guards against quarantining requests that were under way when all workers lost power.
	It("counts crashes of copies that were sent before the previous crash once", func() {
		sent := now
		pass(time.Second)
		for i := range 9 {
			b.WorkerCrashed(pass(time.Millisecond), bad, fmt.Sprint("w-", i), sent)
		}
		Expect(held(bad)).To(BeFalse())
	})

	// Guards against quarantining a frequent request because unrelated workers fail.
	It("clears the marks of a request that was answered", func() {
		ends("w-0", bad)
		ends("w-1", bad)
		b.Answered(bad)
		ends("w-2", bad)
		Expect(held(bad)).To(BeFalse())
		Expect(b.Suspected(bad)).To(BeTrue())
	})

	// Guards against taking reset connections for crashes.
	It("removes the mark if the worker is still alive", func() {
		ends("w-0", bad)
		ends("w-1", bad)
		b.Alive(pass(200*time.Millisecond), "w-1", now.Add(-50*time.Millisecond))
		ends("w-2", bad)
		Expect(held(bad)).To(BeFalse())
		ends("w-3", bad)
		Expect(held(bad)).To(BeTrue())
		b.Alive(pass(200*time.Millisecond), "w-3", now.Add(-50*time.Millisecond))
		Expect(held(bad)).To(BeFalse(), "also for a quarantined request")
	})

	// Guards against taking an answer that was on its way for one of the restarted process.
	It("only accepts signs of life from after the crash, and soon after it", func() {
		for i := range 3 {
			ends(fmt.Sprint("w-", i), bad)
		}
		b.Alive(pass(200*time.Millisecond), "w-2", now.Add(-160*time.Millisecond))
		Expect(held(bad)).To(BeTrue())
		b.Alive(pass(5*time.Second), "w-2", now.Add(-time.Millisecond))
		Expect(held(bad)).To(BeTrue())
	})

	// Guards against quarantining requests that were at the same workers by chance.
	It("does not count crashes that a quarantined request explains", func() {
		ends("w-0", sound, bad)
		ends("w-1", bad, sound)
		ends("w-2", bad)
		Expect(held(bad)).To(BeTrue())
		Expect(b.Suspected(sound)).To(BeFalse())
		ends("w-3", bad) // a copy that was under way
		for range 3 {
			ends("w-3", sound)
		}
		Expect(b.Suspected(sound)).To(BeFalse())
	})

	// Guards against quarantining a sound request because two workers break off their answers.
	It("takes a worker that is seen again immediately for one that did not crash", func() {
		b.RenamedOnRestart = true
		for range 9 {
			ends("w-0", bad)
			ends("w-1", bad)
		}
		Expect(held(bad)).To(BeFalse())
		pass(3 * time.Second) // long enough for a restart
		ends("w-0", bad)
		Expect(held(bad)).To(BeTrue())
	})

	// Guards against one quarantined request hiding all others at workers that keep their
	// names.
	It("explains a crash only by one at the same time", func() {
		for i := range 3 {
			ends(fmt.Sprint("w-", i), bad)
		}
		pass(5 * time.Second)
		for i := range 3 {
			Expect(held(sound)).To(BeFalse())
			ends(fmt.Sprint("w-", i), sound)
		}
		Expect(held(sound)).To(BeTrue())
	})

	It("releases a request after its quarantine, and doubles the next one", func() {
		for i := range 3 {
			ends(fmt.Sprint("w-", i), bad)
		}
		b.Sweep(pass(9 * time.Minute))
		Expect(b.DrainReleased()).To(BeEmpty())
		b.Sweep(pass(time.Minute))
		Expect(b.DrainReleased()).To(Equal([]quarantiner.Fingerprint{bad}))
		Expect(held(bad)).To(BeFalse())
		ends("w-3", bad)
		left, _ := b.Quarantined(now, bad)
		Expect(left).To(Equal(20 * time.Minute))
	})

	It("forgets marks after an hour", func() {
		ends("w-0", bad)
		b.Sweep(pass(time.Hour))
		Expect(b.Suspected(bad)).To(BeTrue())
		b.Sweep(pass(time.Second))
		Expect(b.Suspected(bad)).To(BeFalse())
	})

	It("accepts the quarantine of another host once", func() {
		for i := range 3 {
			ends(fmt.Sprint("w-", i), bad)
		}
		other := &quarantiner.Tracker{}
		for _, h := range b.List(now) {
			Expect(other.Receive(now, h)).To(BeTrue())
			Expect(other.Receive(now, h)).To(BeFalse())
		}
		Expect(other.List(now)).To(Equal(b.List(now)))
	})

	It("bounds its records, and keeps quarantined requests longest", func() {
		for i := range 3 {
			ends(fmt.Sprint("w-", i), bad)
		}
		for i := range 10000 {
			b.WorkerCrashed(pass(time.Millisecond), quarantiner.Fingerprint(100+i), fmt.Sprint("x-", i), now)
		}
		Expect(held(bad)).To(BeTrue())
		Expect(b.Suspected(100)).To(BeFalse())
		Expect(b.Suspected(10099)).To(BeTrue())
	})

	It("ignores requests without a fingerprint", func() {
		for i := range 9 {
			ends(fmt.Sprint("w-", i), 0)
		}
		Expect(b.Suspected(0)).To(BeFalse())
	})
})
