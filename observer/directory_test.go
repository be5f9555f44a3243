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
		for _, e := range d.Available() {
			out = append(out, e.Name)
		}
		return out
	}

	It("knows nothing before it was told, and forgets at once who goes", func() {
		var d observer.Directory
		Expect(d.Loaded()).To(BeFalse())
		d.Failed()
		d.Listed(start, []observer.Entry{entry("a", false), entry("b", true), entry("c", false)})
		Expect(d.Loaded()).To(BeTrue())
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

	// Guards against requests to workers that had told of their end in what the source lost.
	It("does not bring back, with an older copy of the source, who was leaving or gone", func() {
		var d observer.Directory
		d.Listed(start, []observer.Entry{entry("a", false), entry("b", true), entry("c", false), entry("d", false)})
		d.Removed(start, "c")
		back := start.Add(5 * time.Second)
		d.Restored(back, []observer.Entry{entry("a", false), entry("b", false), entry("c", false)})
		Expect(names(&d)).To(Equal([]string{"a", "d"}))
		d.Changed(back.Add(time.Second), entry("b", false)) // its own word, later than its leaving
		Expect(names(&d)).To(Equal([]string{"a", "b", "d"}))
		d.Sweep(back.Add(2 * time.Second))
		Expect(names(&d)).To(Equal([]string{"a", "b"}))
	})

	// Guards against a worker that serves and is never asked: a write that changes nothing
	// is no event.
	It("has them count once an entry that nobody writes would have lapsed", func() {
		var d observer.Directory
		d.Listed(start, []observer.Entry{entry("a", false)})
		d.Removed(start, "a")
		d.Restored(start, []observer.Entry{entry("a", false)})
		Expect(d.Sweep(start.Add(5900 * time.Millisecond))).To(BeFalse())
		Expect(names(&d)).To(BeEmpty())
		Expect(d.Sweep(start.Add(6 * time.Second))).To(BeTrue())
		Expect(names(&d)).To(Equal([]string{"a"}))
	})

	// Guards against a list of the same copy that comes after another host told of it.
	It("does not bring them back with the next list of that copy either", func() {
		var d observer.Directory
		d.Listed(start, []observer.Entry{entry("a", true), entry("b", false)})
		copied := []observer.Entry{entry("a", false), entry("b", false)}
		d.Restored(start, copied)
		d.Listed(start.Add(10*time.Millisecond), copied)
		Expect(names(&d)).To(Equal([]string{"b"}))
	})

	// Guards against requests to where a worker was before it restarted, as the copy has that.
	It("goes on with the last process of a worker, until it is told of another", func() {
		at := func(address, born string) observer.Entry {
			e := entry("a", false)
			e.Address, e.Incarnation = address, born
			return e
		}
		address := func(d *observer.Directory) string { return d.Available()[0].Address }
		var d observer.Directory
		d.Listed(start, []observer.Entry{at("127.0.0.1:1", "0")})
		d.Changed(start, at("127.0.0.1:2", "1"))
		for i := range 2 { // returns
			d.Restored(start.Add(time.Duration(i)*time.Second), []observer.Entry{at("127.0.0.1:1", "0")})
			Expect(address(&d)).To(Equal("127.0.0.1:2"))
		}
		Expect(d.Sweep(start.Add(6900 * time.Millisecond))).To(BeFalse())
		Expect(d.Sweep(start.Add(7 * time.Second))).To(BeTrue())
		Expect(address(&d)).To(Equal("127.0.0.1:1"), "nobody wrote it again")
		d.Restored(start.Add(8*time.Second), []observer.Entry{at("127.0.0.1:0", "-")})
		d.Changed(start.Add(8*time.Second), at("127.0.0.1:3", "2"))
		Expect(address(&d)).To(Equal("127.0.0.1:3"))
		Expect(d.Sweep(start.Add(20 * time.Second))).To(BeFalse())
	})

	// Guards against a second return, a moment later, by which they count after all.
	It("does not bring them back with a second copy either", func() {
		var d observer.Directory
		d.Listed(start, []observer.Entry{entry("a", true), entry("b", false)})
		d.Restored(start, []observer.Entry{entry("a", false), entry("b", false)})
		d.Restored(start.Add(time.Second), []observer.Entry{entry("a", false), entry("b", false)})
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
