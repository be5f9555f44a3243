package relayer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/storer"
)

var start = time.Unix(1000, 0)

func object(key string, version storer.Version) storer.Object {
	return storer.Object{Key: key, Version: version}
}

func deleted(key string, version storer.Version) storer.Object {
	return storer.Object{Key: key, Version: version, Deleted: true}
}

func update(after, upto storer.Version, changed ...storer.Object) relayer.Update {
	return relayer.Update{After: after, Upto: upto, Changed: changed}
}

// rosterOf returns a roster of n hosts.
func rosterOf(n int) registrar.Roster {
	var hosts []registrar.Record
	for i := range n {
		hosts = append(hosts, registrar.Record{Name: fmt.Sprintf("h-%02d", i)})
	}
	return registrar.NewRoster(hosts...)
}

// follower returns the relay of a host that does not watch, with a list at revision 10.
func follower(objects ...storer.Object) *relayer.Relay {
	for i := range 74 {
		r := relayer.New(fmt.Sprintf("h-%02d", i), "list")
		r.SetHosts(rosterOf(74))
		if !r.Watching() {
			r.Listed(start, 10, objects)
			return r
		}
	}
	panic("every host watches")
}

var _ = Describe("Relay", func() {
	It("makes a few of many hosts watch, and a host that is alone", func() {
		watching := 0
		for i := range 74 {
			r := relayer.New(fmt.Sprintf("h-%02d", i), "list")
			Expect(r.Watching()).To(BeTrue())
			r.SetHosts(rosterOf(74))
			if r.Watching() {
				watching++
			}
		}
		Expect(watching).To(And(BeNumerically(">=", 1), BeNumerically("<=", 3)))
		alone := relayer.New("h-00", "list")
		alone.SetHosts(rosterOf(1))
		Expect(alone.Watching()).To(BeTrue())
	})

	It("applies each change once, whichever host sends it and however often", func() {
		r := follower()
		fresh, complete := r.Received(start, "w-1", update(10, 12, object("a", 11), object("b", 12)))
		Expect(complete).To(BeTrue())
		Expect(fresh).To(HaveLen(2))
		fresh, complete = r.Received(start, "w-1", update(9, 13, object("a", 11), object("b", 12), object("c", 13)))
		Expect(complete).To(BeTrue())
		Expect(fresh).To(ConsistOf(object("c", 13)))
	})

	// Guards against updates stopping when all watchers fail together or are cut off from the
	// store: until then requests would be sent to workers that have left.
	It("has a host call the store itself once no watcher sends updates", func() {
		r := follower()
		r.Received(start, "w-1", update(10, 10))
		_, call, _ := r.Next(start.Add(1100 * time.Millisecond))
		Expect(call).To(BeFalse())
		after, call, behind := r.Next(start.Add(1300 * time.Millisecond))
		Expect(call).To(BeTrue())
		Expect(behind).To(BeFalse())
		Expect(after).To(BeEquivalentTo(10))
		r.Received(start.Add(1700*time.Millisecond), "w-1", update(10, 10))
		_, call, _ = r.Next(start.Add(1800 * time.Millisecond))
		Expect(call).To(BeFalse())
	})

	// Guards against every host watching when all hosts start together.
	It("has a host that joins wait for the other hosts before it watches", func() {
		r := relayer.New("h-00", "list")
		due := func(after time.Duration) bool {
			_, call, _ := r.Next(start.Add(after))
			return call
		}
		Expect(due(0)).To(BeTrue(), "nothing was listed")
		r.Listed(start, 10, nil)
		Expect(due(400 * time.Millisecond)).To(BeFalse())
		Expect(due(500*time.Millisecond)).To(BeTrue(), "it is alone")
		other := follower()
		_, call, _ := other.Next(start.Add(1100 * time.Millisecond))
		Expect(call).To(BeFalse())
		_, call, _ = other.Next(start.Add(1200 * time.Millisecond))
		Expect(call).To(BeTrue(), "no watcher sent anything")
	})

	// Guards against a revoked key staying in use while no host reads the store: the store
	// leaves just the watchers without an answer, and they report that one by one.
	It("has a host call the store itself once the store answers no watcher", func() {
		r := follower()
		for _, w := range []string{"w-1", "w-2", "w-3"} {
			r.Received(start, w, update(10, 10))
		}
		calls := func(after time.Duration) bool {
			_, call, _ := r.Next(start.Add(after))
			return call
		}
		r.WatcherLost("w-1")
		r.WatcherLost("w-2")
		Expect(calls(100 * time.Millisecond)).To(BeFalse())
		r.WatcherLost("w-3")
		Expect(calls(100 * time.Millisecond)).To(BeTrue())
	})

	It("does not count on a watcher that has left the roster", func() {
		r := follower()
		r.Received(start, "gone", update(10, 10))
		_, call, _ := r.Next(start)
		Expect(call).To(BeFalse())
		r.SetHosts(rosterOf(74))
		_, call, _ = r.Next(start)
		Expect(call).To(BeTrue())
	})

	// Guards against a later update hiding a change that was lost with its connection.
	It("rejects updates after a gap, and has the host request what is missing", func() {
		r := follower()
		r.Received(start, "w-1", update(10, 10))
		fresh, complete := r.Received(start, "w-1", update(14, 15, object("c", 15)))
		Expect(complete).To(BeFalse())
		Expect(fresh).To(BeEmpty())
		_, call, _ := r.Next(start.Add(10 * time.Millisecond))
		Expect(call).To(BeFalse(), "the update may be on its way")
		after, call, behind := r.Next(start.Add(60 * time.Millisecond))
		Expect(call).To(BeTrue())
		Expect(behind).To(BeTrue())
		Expect(after).To(BeEquivalentTo(10))
		Expect(r.Watched(start.Add(70*time.Millisecond), update(10, 16, deleted("b", 12), object("c", 15)))).To(HaveLen(2))
		_, call, _ = r.Next(start.Add(200 * time.Millisecond))
		Expect(call).To(BeFalse())
	})

	// Guards against a watcher that was frozen for seconds sending an entry of a worker that has
	// left since: requests would go to the process that has its address now.
	It("does not restore a deleted object by a late update", func() {
		r := follower(object("a", 5))
		r.Received(start, "w-1", update(10, 12, object("a", 11)))
		fresh, _ := r.Received(start, "w-1", update(12, 13, deleted("a", 11)))
		Expect(fresh).To(HaveLen(1))
		fresh, _ = r.Received(start, "w-1", update(10, 11, object("a", 11)))
		Expect(fresh).To(BeEmpty())
		r.Listed(start, 20, nil)
		fresh, _ = r.Received(start, "w-1", update(10, 19, object("b", 18)))
		Expect(fresh).To(BeEmpty(), "the list at 20 has no b")
		fresh, _ = r.Received(start, "w-1", update(20, 22, object("a", 22)))
		Expect(fresh).To(HaveLen(1), "registered again")
		fresh, _ = r.Received(start, "w-1", update(11, 13, deleted("a", 11)))
		Expect(fresh).To(BeEmpty())
	})

	It("requests again what updates contained while an older list was on its way", func() {
		r := follower(object("a", 5))
		r.Received(start, "w-1", update(10, 15, deleted("a", 14)))
		r.Listed(start, 12, []storer.Object{object("a", 5)})
		r.Received(start, "w-1", update(15, 15))
		after, call, behind := r.Next(start.Add(100 * time.Millisecond))
		Expect(call && behind).To(BeTrue())
		Expect(after).To(BeEquivalentTo(12))
	})

	It("has a watcher send heartbeats only while the store answers it", func() {
		r := relayer.New("h-00", "list")
		_, ok := r.Heartbeat(start)
		Expect(ok).To(BeFalse())
		r.Listed(start, 10, nil)
		w, ok := r.Heartbeat(start.Add(time.Second))
		Expect(ok).To(BeTrue())
		Expect(w).To(Equal(update(10, 10)))
		_, ok = r.Heartbeat(start.Add(1200 * time.Millisecond))
		Expect(ok).To(BeFalse())
		r.Listed(start, 10, nil)
		r.Failed()
		_, ok = r.Heartbeat(start)
		Expect(ok).To(BeFalse())
	})

	// Updates of three watchers arrive in any order, twice or not at all, between lists of any
	// age. Once the host has caught up, it must have the contents of the store.
	It("ends with the contents of the store, in whatever order updates and lists arrive", func() {
		for seed := range uint64(2000) {
			simulate(rand.New(rand.NewPCG(seed, 7)), seed)
		}
	})
})

