package runner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/quarantiner"
	"github.com/cicadawood/cicadawood/runner"
)

var _ = Describe("The store of what is held back", func() {
	var (
		fake *faker.Platform
		q    runner.QuarantineStore
		now  time.Time
	)
	bad := quarantiner.Entry{Fingerprint: 7, Remaining: 9 * time.Minute, Duration: 10 * time.Minute, Workers: []string{"w-1", "w-2", "w-3"}}
	BeforeEach(func() {
		fake, now = faker.NewPlatform(), time.Unix(1000, 0)
		store, closeStore := platform.NewStore(serve(fake.Handler()))
		DeferCleanup(closeStore)
		q = runner.NewQuarantineStore(store)
	})
	// sweep passes a time and returns what was read, and whether a call was made that went well.
	sweep := func(d time.Duration, owns bool, held ...quarantiner.Entry) ([]quarantiner.Entry, bool) {
		now = now.Add(d)
		read, _, err, due := q.Sweep(now, owns, held)
		return read, due && err == nil
	}
	own := func(held ...quarantiner.Entry) []quarantiner.Entry {
		sweep(0, true, held...)
		read, ok := sweep(time.Second, true, held...)
		Expect(ok).To(BeTrue())
		return read
	}

	It("is read a second after the role came, written and cleared in step, and no more", func() {
		_, called := sweep(0, false, bad)
		Expect(called).To(BeFalse(), "another owns the role")
		Expect(own(bad)).To(BeEmpty())
		for _, held := range [][]quarantiner.Entry{{bad}, nil} {
			_, called = sweep(time.Second, true, held...)
			Expect(called).To(BeTrue())
			Expect(fake.Has("quarantine")).To(Equal(len(held) > 0))
			_, called = sweep(time.Second, true, held...)
			Expect(called).To(BeFalse(), "in step")
		}
	})

	// Guards against the next owner letting loose what the last one held back.
	It("gives the next owner what the last one wrote, for its whole time anew", func() {
		own(bad)
		sweep(time.Second, true, bad)
		sweep(time.Second, false, bad)
		read := own()
		Expect(read).To(HaveLen(1))
		Expect(read[0]).To(Equal(quarantiner.Entry{Fingerprint: 7, Remaining: 10 * time.Minute, Duration: 10 * time.Minute, Workers: bad.Workers}))
	})

	// Guards against an outage of the store losing what came meanwhile.
	It("is written once the store answers again", func() {
		own()
		fake.SetFaults(faker.Faults{Down: true})
		_, ok := sweep(time.Second, true, bad)
		Expect(ok).To(BeFalse())
		_, ok = sweep(100*time.Millisecond, true, bad)
		Expect(ok).To(BeFalse(), "not at once")
		fake.SetFaults(faker.Faults{})
		_, ok = sweep(time.Second, true, bad)
		Expect(ok).To(BeTrue())
		Expect(fake.Has("quarantine")).To(BeTrue())
	})

	// Guards against an older copy of the store that lets loose what is held back, and holds
	// back what was let go.
	It("is put right after the store came back from an older copy", func() {
		own(bad)
		sweep(time.Second, true, bad)
		gone := quarantiner.Entry{Fingerprint: 8, Remaining: time.Minute, Duration: time.Minute}
		fake.Delete("quarantine", bad.Fingerprint.String())
		fake.Put("quarantine", gone.Fingerprint.String(), map[string]any{"fingerprint": gone.Fingerprint, "span": time.Minute})
		q.Restore()
		for range 3 { // it reads, writes, removes
			read, called := sweep(time.Second, true, bad)
			Expect(called).To(BeTrue())
			Expect(read).To(BeEmpty())
		}
		Expect(fake.Names("quarantine")).To(ConsistOf(bad.Fingerprint.String()))
	})

	// Guards against one strange object hiding all others.
	It("leaves out an object that can't be read", func() {
		own(bad)
		sweep(time.Second, true, bad)
		fake.Put("quarantine", "x", map[string]any{"fingerprint": 12})
		sweep(time.Second, false, bad)
		sweep(0, true)
		now = now.Add(time.Second)
		read, left, err, due := q.Sweep(now, true, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(due).To(BeTrue())
		Expect(read).To(HaveLen(1))
		Expect(left).To(MatchError(ContainSubstring("quarantine/x")))
	})
})
