package observer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/observer"
)

var _ = Describe("Directory", func() {
	start := time.Unix(1000, 0)
	entry := func(name string, leaving bool) observer.Entry {
		return observer.Entry{Listing: observer.Listing{Service: "s", Name: name, Address: "127.0.0.1:1", Slots: 1, Leaving: leaving}}
	}
	names := func(d *observer.Directory) []string {
		out := []string{}
		for _, e := range d.Present() {
			out = append(out, e.Name)
		}
		return out
	}

	It("knows nothing before it was told, and forgets at once who goes", func() {
		var d observer.Directory
		Expect(d.Known()).To(BeFalse())
		d.Failed()
		d.Listed(start, []observer.Entry{entry("a", false), entry("b", true), entry("c", false)})
		Expect(d.Known()).To(BeTrue())
		Expect(names(&d)).To(Equal([]string{"a", "c"}))
		d.Removed(start, "a")
		d.Changed(start, entry("c", true))
		d.Changed(start, entry("b", false))
		Expect(names(&d)).To(Equal([]string{"b"}))
	})

	// The store is away, and entries lapse because their workers can't write there.
	// Were they gone with the first list after it, a whole service would be refused.
	It("keeps for two seconds after an outage who is missing, and then no longer", func() {
		var d observer.Directory
		d.Listed(start, []observer.Entry{entry("a", false), entry("b", false), entry("c", true)})
		d.Failed()
		Expect(d.Sweep(start.Add(time.Minute))).To(BeFalse())
		back := start.Add(2 * time.Minute)
		d.Listed(back, nil)
		Expect(names(&d)).To(Equal([]string{"a", "b"}))
		d.Changed(back.Add(time.Second), entry("b", false))
		Expect(d.Sweep(back.Add(1900 * time.Millisecond))).To(BeFalse())
		Expect(names(&d)).To(Equal([]string{"a", "b"}))
		Expect(d.Sweep(back.Add(2 * time.Second))).To(BeTrue())
		Expect(names(&d)).To(Equal([]string{"b"}))
	})

	It("does not bring back during an outage who was leaving before it", func() {
		var d observer.Directory
		d.Listed(start, []observer.Entry{entry("a", true)})
		d.Failed()
		d.Listed(start.Add(time.Second), nil)
		Expect(names(&d)).To(BeEmpty())
	})
})
