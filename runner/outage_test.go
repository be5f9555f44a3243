package runner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/runner"
	"github.com/cicadawood/cicadawood/storer"
)

var _ = Describe("A worker whose entry is missing after a failed call of the store", func() {
	start := time.Unix(1000, 0)
	all := relayer.Update{Upto: 2, Changed: []storer.Object{workerEvent(2, "a", "1", "v1")}}
	var x runner.Selector
	placed := func(now time.Time) bool {
		_, ok := x.Place(now, placer.Request{Service: "s", Zone: "z", Left: time.Second})
		return ok
	}

	BeforeEach(func() {
		x = runner.NewSelectorOf(start, loader.Host{Name: "h", Zone: "z"}, nil, func(string, messenger.Message) {})
		x.StoreAnswered(start, start, true, all)
		Expect(placed(start)).To(BeTrue())
	})

	// Guards against requests to a worker that left (DRAIN), as one call failed and the store's last change is long ago.
	DescribeTable("gets requests only if it can have expired since the store's last answer", func(down time.Duration, want bool) {
		answered := start.Add(time.Minute)
		x.StoreAnswered(answered, answered, false, relayer.Update{After: 2, Upto: 2})
		x.StoreFailed(answered.Add(100 * time.Millisecond))
		now := answered.Add(down)
		x.StoreAnswered(now, now, true, relayer.Update{Upto: 3})
		Expect(placed(now)).To(Equal(want))
	},
		Entry("the call after it was answered", 400*time.Millisecond, false),
		Entry("calls failed for longer than entries take to expire", 1100*time.Millisecond, true),
	)

	// Guards against the same for an outage of long ago, after which the store has answered without changes.
	It("gets none by an earlier outage", func() {
		x.StoreFailed(start.Add(2 * time.Second))
		back := start.Add(4 * time.Second)
		x.StoreAnswered(back, back, true, all)
		answered := start.Add(time.Minute)
		x.StoreAnswered(answered, answered, false, relayer.Update{After: 2, Upto: 2})
		x.StoreFailed(answered.Add(100 * time.Millisecond))
		now := answered.Add(400 * time.Millisecond)
		x.StoreAnswered(now, now, true, relayer.Update{Upto: 3})
		Expect(placed(now)).To(BeFalse())
	})

	// Guards against a service that is refused after an outage which began before the answer that a watcher passed on.
	It("gets requests if only other hosts heard of the store within the time in which it can have expired", func() {
		told := start.Add(time.Minute)
		x.ReceiveList(told, "w", messenger.ListUpdate{After: 2, Upto: 2})
		x.ReceiveList(told.Add(100*time.Millisecond), "w", messenger.ListUpdate{StoreDown: true})
		x.StoreFailed(told.Add(200 * time.Millisecond))
		now := told.Add(400 * time.Millisecond)
		x.StoreAnswered(now, now, true, relayer.Update{Upto: 3})
		Expect(placed(now)).To(BeTrue())
	})

	// Guards against a service that is refused, as an answer of before the outage was read after a standstill.
	It("gets requests if the last answer waited while the host stood still", func() {
		asked := start.Add(time.Minute)
		x.StoreAnswered(asked, asked, false, relayer.Update{After: 2, Upto: 2})
		woke := asked.Add(4 * time.Second)
		x.StoreAnswered(woke, asked, false, relayer.Update{After: 2, Upto: 2})
		x.StoreFailed(woke.Add(100 * time.Millisecond))
		now := woke.Add(400 * time.Millisecond)
		x.StoreAnswered(now, now, true, relayer.Update{Upto: 3})
		Expect(placed(now)).To(BeTrue())
	})
})
