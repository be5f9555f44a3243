package relayer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/storer"
)

// versionIn returns the version for a revision of an era.
func versionIn(era, revision uint64) storer.Version { return storer.NewVersion(era, revision) }

var _ = Describe("Relay over eras of the store", func() {
	// Guards against hosts treating every change as an old one after the store was restored and
	// its revisions went back.
	It("applies the complete list of a later era, and changes after it", func() {
		r := follower(object("a", versionIn(1, 9)))
		Expect(r.ReceivedList(start, "w-1", versionIn(2, 7), []storer.Object{object("a", versionIn(2, 5))})).To(BeTrue())
		fresh, complete := r.Received(start, "w-1", update(versionIn(2, 7), versionIn(2, 8), object("a", versionIn(2, 8))))
		Expect(complete).To(BeTrue())
		Expect(fresh).To(ConsistOf(object("a", versionIn(2, 8))))
	})

	// Guards against a host in an earlier era making others go back, or counting as a watcher.
	It("rejects everything of an earlier era, and does not count hosts in it as watchers", func() {
		r := follower()
		_, _ = r.Received(start, "w-1", update(10, 11))
		Expect(r.ReceivedList(start, "w-2", versionIn(2, 7), nil)).To(BeTrue())
		Expect(r.Listed(start, 900, nil)).To(BeFalse(), "a list that was on its way")
		Expect(r.Era()).To(BeEquivalentTo(2))
		fresh, complete := r.Received(start, "w-1", update(11, 12, object("a", 12)))
		Expect(complete).To(BeFalse())
		Expect(fresh).To(BeEmpty())
		Expect(r.ReceivedList(start, "w-1", 900, nil)).To(BeFalse())
		r.WatcherLost("w-2")
		Expect(r.HasWatcher(start)).To(BeFalse())
	})

	// Guards against a host staying in an earlier era because no host sends it the list.
	It("calls the store if it receives only changes of a later era", func() {
		r := follower()
		_, complete := r.Received(start, "w-1", update(versionIn(2, 7), versionIn(2, 8), object("a", versionIn(2, 8))))
		Expect(complete).To(BeFalse())
		_, call, behind := r.Next(start.Add(100 * time.Millisecond))
		Expect(call).To(BeTrue())
		Expect(behind).To(BeTrue())
	})

	// Two histories of a store diverge at a snapshot, and three hosts send updates of both in any
	// order. The known version must never go back, and the result must be the contents of the
	// store.
	It("never goes back, and ends with the contents of the store", func() {
		for seed := range uint64(2000) {
			simulateEras(rand.New(rand.NewPCG(seed, 11)), seed)
		}
	})
})

// history is the list of changes of a store in one era.
type history struct {
	era     uint64
	changes []storer.Object // each has its index plus 1 as revision
}

func (h *history) grow(r *rand.Rand, n int) {
	for range n {
		o := object(fmt.Sprint(r.IntN(6)), versionIn(h.era, uint64(len(h.changes)+1)))
		o.Deleted = r.IntN(3) == 0
		h.changes = append(h.changes, o)
	}
}

// restored returns the store's next era, restored from a snapshot with the first count
// changes.
func (h *history) restored(count int) *history {
	next := &history{era: h.era + 1}
	for i, o := range h.changes[:count] {
		o.Version = versionIn(next.era, uint64(i+1))
		next.changes = append(next.changes, o)
	}
	return next
}

func (h *history) update(after, upto int) relayer.Update {
	return update(versionIn(h.era, uint64(after)), versionIn(h.era, uint64(upto)), h.changes[after:upto]...)
}

// list returns the objects that exist after the first upto changes.
func (h *history) list(upto int) []storer.Object {
	at := map[string]storer.Object{}
	for _, o := range h.changes[:upto] {
		if delete(at, o.Key); !o.Deleted {
			at[o.Key] = o
		}
	}
	var all []storer.Object
	for _, o := range at {
		all = append(all, o)
	}
	return all
}

func simulateEras(r *rand.Rand, seed uint64) {
	first := &history{era: 1}
	first.grow(r, 40)
	second := first.restored(10 + r.IntN(30))
	second.grow(r, 40)
	relay, applied, latest := relayer.New("h", "list"), map[string]storer.Version{}, uint64(0)
	applyChanges := func(fresh []storer.Object) {
		for _, o := range fresh {
			Expect(o.Version.Era()).To(BeNumerically(">=", latest), "seed %d", seed)
			latest = o.Version.Era()
			if delete(applied, o.Key); !o.Deleted {
				applied[o.Key] = o.Version
			}
		}
	}
	replaceList := func(h *history, upto int) {
		clear(applied)
		applyChanges(h.list(upto))
	}
	begin := r.IntN(20)
	relay.Listed(start, versionIn(1, uint64(begin)), first.list(begin))
	replaceList(first, begin)
	for range 60 {
		h, from := first, fmt.Sprintf("w-%d", r.IntN(3))
		if r.IntN(2) == 0 {
			h = second
		}
		upto := r.IntN(len(h.changes))
		if r.IntN(6) == 0 {
			if relay.ReceivedList(start, from, versionIn(h.era, uint64(upto)), h.list(upto)) {
				replaceList(h, upto)
			}
			continue
		}
		fresh, _ := relay.Received(start, from, h.update(r.IntN(upto+1), upto))
		applyChanges(fresh)
	}
	end := len(second.changes)
	after, _, _ := relay.Next(start)
	if after.Era() < second.era {
		relay.Listed(start, versionIn(second.era, uint64(end)), second.list(end))
		replaceList(second, end)
	} else {
		applyChanges(relay.Watched(start, second.update(int(after.Revision()), end)))
	}
	content := map[string]storer.Version{}
	for _, o := range second.list(end) {
		content[o.Key] = o.Version
	}
	Expect(applied).To(Equal(content), "seed %d", seed)
}
