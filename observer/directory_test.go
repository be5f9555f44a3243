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

	It("knows nothing before the first list, and removes workers immediately", func() {
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

	// Guards against a whole service being refused after an outage of the source: entries expire
	// while their workers can't write, and are missing in the first list after it.
	It("keeps missing workers for two seconds after an outage, and then no longer", func() {
		var d observer.Directory
		d.Listed(start, []observer.Entry{entry("a", false), entry("b", false), entry("c", true)})
		d.Failed()
		Expect(d.Sweep(start.Add(time.Minute))).To(BeFalse())
		recovered := start.Add(2 * time.Minute)
		d.Listed(recovered, nil)
		Expect(names(&d)).To(Equal([]string{"a", "b"}))
		d.Changed(recovered.Add(time.Second), entry("b", false))
		Expect(d.Sweep(recovered.Add(1900 * time.Millisecond))).To(BeFalse())
		Expect(names(&d)).To(Equal([]string{"a", "b"}))
		Expect(d.Sweep(recovered.Add(2 * time.Second))).To(BeTrue())
		Expect(names(&d)).To(Equal([]string{"b"}))
	})

	// Guards against requests to a worker that is gone, because a read failed as its entry was removed.
	It("removes a worker immediately if a read failed for less time than entries take to expire", func() {
		var d observer.Directory
		d.Listed(start, []observer.Entry{entry("a", false), entry("b", false)})
		d.Changed(start.Add(time.Minute), entry("b", false))
		d.Failed()
		d.Listed(start.Add(time.Minute+300*time.Millisecond), []observer.Entry{entry("b", false)})
		Expect(names(&d)).To(Equal([]string{"b"}))
	})

	// Guards against a whole service being refused while the source answers one call and fails the next.
	It("keeps missing workers if reads fail again and again for as long as entries take to expire", func() {
		var d observer.Directory
		all := []observer.Entry{entry("a", false), entry("b", false)}
		now := start
		for range 5 {
			d.Listed(now, all)
			d.Failed()
			now = now.Add(400 * time.Millisecond)
		}
		d.Listed(now, []observer.Entry{entry("b", false)})
		Expect(names(&d)).To(Equal([]string{"a", "b"}))
		Expect(d.Sweep(now.Add(2 * time.Second))).To(BeTrue())
		Expect(names(&d)).To(Equal([]string{"b"}))
	})

	// Guards against requests to workers whose report that they are leaving was lost by the
	// source.
	It("does not restore leaving or removed workers by an older snapshot of the source", func() {
		var d observer.Directory
		d.Listed(start, []observer.Entry{entry("a", false), entry("b", true), entry("c", false), entry("d", false)})
		d.Removed(start, "c")
		restored := start.Add(5 * time.Second)
		d.Restored(restored, []observer.Entry{entry("a", false), entry("b", false), entry("c", false)})
		Expect(names(&d)).To(Equal([]string{"a", "d"}))
		d.Changed(restored.Add(time.Second), entry("b", false)) // written by the worker after it was leaving
		Expect(names(&d)).To(Equal([]string{"a", "b", "d"}))
		d.Sweep(restored.Add(2 * time.Second))
		Expect(names(&d)).To(Equal([]string{"a", "b"}))
	})

	// Guards against a running worker that never gets requests: a write that changes nothing is
	// not an event.
	It("makes them available once an entry that nobody writes would have expired", func() {
		var d observer.Directory
		d.Listed(start, []observer.Entry{entry("a", false)})
		d.Removed(start, "a")
		d.Restored(start, []observer.Entry{entry("a", false)})
		Expect(d.Sweep(start.Add(5900 * time.Millisecond))).To(BeFalse())
		Expect(names(&d)).To(BeEmpty())
		Expect(d.Sweep(start.Add(6 * time.Second))).To(BeTrue())
		Expect(names(&d)).To(Equal([]string{"a"}))
	})

	// Guards against a list of the same snapshot that arrives after another host's list.
	It("does not restore them by the next list of that snapshot either", func() {
		var d observer.Directory
		d.Listed(start, []observer.Entry{entry("a", true), entry("b", false)})
		copied := []observer.Entry{entry("a", false), entry("b", false)}
		d.Restored(start, copied)
		d.Listed(start.Add(10*time.Millisecond), copied)
		Expect(names(&d)).To(Equal([]string{"b"}))
	})

	// Guards against requests to the address that a worker had before it restarted, which is in
	// the snapshot.
	It("keeps the last process of a worker until another one is written", func() {
		at := func(address, incarnation string) observer.Entry {
			e := entry("a", false)
			e.Address, e.Incarnation = address, incarnation
			return e
		}
		address := func(d *observer.Directory) string { return d.Available()[0].Address }
		var d observer.Directory
		d.Listed(start, []observer.Entry{at("127.0.0.1:1", "0")})
		d.Changed(start, at("127.0.0.1:2", "1"))
		for i := range 2 { // restores
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

	// Guards against a second restore, a moment later, making them available.
	It("does not restore them by a second snapshot either", func() {
		var d observer.Directory
		d.Listed(start, []observer.Entry{entry("a", true), entry("b", false)})
		d.Restored(start, []observer.Entry{entry("a", false), entry("b", false)})
		d.Restored(start.Add(time.Second), []observer.Entry{entry("a", false), entry("b", false)})
		Expect(names(&d)).To(Equal([]string{"b"}))
	})

	It("does not make a leaving worker available again by an outage", func() {
		var d observer.Directory
		d.Listed(start, []observer.Entry{entry("a", true)})
		d.Failed()
		d.Listed(start.Add(time.Second), nil)
		Expect(names(&d)).To(BeEmpty())
	})
})

// Guards against a list that is taken for current right after an outage of the source, while
// workers that started again in it have not written their entries yet.
var _ = It("is settled two seconds after an outage of the source", func() {
	start := time.Unix(1000, 0)
	d := &observer.Directory{}
	d.Listed(start, nil)
	Expect(d.Settled(start)).To(BeTrue())
	d.Failed()
	Expect(d.Settled(start.Add(time.Second))).To(BeFalse())
	d.Listed(start.Add(2*time.Second), nil)
	Expect(d.Settled(start.Add(3 * time.Second))).To(BeFalse())
	Expect(d.Settled(start.Add(4 * time.Second))).To(BeTrue())
})
