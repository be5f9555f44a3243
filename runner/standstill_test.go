package runner_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/resumer"
	"github.com/cicadawood/cicadawood/router"
	"github.com/cicadawood/cicadawood/runner"
	"github.com/cicadawood/cicadawood/storer"
)

var _ = Describe("A host that stood still", func() {
	worker := resumer.Worker{Service: "s", Name: "a", Incarnation: "1", Version: "v1"}
	all := relayer.Update{Upto: 2, Changed: []storer.Object{workerEvent(2, "a", "1", "v1")}}
	start := time.Unix(1000, 0)
	known := start.Add(time.Minute)
	var x runner.Selector
	var suspended time.Duration

	BeforeEach(func() {
		suspended = 0
		x = runner.NewSelectorOf(start, loader.Host{Name: "h", Zone: "z"}, nil, func(string, messenger.Message) {})
		x.SetBootTime(func() time.Duration { return suspended })
		x.StoreAnswered(start, start, true, all)
		x.StoreAnswered(known, known, false, relayer.Update{After: 2, Upto: 2})
		x.StoreAnswered(known, known, true, all)
		Expect(x.Certain(known, worker, known.Add(-time.Second))).To(Receive(BeTrue()))
	})

	// Guards against a busy host that takes its own pauses for standstills.
	DescribeTable("is one whose clocks show it", func(steady, boot, want time.Duration) {
		Expect(runner.StoodStill(steady, boot)).To(Equal(want))
	},
		Entry("a pause between two sweeps", 300*time.Millisecond, 300*time.Millisecond, time.Duration(0)),
		Entry("a busy machine", time.Second, time.Second, time.Duration(0)),
		Entry("a process that was stopped", 3*time.Second, 3*time.Second, 3*time.Second),
		Entry("a suspended machine", 200*time.Millisecond, 3*time.Second, 3*time.Second),
		Entry("a machine without that clock", 3*time.Second, time.Duration(0), 3*time.Second),
	)

	// Guards against an old list that counts as the present one, by heartbeats that waited in a socket.
	It("believes no heartbeat and no answer to a call of before, until the store answered", func() {
		now := known.Add(4 * time.Second)
		x.ReceiveList(now, "w", messenger.ListUpdate{After: 2, Upto: 2})
		x.StoreAnswered(now, known.Add(100*time.Millisecond), false, relayer.Update{After: 2, Upto: 2})
		Expect(x.Fresh(now, "s")).To(BeFalse())
		answer := x.Certain(now, worker, now)
		Expect(answer).NotTo(Receive())
		x.StoreAnswered(now.Add(10*time.Millisecond), now, false, relayer.Update{After: 2, Upto: 2})
		Expect(x.Fresh(now.Add(10*time.Millisecond), "s")).To(BeTrue())
		x.StoreAnswered(now.Add(420*time.Millisecond), now.Add(410*time.Millisecond), false, relayer.Update{After: 2, Upto: 2})
		Expect(answer).To(Receive(BeTrue()))
	})

	// Guards against a suspended machine, whose steady clock stands still too.
	It("believes no list of before its machine was suspended", func() {
		now := known.Add(100 * time.Millisecond)
		suspended = 4 * time.Second
		x.ReceiveList(now, "w", messenger.ListUpdate{After: 2, Upto: 2})
		Expect(x.Fresh(now, "s")).To(BeFalse())
		Expect(x.Certain(now, worker, now)).NotTo(Receive())
	})

	// Guards against a watcher that vouches for a list of before it stood still, to hosts that don't read the store.
	It("tells other hosts that its list is current only once the store answered", func() {
		var sent []messenger.ListUpdate
		x = runner.NewSelectorOf(start, loader.Host{Name: "h", Zone: "z"}, nil, func(_ string, m messenger.Message) {
			if u, ok := m.(messenger.ListUpdate); ok {
				sent = append(sent, u)
			}
		})
		x.SetBootTime(func() time.Duration { return suspended })
		x.SetRoster(start, registrar.NewRoster(registrar.Record{Name: "h", Control: "h", Incarnation: 1}, registrar.Record{Name: "w", Control: "w", Incarnation: 1}))
		x.StoreAnswered(start, start, true, all)
		x.Sweep(start)
		Expect(sent).To(HaveExactElements(HaveField("StoreDown", false)))
		sent, suspended = nil, 4*time.Second
		now := start.Add(500 * time.Millisecond)
		x.Sweep(now)
		Expect(sent).To(HaveExactElements(HaveField("StoreDown", true)))
		sent = nil
		x.StoreAnswered(now.Add(10*time.Millisecond), now, false, relayer.Update{After: 2, Upto: 2})
		x.Sweep(now.Add(200 * time.Millisecond))
		Expect(sent).To(HaveExactElements(HaveField("StoreDown", false)))
	})

	// Guards against half an answer that counts as whole, as its worker started again while the host stood still.
	It("waits for the store to say whether a worker has started again, and not where the list says so or it runs", func() {
		until := known.Add(time.Hour)
		Expect(x.Replaced(known, worker, until)).To(Receive(BeFalse()))
		Expect(x.Replaced(known, resumer.Worker{Service: "s", Name: "a", Incarnation: "0", Version: "v1"}, until)).To(Receive(BeTrue()))
		now := known.Add(4 * time.Second)
		restarted, bounded := x.Replaced(now, worker, until), x.Replaced(now, worker, now.Add(100*time.Millisecond))
		x.Sweep(now.Add(50 * time.Millisecond))
		Expect(restarted).NotTo(Receive())
		Expect(bounded).NotTo(Receive())
		x.Sweep(now.Add(200 * time.Millisecond))
		Expect(bounded).To(Receive(BeFalse()), "nobody says so in time")
		x.StoreAnswered(now.Add(210*time.Millisecond), now.Add(200*time.Millisecond), false, relayer.Update{After: 2, Upto: 3, Changed: []storer.Object{workerEvent(3, "a", "2", "v1")}})
		Expect(restarted).To(Receive(BeTrue()))
	})

	// Guards against half an answer that counts as whole, as the start of its worker that answers has not registered yet.
	It("waits for a list that has the start of a worker that runs since the answer began", func() {
		earlier := x.ReplacedBy(known, worker, router.Confirmation{Since: known.Add(-time.Second)})
		Expect(earlier).To(Receive(BeFalse()))
		unnamed := resumer.Worker{Service: "s", Name: "unlisted", Version: "v1"}
		Expect(x.ReplacedBy(known, unnamed, router.Confirmation{Since: known})).To(Receive(BeFalse()), "its starts have names of their own")
		restarted, silent := x.ReplacedBy(known, worker, router.Confirmation{Since: known}), x.ReplacedBy(known, worker, router.Confirmation{Since: known.Add(300 * time.Millisecond)})
		x.StoreAnswered(known.Add(200*time.Millisecond), known.Add(200*time.Millisecond), false, relayer.Update{After: 2, Upto: 2})
		Expect(restarted).NotTo(Receive(), "its entry is not due")
		x.StoreAnswered(known.Add(420*time.Millisecond), known.Add(410*time.Millisecond), false, relayer.Update{After: 2, Upto: 2})
		Expect(restarted).To(Receive(BeFalse()))
		Expect(silent).NotTo(Receive())
		x.StoreAnswered(known.Add(720*time.Millisecond), known.Add(710*time.Millisecond), false, relayer.Update{After: 2, Upto: 3, Changed: []storer.Object{workerEvent(3, "a", "2", "v1")}})
		Expect(silent).To(Receive(BeTrue()))
	})

	// Guards against half an answer that counts as whole, as the store does not say that its worker started again.
	It("takes an answer for whole while no list is read only if who confirms it began it", func() {
		by := router.Confirmation{Since: known}
		unknown := x.ReplacedBy(known, worker, by)
		by.FromStart = true
		same := x.ReplacedBy(known, worker, by)
		x.Sweep(known.Add(2 * time.Second))
		Expect(unknown).To(Receive(BeTrue()))
		Expect(same).To(Receive(BeFalse()))
	})

	// Guards against half an answer that counts as whole, as the time of its request ends before the list shows that its
	// worker started again.
	It("takes no answer for whole whose time ends while the list is awaited", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		Expect(x.ReplacedWithin(ctx, worker, router.Confirmation{Since: time.Now()})).To(BeTrue())
	})

	// Guards against half an answer that counts as whole, and an old list that counts as the present one, as a call of before ran out of time.
	It("does not take the store for silent by a call of before", func() {
		x.StoreAnswered(known, known, false, relayer.Update{After: 2, Upto: 4, Changed: []storer.Object{unnamedStart(4, "u")}})
		unnamed := resumer.Worker{Service: "s", Name: "u", Version: "v1"}
		now := known.Add(4 * time.Second)
		x.StoreFailedSince(now, known.Add(100*time.Millisecond))
		Expect(x.StoreFails(now)).To(BeFalse())
		certain, restarted := x.Certain(now, unnamed, now), x.Replaced(now, worker, now.Add(400*time.Millisecond))
		Expect(certain).NotTo(Receive())
		Expect(restarted).NotTo(Receive())
		x.StoreFailedSince(now.Add(20*time.Millisecond), now.Add(10*time.Millisecond))
		Expect(x.StoreFails(now.Add(20 * time.Millisecond))).To(BeTrue())
		x.Sweep(now.Add(30 * time.Millisecond))
		Expect(restarted).To(Receive(BeFalse()), "nobody can say so")
		Expect(certain).NotTo(Receive())
	})

	// Guards against a host that the store does not answer and that believes nobody for good.
	It("believes heartbeats again after a time in which it has read all that waited", func() {
		now := known.Add(4 * time.Second)
		x.ReceiveList(now, "w", messenger.ListUpdate{After: 2, Upto: 2})
		Expect(x.Fresh(now, "s")).To(BeFalse())
		for range 30 {
			now = now.Add(200 * time.Millisecond)
			x.ReceiveList(now, "w", messenger.ListUpdate{After: 2, Upto: 2})
		}
		Expect(x.Fresh(now, "s")).To(BeTrue())
	})
})