// simulate changes a store at random, and sends updates of three watchers to one host out of
// order and incompletely.
func simulate(r *rand.Rand, seed uint64) {
	type change = storer.Object
	var history []change
	content := map[string]storer.Version{}
	between := func(after, upto storer.Version) []change { return history[after:upto] }
	for range 60 {
		key, version := fmt.Sprint(r.IntN(6)), storer.Version(len(history)+1)
		if known, ok := content[key]; ok && r.IntN(2) == 0 {
			delete(content, key)
			if r.IntN(2) == 0 {
				version = known // some stores give a deletion the version of the deleted object
			}
			history = append(history, deleted(key, version))
			continue
		}
		content[key] = version
		history = append(history, object(key, version))
	}
	list := func(upto storer.Version) []change {
		at := map[string]change{}
		for _, c := range history[:upto] {
			if delete(at, c.Key); !c.Deleted {
				at[c.Key] = c
			}
		}
		var all []change
		for _, c := range at {
			all = append(all, c)
		}
		return all
	}
	relay, applied := relayer.New("h", "list"), map[string]storer.Version{}
	applyChanges := func(fresh []change) {
		for _, c := range fresh {
			if delete(applied, c.Key); !c.Deleted {
				applied[c.Key] = c.Version
			}
		}
	}
	relist := func(upto storer.Version) {
		relay.Listed(start, upto, list(upto))
		clear(applied)
		applyChanges(list(upto))
	}
	end := storer.Version(len(history))
	relist(storer.Version(r.IntN(10)))
	for range 80 {
		after := storer.Version(r.IntN(int(end)))
		upto := after + storer.Version(r.IntN(int(end-after)+1))
		switch fresh, _ := relay.Received(start, "w-1", update(after, upto, between(after, upto)...)); r.IntN(20) {
		case 0:
			applyChanges(fresh)
			relist(storer.Version(r.IntN(int(end))))
		default:
			applyChanges(fresh)
		}
	}
	after, _, _ := relay.Next(start)
	applyChanges(relay.Watched(start, update(after, end, between(after, end)...)))
	Expect(applied).To(Equal(content), "seed %d", seed)
}
