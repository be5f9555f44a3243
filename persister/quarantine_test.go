package persister_test

import (
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/persister"
	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/quarantiner"
)

var _ = Describe("The quarantine store", func() {
	var (
		fake *faker.Platform
		q    *persister.Quarantine
		now  time.Time
	)
	entry := quarantiner.Entry{Fingerprint: 7, Remaining: 9 * time.Minute, Duration: 10 * time.Minute, Workers: []string{"w-1", "w-2", "w-3"}}
	BeforeEach(func() {
		fake, now = faker.NewPlatform(), time.Unix(1000, 0)
		server := httptest.NewServer(fake.Handler())
		DeferCleanup(server.Close)
		store, closeStore := platform.NewStore(server.URL)
		DeferCleanup(closeStore)
		q = persister.NewQuarantine(store)
	})
	// sweep advances the time and makes the call that is due. It returns what was read, and
	// whether a call was made and succeeded.
	sweep := func(d time.Duration, owns bool, entries ...quarantiner.Entry) ([]quarantiner.Entry, bool) {
		now = now.Add(d)
		read, _, err, due := q.SweepAndCall(now, owns, entries)
		return read, due && err == nil
	}
	own := func(entries ...quarantiner.Entry) []quarantiner.Entry {
		sweep(0, true, entries...)
		read, ok := sweep(time.Second, true, entries...)
		Expect(ok).To(BeTrue())
		return read
	}

	It("is read a second after the host became the owner, then written and cleared once for each change", func() {
		_, called := sweep(0, false, entry)
		Expect(called).To(BeFalse(), "another owns the role")
		Expect(own(entry)).To(BeEmpty())
		for _, entries := range [][]quarantiner.Entry{{entry}, nil} {
			_, called = sweep(time.Second, true, entries...)
			Expect(called).To(BeTrue())
			Expect(fake.Has("quarantine")).To(Equal(len(entries) > 0))
			_, called = sweep(time.Second, true, entries...)
			Expect(called).To(BeFalse(), "no change")
		}
	})

	// Guards against a new owner that releases requests that its predecessor quarantined.
	It("gives a new owner its predecessor's entries, with their full duration", func() {
		own(entry)
		sweep(time.Second, true, entry)
		sweep(time.Second, false, entry)
		read := own()
		Expect(read).To(HaveLen(1))
		Expect(read[0]).To(Equal(quarantiner.Entry{Fingerprint: 7, Remaining: 10 * time.Minute, Duration: 10 * time.Minute, Workers: entry.Workers}))
	})

	// Guards against losing requests that are quarantined while the store is down.
	It("is written once the store answers again", func() {
		own()
		fake.SetFaults(faker.Faults{Down: true})
		_, ok := sweep(time.Second, true, entry)
		Expect(ok).To(BeFalse())
		_, ok = sweep(100*time.Millisecond, true, entry)
		Expect(ok).To(BeFalse(), "not before the retry delay")
		fake.SetFaults(faker.Faults{})
		_, ok = sweep(time.Second, true, entry)
		Expect(ok).To(BeTrue())
		Expect(fake.Has("quarantine")).To(BeTrue())
	})

	// Guards against a store restored from an older snapshot that releases quarantined
	// requests, and quarantines released ones.
	It("is corrected after the store was restored from an older snapshot", func() {
		own(entry)
		sweep(time.Second, true, entry)
		released := quarantiner.Entry{Fingerprint: 8, Remaining: time.Minute, Duration: time.Minute}
		fake.Delete("quarantine", entry.Fingerprint.String())
		fake.Put("quarantine", released.Fingerprint.String(), map[string]any{"fingerprint": released.Fingerprint, "span": time.Minute})
		q.StoreRestored()
		for range 3 { // it reads, writes, removes
			read, called := sweep(time.Second, true, entry)
			Expect(called).To(BeTrue())
			Expect(read).To(BeEmpty())
		}
		Expect(fake.Names("quarantine")).To(ConsistOf(entry.Fingerprint.String()))
	})

	// Guards against one malformed object hiding all others.
	It("leaves out an object that can't be decoded", func() {
		own(entry)
		sweep(time.Second, true, entry)
		fake.Put("quarantine", "x", map[string]any{"fingerprint": 12})
		sweep(time.Second, false, entry)
		sweep(0, true)
		now = now.Add(time.Second)
		read, malformed, err, due := q.SweepAndCall(now, true, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(due).To(BeTrue())
		Expect(read).To(HaveLen(1))
		Expect(malformed).To(MatchError(ContainSubstring("quarantine/x")))
	})

	// Guards against a store that is read without a pause, or lists too large to send, for one odd object.
	DescribeTable("leaves out an object out of range, and reads the store once", func(name, spec string) {
		fake.Put("quarantine", entry.Fingerprint.String(), map[string]any{"fingerprint": entry.Fingerprint, "span": time.Minute})
		fake.PutRaw("quarantine", name, spec)
		sweep(0, true)
		now = now.Add(time.Second)
		read, malformed, err, _ := q.SweepAndCall(now, true, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal([]quarantiner.Entry{{Fingerprint: entry.Fingerprint, Remaining: time.Minute, Duration: time.Minute}}))
		Expect(malformed).To(MatchError(ContainSubstring("quarantine/" + name)))
		_, called := sweep(time.Second, true, read...)
		Expect(called).To(BeFalse(), "no change")
	},
		Entry("without a fingerprint", quarantiner.Fingerprint(0).String(), `{"fingerprint":"0000000000000000","span":1}`),
		Entry("under another's name", quarantiner.Fingerprint(9).String(), `{"fingerprint":"0000000000000008","span":1}`),
		Entry("with a negative duration", quarantiner.Fingerprint(9).String(), `{"fingerprint":"0000000000000009","span":-1}`),
		Entry("with a duration of 20 digits", quarantiner.Fingerprint(9).String(), `{"fingerprint":"0000000000000009","span":99999999999999999999}`),
		Entry("with a duration beyond any", quarantiner.Fingerprint(9).String(), `{"fingerprint":"0000000000000009","span":1e400}`),
		Entry("with a worker of 1 MB", quarantiner.Fingerprint(9).String(), `{"fingerprint":"0000000000000009","span":1,"workers":["`+strings.Repeat("x", 1_000_000)+`"]}`),
		Entry("with 100,000 workers", quarantiner.Fingerprint(9).String(), `{"fingerprint":"0000000000000009","span":1,"workers":["x"`+strings.Repeat(`,"x"`, 100_000)+`]}`),
		Entry("that has no value", quarantiner.Fingerprint(9).String(), `"%"`),
	)
})
