package observer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/observer"
)

// Guards against new requests for a worker that stated in an answer that it is leaving, while
// the source lacks that or states the contrary.
var _ = Describe("Directory, of a worker that reported in an answer that it is leaving", func() {
	start := time.Unix(1000, 0)
	entry := func(incarnation string, leaving bool) observer.Entry {
		return observer.Entry{Listing: observer.Listing{Service: "s", Name: "a", Address: "127.0.0.1:1", Slots: 1, Leaving: leaving}, Incarnation: incarnation}
	}
	process := observer.Process{Name: "a", Incarnation: "1"}
	var d *observer.Directory
	BeforeEach(func() {
		d = &observer.Directory{}
		d.Listed(start, []observer.Entry{entry("1", false)})
		Expect(d.Available()).To(HaveLen(1))
		Expect(d.ReportLeaving(start, process)).To(BeTrue())
		Expect(d.Available()).To(BeEmpty())
	})

	It("takes the report as news once", func() {
		Expect(d.ReportLeaving(start, process)).To(BeFalse())
		Expect(d.Leaving()).To(Equal([]observer.Process{process}))
	})

	DescribeTable("does not make it available by its entry", func(change func(now time.Time)) {
		now := start.Add(time.Minute)
		change(now)
		Expect(d.Available()).To(BeEmpty())
		d.Sweep(now.Add(time.Minute))
		Expect(d.Available()).To(BeEmpty())
	},
		Entry("listed", func(now time.Time) { d.Listed(now, []observer.Entry{entry("1", false)}) }),
		Entry("changed", func(now time.Time) { d.Changed(now, entry("1", false)) }),
		Entry("changed to leaving and back", func(now time.Time) {
			d.Changed(now, entry("1", true))
			d.Changed(now, entry("1", false))
		}),
		Entry("removed and written again", func(now time.Time) {
			d.Removed(now, "a")
			d.Sweep(now)
			d.Changed(now.Add(5*time.Minute), entry("1", false))
		}),
		Entry("kept and listed after an outage of the source", func(now time.Time) {
			d.Failed()
			d.Sweep(now.Add(time.Hour))
			d.Listed(now.Add(time.Hour), []observer.Entry{entry("1", false)})
		}),
		Entry("restored from an older snapshot of the source", func(now time.Time) {
			d.Restored(now, []observer.Entry{entry("1", false)})
			d.Sweep(now.Add(time.Minute))
		}),
	)

	It("makes another process under its name available, also if the report of the earlier one is late", func() {
		d.Changed(start, entry("2", false))
		Expect(d.Available()).To(HaveLen(1))
		d.ReportLeaving(start, observer.Process{Name: "a", Incarnation: "0"})
		Expect(d.Available()).To(HaveLen(1))
		d.ReportLeaving(start, observer.Process{Name: "a", Incarnation: "2"})
		d.ReportLeaving(start, process)
		Expect(d.Available()).To(BeEmpty())
	})

	It("remembers the report before the worker is listed", func() {
		d = &observer.Directory{}
		d.ReportLeaving(start, process)
		d.Listed(start, []observer.Entry{entry("1", false)})
		Expect(d.Available()).To(BeEmpty())
	})

	It("forgets it when its entry has been gone for ten minutes", func() {
		d.Sweep(start.Add(time.Hour))
		Expect(d.Leaving()).To(HaveLen(1))
		d.Removed(start.Add(time.Hour), "a")
		d.Sweep(start.Add(time.Hour + 9*time.Minute))
		Expect(d.Leaving()).To(HaveLen(1))
		d.Sweep(start.Add(time.Hour + 10*time.Minute))
		Expect(d.Leaving()).To(BeEmpty())
	})
})
