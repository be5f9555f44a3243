package quarantiner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/quarantiner"
)

var _ = Describe("Book", func() {
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
	// ends has a worker end with requests that were sent to it just before.
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

	It("holds a request back as the third worker ends under it, and no sooner", func() {
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

	// Guards against requests being held back that were under way as all workers lost power.
	It("takes ends of one moment for one", func() {
		sent := now
		pass(time.Second)
		for i := range 9 {
			b.WorkerCrashed(pass(time.Millisecond), bad, fmt.Sprint("w-", i), sent)
		}
		Expect(held(bad)).To(BeFalse())
	})

	// Guards against a request that is asked for all the time being held back for workers that fail.
	It("clears what a worker answered", func() {
		ends("w-0", bad)
		ends("w-1", bad)
		b.Answered(bad)
		ends("w-2", bad)
		Expect(held(bad)).To(BeFalse())
		Expect(b.Suspected(bad)).To(BeTrue())
	})

	// Guards against connections that are reset passing for workers that end.
	It("takes a mark off where the worker goes on", func() {
		ends("w-0", bad)
		ends("w-1", bad)
		b.Alive(pass(200*time.Millisecond), "w-1", now.Add(-50*time.Millisecond))
		ends("w-2", bad)
		Expect(held(bad)).To(BeFalse())
		ends("w-3", bad)
		Expect(held(bad)).To(BeTrue())
		b.Alive(pass(200*time.Millisecond), "w-3", now.Add(-50*time.Millisecond))
		Expect(held(bad)).To(BeFalse(), "also of one that is held back")
	})

	// Guards against an answer on its way passing for one of the process that follows.
	It("goes by what was said after the end, and soon after it", func() {
		for i := range 3 {
			ends(fmt.Sprint("w-", i), bad)
		}
		b.Alive(pass(200*time.Millisecond), "w-2", now.Add(-160*time.Millisecond))
		Expect(held(bad)).To(BeTrue())
		b.Alive(pass(5*time.Second), "w-2", now.Add(-time.Millisecond))
		Expect(held(bad)).To(BeTrue())
	})

	// Guards against those being held back that were at the same workers by chance.
	It("counts no end against others that a request held back explains", func() {
		ends("w-0", sound, bad)
		ends("w-1", bad, sound)
		ends("w-2", bad)
		Expect(held(bad)).To(BeTrue())
		Expect(b.Suspected(sound)).To(BeFalse())
		ends("w-3", bad) // it was under way
		for range 3 {
			ends("w-3", sound)
		}
		Expect(b.Suspected(sound)).To(BeFalse())
	})

	// Guards against two workers that break off their answers having a sound request held back.
	It("takes a worker that is there again at once for one that did not end", func() {
		b.RenamedOnRestart = true
		for range 9 {
			ends("w-0", bad)
			ends("w-1", bad)
		}
		Expect(held(bad)).To(BeFalse())
		pass(3 * time.Second) // it may have come back
		ends("w-0", bad)
		Expect(held(bad)).To(BeTrue())
	})

	// Guards against one request held back hiding all others at workers that keep their names.
	It("explains an end by one of the same moment only", func() {
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

	It("lets a request go after a while, and holds it back for longer at the next end", func() {
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

	It("takes what another host holds back, once", func() {
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

	It("keeps no more than so many, and those held back longest", func() {
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

	It("knows nothing of a request without a fingerprint", func() {
		for i := range 9 {
			ends(fmt.Sprint("w-", i), 0)
		}
		Expect(b.Suspected(0)).To(BeFalse())
	})
})
