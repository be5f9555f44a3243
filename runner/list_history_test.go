package runner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/runner"
	"github.com/cicadawood/cicadawood/storer"
)

// unnamedStart is the entry of a worker of version v1 that does not state its start.
func unnamedStart(at storer.Version, name string) storer.Object {
	value := `{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","version":"v1"}`
	return storer.Object{Key: platform.WorkersPrefix + name, Value: []byte(value), Version: at}
}

// workerEvent is the event of a store in which a worker's entry was written.
func workerEvent(at storer.Version, name, incarnation, version string) storer.Object {
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","born":%s,"version":%q}`, incarnation, version)
	return storer.Object{Key: platform.WorkersPrefix + name, Value: []byte(value), Version: at}
}

// removalEvent is the event of a store in which a worker's entry was removed.
func removalEvent(at storer.Version, name string) storer.Object {
	return storer.Object{Key: platform.WorkersPrefix + name, Version: at, Deleted: true}
}

var _ = Describe("The history of a host's list of workers", func() {
	now := time.Unix(1000, 0)
	first, second := []storer.Object{workerEvent(2, "a", "1", "v1")}, []storer.Object{
		workerEvent(3, "b", "1", "v2"), removalEvent(4, "b"),
		workerEvent(5, "a", "2", "v3"), workerEvent(6, "a", "3", "v1"),
	}
	newHost := func() runner.Selector {
		x := runner.NewSelectorOf(now, loader.Host{Name: "h", Zone: "z"}, nil, func(string, messenger.Message) {})
		x.StoreAnswered(now, now, true, relayer.Update{Upto: 2, Changed: first})
		Expect(x.Software(now, "s")).To(ConsistOf("version v1"))
		return x
	}

	// Guards against a version that came and went within one answer of a watch and that no host knows of.
	It("has each version in an answer of the store", func() {
		x := newHost()
		x.StoreAnswered(now, now, false, relayer.Update{After: 2, Upto: 6, Changed: second})
		Expect(x.Software(now, "s")).To(ConsistOf("version v1", "version v2", "version v3"))
	})

	// Guards against a version that came and went before a list that was read anew, and whose changes are gone.
	DescribeTable("is complete over a list that was read anew", func(after time.Duration, complete bool) {
		x := newHost()
		at := now.Add(time.Minute)
		x.StoreAnswered(at, at, false, relayer.Update{After: 2, Upto: 2})
		at = at.Add(after)
		x.StoreAnswered(at, at, true, relayer.Update{Upto: 6, Changed: first})
		Expect(x.Complete(at, "s")).To(Equal(complete))
	},
		Entry("at once, as the store dropped its history", 2*time.Second, true),
		Entry("after the host stood still, or was cut off", 4*time.Second, false),
	)

	// Guards against a version that came and went while a host was cut off, as a heartbeat of before, which the network
	// held up and delivers as the links are back, makes its list count as young just before the list is read anew.
	DescribeTable("is not complete over a list that was read anew after a cut, by a heartbeat that was held up", func(told bool) {
		x := newHost()
		at := now.Add(time.Minute)
		x.Sweep(at)
		x.StoreAnswered(at.Add(100*time.Millisecond), at, false, relayer.Update{After: 2, Upto: 2})
		x.StoreAnswered(at.Add(100*time.Millisecond), at.Add(100*time.Millisecond), true, relayer.Update{Upto: 2, Changed: first})
		for range 30 {
			at = at.Add(200 * time.Millisecond)
			x.Sweep(at) // it is cut off and does not stand still
		}
		x.ReceiveList(at, "w", messenger.ListUpdate{After: 2, Upto: 2})
		at = at.Add(100 * time.Millisecond)
		if told {
			restored := workerEvent(storer.NewVersion(1, 2), "a", "1", "v1")
			x.Receive(at, "w-2", messenger.ListSnapshot{Upto: uint64(restored.Version), All: []messenger.Change{{Key: restored.Key, Value: restored.Value, Version: uint64(restored.Version)}}})
		} else {
			x.StoreAnswered(at, at, true, relayer.Update{Upto: 6, Changed: first})
		}
		Expect(x.Software(at, "s")).To(ConsistOf("version v1"))
		Expect(x.Complete(at, "s")).To(BeFalse())
	},
		Entry("read from the store, whose changes are gone", false),
		Entry("told by another host after a restore", true),
	)

	// Guards against a version that came and went unseen before the store was restored from an older snapshot, whose list lacks it.
	DescribeTable("is complete over a list of a store that was restored", func(after time.Duration, told, complete bool) {
		x := newHost()
		at := now.Add(time.Minute)
		x.StoreAnswered(at, at, false, relayer.Update{After: 2, Upto: 2})
		at = at.Add(after)
		restored := workerEvent(storer.NewVersion(1, 2), "a", "1", "v1")
		if told {
			x.Receive(at, "w", messenger.ListSnapshot{Upto: uint64(restored.Version), All: []messenger.Change{{Key: restored.Key, Value: restored.Value, Version: uint64(restored.Version)}}})
		} else {
			x.StoreAnswered(at, at, true, relayer.Update{Upto: restored.Version, Changed: []storer.Object{restored}})
		}
		Expect(x.Software(at, "s")).To(ConsistOf("version v1"))
		Expect(x.Complete(at, "s")).To(Equal(complete))
	},
		Entry("read soon after the last one", 2*time.Second, false, true),
		Entry("told by another host soon after the last one", 2*time.Second, true, true),
		Entry("read after the host stood still, or was cut off", 4*time.Second, false, false),
		Entry("told by another host after this one stood still, or was cut off", 4*time.Second, true, false),
	)

	// Guards against a version that came and went within one update that other hosts pass on.
	It("has each version in another host's update", func() {
		x := newHost()
		u := messenger.ListUpdate{After: 2, Upto: 6}
		for _, o := range second {
			u.Changed = append(u.Changed, messenger.Change{Key: o.Key, Value: o.Value, Version: uint64(o.Version), Deleted: o.Deleted})
		}
		x.Receive(now, "w", u)
		Expect(x.Software(now, "s")).To(ConsistOf("version v1", "version v2", "version v3"))
	})
})
