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

// in is the version of a revision of an era.
func in(era, revision uint64) storer.Version { return storer.NewVersion(era, revision) }

var _ = Describe("Relay over eras of the store", func() {
	// Guards against hosts that take each change for an old one, once revisions went back.
	It("takes the whole list of a later era, and changes from there", func() {
		r := listener(object("a", in(1, 9)))
		Expect(r.ReceivedList(start, "w-1", in(2, 7), []storer.Object{object("a", in(2, 5))})).To(BeTrue())
		fresh, whole := r.Received(start, "w-1", word(in(2, 7), in(2, 8), object("a", in(2, 8))))
		Expect(whole).To(BeTrue())
		Expect(fresh).To(ConsistOf(object("a", in(2, 8))))
	})

	// Guards against a host of before the return that pulls others back, or counts as one
	// that watches for them.
	It("takes nothing of an earlier era, and does not count who is in it", func() {
		r := listener()
		_, _ = r.Received(start, "w-1", word(10, 11))
		Expect(r.ReceivedList(start, "w-2", in(2, 7), nil)).To(BeTrue())
		Expect(r.Listed(start, 900, nil)).To(BeFalse(), "a list that was on its way")
		Expect(r.Era()).To(BeEquivalentTo(2))
		fresh, whole := r.Received(start, "w-1", word(11, 12, object("a", 12)))
		Expect(whole).To(BeFalse())
		Expect(fresh).To(BeEmpty())
		Expect(r.ReceivedList(start, "w-1", 900, nil)).To(BeFalse())
		r.WatcherLost("w-2")
		Expect(r.HasWatcher(start)).To(BeFalse())
	})

	// Guards against a host that stays in an earlier era, as nobody tells it of the list.
	It("calls the store where it hears only changes of a later era", func() {
		r := listener()
		_, whole := r.Received(start, "w-1", word(in(2, 7), in(2, 8), object("a", in(2, 8))))
		Expect(whole).To(BeFalse())
		_, call, behind := r.Next(start.Add(100 * time.Millisecond))
		Expect(call).To(BeTrue())
		Expect(behind).To(BeTrue())
	})

	// Two histories of a store, that parted at a copy. Three hosts tell of both in any order;
	// what is believed never goes back, and ends as the store is.
	It("never goes back, and ends with what the store holds", func() {
		for seed := range uint64(2000) {
			playEras(rand.New(rand.NewPCG(seed, 11)), seed)
		}
	})
})

// history is what a store did in an era, and what of it is there.
type history struct {
	era     uint64
	changes []storer.Object // the revision of each is its place, from 1
}

func (h *history) grow(r *rand.Rand, n int) {
	for range n {
		o := object(fmt.Sprint(r.IntN(6)), in(h.era, uint64(len(h.changes)+1)))
		o.Deleted = r.IntN(3) == 0
		h.changes = append(h.changes, o)
	}
}

// restored is the store's next era, from a copy that has so many changes.
func (h *history) restored(kept int) *history {
	next := &history{era: h.era + 1}
	for i, o := range h.changes[:kept] {
		o.Version = in(next.era, uint64(i+1))
		next.changes = append(next.changes, o)
	}
	return next
}

func (h *history) word(after, upto int) relayer.Update {
	return word(in(h.era, uint64(after)), in(h.era, uint64(upto)), h.changes[after:upto]...)
}

// list is all that was there after so many changes.
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

func playEras(r *rand.Rand, seed uint64) {
	first := &history{era: 1}
	first.grow(r, 40)
	second := first.restored(10 + r.IntN(30))
	second.grow(r, 40)
	relay, believed, latest := relayer.New("h", "list"), map[string]storer.Version{}, uint64(0)
	take := func(fresh []storer.Object) {
		for _, o := range fresh {
			Expect(o.Version.Era()).To(BeNumerically(">=", latest), "seed %d", seed)
			latest = o.Version.Era()
			if delete(believed, o.Key); !o.Deleted {
				believed[o.Key] = o.Version
			}
		}
	}
	adopt := func(h *history, upto int) {
		clear(believed)
		take(h.list(upto))
	}
	begin := r.IntN(20)
	relay.Listed(start, in(1, uint64(begin)), first.list(begin))
	adopt(first, begin)
	for range 60 {
		h, from := first, fmt.Sprintf("w-%d", r.IntN(3))
		if r.IntN(2) == 0 {
			h = second
		}
		upto := r.IntN(len(h.changes))
		if r.IntN(6) == 0 {
			if relay.ReceivedList(start, from, in(h.era, uint64(upto)), h.list(upto)) {
				adopt(h, upto)
			}
			continue
		}
		fresh, _ := relay.Received(start, from, h.word(r.IntN(upto+1), upto))
		take(fresh)
	}
	end := len(second.changes)
	after, _, _ := relay.Next(start)
	if after.Era() < second.era {
		relay.Listed(start, in(second.era, uint64(end)), second.list(end))
		adopt(second, end)
	} else {
		take(relay.Watched(start, second.word(int(after.Revision()), end)))
	}
	content := map[string]storer.Version{}
	for _, o := range second.list(end) {
		content[o.Key] = o.Version
	}
	Expect(believed).To(Equal(content), "seed %d", seed)
}
