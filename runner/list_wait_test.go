package runner_test

import (
	"errors"
	"fmt"
	"sync/atomic"
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

var _ = Describe("Who answers over a connection", func() {
	worker := resumer.Worker{Service: "s", Name: "a", Incarnation: "1", Version: "v1"}
	var listed, opened time.Time
	var x runner.Selector

	BeforeEach(func() {
		listed = time.Now()
		opened = listed.Add(500 * time.Millisecond)
		x = runner.NewSelectorOf(listed, loader.Host{Name: "h", Zone: "z"}, nil, func(string, messenger.Message) {})
		x.StoreAnswered(listed, listed, true, relayer.Update{Upto: 3, Changed: []storer.Object{workerEvent(2, "a", "1", "v1"), workerEvent(3, "b", "1", "v2")}})
	})

	It("is the listed worker if the connection was made before the list was read", func() {
		Expect(x.Certain(opened, worker, listed.Add(-time.Second))).To(Receive(BeTrue()))
	})

	// Guards against a restarted worker that a heartbeat of before its restart, which was held up, vouches for.
	It("is not shown by another host's heartbeat, which may be of before the connection", func() {
		answer := x.Certain(opened, worker, opened)
		x.ReceiveList(opened.Add(300*time.Millisecond), "w", messenger.ListUpdate{After: 3, Upto: 3})
		Expect(answer).NotTo(Receive())
	})

	// Guards against a restarted worker that an answer of before its restart, which waited in a socket, vouches for.
	It("is not shown by an answer to a call that was sent before the connection was made", func() {
		answer := x.Certain(opened, worker, opened)
		x.StoreAnswered(opened.Add(300*time.Millisecond), opened.Add(-time.Millisecond), false, relayer.Update{After: 3, Upto: 3})
		Expect(answer).NotTo(Receive())
	})

	// Guards against a list that takes back a worker's restart, as its call was overtaken by one that was sent later.
	It("is not shown by an overtaken list, nor by changes that don't follow it", func() {
		sent := opened.Add(410 * time.Millisecond)
		x.StoreAnswered(sent, sent, false, relayer.Update{After: 3, Upto: 5, Changed: []storer.Object{workerEvent(5, "a", "2", "v3")}})
		x.StoreAnswered(sent.Add(10*time.Millisecond), opened.Add(-time.Millisecond), true, relayer.Update{Upto: 4, Changed: []storer.Object{workerEvent(2, "a", "1", "v1"), workerEvent(3, "b", "1", "v2")}})
		answer := x.Certain(sent.Add(20*time.Millisecond), worker, opened)
		Expect(answer).NotTo(Receive())
		x.StoreAnswered(sent.Add(40*time.Millisecond), sent.Add(30*time.Millisecond), false, relayer.Update{After: 5, Upto: 5})
		Expect(answer).NotTo(Receive())
		x.StoreAnswered(sent.Add(60*time.Millisecond), sent.Add(50*time.Millisecond), false, relayer.Update{After: 4, Upto: 5, Changed: []storer.Object{workerEvent(5, "a", "2", "v3")}})
		Expect(answer).To(Receive(BeFalse()))
	})

	It("is shown by an answer to a call that was sent when the worker had registered", func() {
		answer, gone := x.Certain(opened, worker, opened), x.Certain(opened, resumer.Worker{Service: "s", Name: "b", Incarnation: "1", Version: "v2"}, opened)
		sent := opened.Add(410 * time.Millisecond)
		x.StoreAnswered(sent.Add(-10*time.Millisecond), sent.Add(-20*time.Millisecond), false, relayer.Update{After: 3, Upto: 3})
		Expect(answer).NotTo(Receive(), "its entry may be late")
		x.StoreAnswered(sent.Add(10*time.Millisecond), sent, false, relayer.Update{After: 3, Upto: 4, Changed: []storer.Object{workerEvent(4, "b", "2", "v3")}})
		Expect(answer).To(Receive(BeTrue()))
		Expect(gone).To(Receive(BeFalse()))
	})

	// Guards against streams that wait for a heartbeat, or until they are refused.
	It("is asked of the store once the worker must have registered", func() {
		x.SetListReader(func(after storer.Version) (relayer.Update, error) {
			return relayer.Update{After: after, Upto: after}, nil
		})
		now := time.Now()
		answer := x.Certain(now, worker, now)
		Eventually(func() <-chan bool {
			x.HandlePosted()
			return answer
		}, time.Second, time.Millisecond).Should(Receive(BeTrue()))
	})

	// Guards against a host that the store does not answer and that refuses each stream, though other hosts know the list.
	It("is shown by heartbeats, older ones than usual, while the store does not answer this host", func() {
		x.SetListReader(func(storer.Version) (relayer.Update, error) { return relayer.Update{}, errors.New("no answer") })
		now := time.Now()
		answer := x.Certain(now, worker, now)
		Eventually(func() bool {
			x.HandlePosted()
			return x.StoreFails(now.Add(time.Second))
		}, time.Second, time.Millisecond).Should(BeTrue())
		x.ReceiveList(now.Add(time.Second), "w", messenger.ListUpdate{After: 3, Upto: 3})
		Expect(answer).NotTo(Receive())
		x.ReceiveList(now.Add(1300*time.Millisecond), "w", messenger.ListUpdate{After: 3, Upto: 3})
		Expect(answer).NotTo(Receive())
		x.ReceiveList(now.Add(1600*time.Millisecond), "w", messenger.ListUpdate{After: 3, Upto: 3})
		Expect(answer).To(Receive(BeTrue()))
	})

	// Guards against a host that stood still, or was cut off, and takes its old list of one version for the present.
	It("is not guessed where an old list has one version", func() {
		x = runner.NewSelectorOf(listed, loader.Host{Name: "h", Zone: "z"}, nil, func(string, messenger.Message) {})
		all := relayer.Update{Upto: 3, Changed: []storer.Object{workerEvent(2, "a", "1", "v1"), unnamedStart(3, "b")}}
		x.StoreAnswered(listed, listed, true, all)
		known := listed.Add(time.Minute)
		x.StoreAnswered(known, known, false, relayer.Update{After: 3, Upto: 3})
		x.StoreAnswered(known, known, true, all)
		young, old := known.Add(time.Second), known.Add(time.Minute)
		unnamed := resumer.Worker{Service: "s", Name: "b", Version: "v1"}
		Expect(x.Certain(young, unnamed, young)).To(Receive(BeTrue()), "the list is young")
		Expect(x.Certain(old, unnamed, old)).NotTo(Receive())
		Expect(x.Certain(old, worker, old)).NotTo(Receive())
	})

	// Guards against a host with an old list that believes it, as it takes a store for silent that refuses its calls as too many.
	Context("while the store refuses calls as too many", func() {
		unnamed := resumer.Worker{Service: "s", Name: "b", Version: "v1"}
		now := time.Now()

		BeforeEach(func() {
			now = time.Now()
			then, known := now.Add(-time.Minute), now.Add(-10*time.Second)
			all := relayer.Update{Upto: 3, Changed: []storer.Object{unnamedStart(3, "b")}}
			x = runner.NewSelectorOf(then, loader.Host{Name: "h", Zone: "z"}, nil, func(string, messenger.Message) {})
			x.StoreAnswered(then, then, true, all)
			x.StoreAnswered(known, known, false, relayer.Update{After: 3, Upto: 3})
			x.StoreAnswered(known, known, true, all)
			for at := known; at.Before(now); at = at.Add(200 * time.Millisecond) {
				x.Sweep(at) // it is cut off and does not stand still
			}
		})

		It("is not guessed, other than while it is silent", func() {
			x.StoreThrottled(now)
			Expect(x.Certain(now, unnamed, now)).NotTo(Receive())
			x.StoreFailed(now)
			Expect(x.Certain(now, unnamed, now)).To(Receive(BeTrue()))
		})

		It("is not guessed because a call to confirm the list is refused", func() {
			var calls atomic.Int64
			x.SetListReader(func(storer.Version) (relayer.Update, error) {
				calls.Add(1)
				return relayer.Update{}, fmt.Errorf("%w: %w", storer.ErrUnavailable, storer.ErrThrottled)
			})
			x.TakeUp(now, resumer.TakenUp{Stream: resumer.KeyOf("o", "try-1"), Services: []string{"s"}})
			answer := x.Certain(now, unnamed, now)
			Eventually(func() int64 {
				x.HandlePosted()
				return calls.Load()
			}, time.Second, time.Millisecond).Should(BeNumerically(">", 1))
			Expect(answer).NotTo(Receive())
			Expect(x.Certain(now, unnamed, now)).NotTo(Receive())
		})
	})

	// Guards against the first worker of a second version, which starts again under its name and registers later.
	It("is guessed by a young list of one version only where workers don't start again under their names", func() {
		x = runner.NewSelectorOf(listed, loader.Host{Name: "h", Zone: "z"}, nil, func(string, messenger.Message) {})
		all := relayer.Update{Upto: 3, Changed: []storer.Object{workerEvent(2, "a", "1", "v1"), unnamedStart(3, "b")}}
		x.StoreAnswered(listed, listed, true, all)
		known := listed.Add(time.Minute)
		x.StoreAnswered(known, known, false, relayer.Update{After: 3, Upto: 3})
		x.StoreAnswered(known, known, true, all)
		now := known.Add(time.Second)
		Expect(x.Certain(now, resumer.Worker{Service: "s", Name: "b", Version: "v1"}, now)).To(Receive(BeTrue()))
		Expect(x.Certain(now, worker, now)).NotTo(Receive())
		Expect(x.Certain(now, worker, known.Add(-time.Second))).To(Receive(BeTrue()), "its connection is older than the list")
	})

	// Guards against sound answers that are broken off at their end in a large fleet, as the call that would show it is
	// put off, for the store's rate of calls, until nobody waits any more.
	DescribeTable("is asked of the store in time for each answer that ends with its connection", func(hosts int) {
		var records []registrar.Record
		for i := range hosts {
			name := fmt.Sprintf("h-%03d", i)
			records = append(records, registrar.Record{Name: name, Control: name, Incarnation: 1})
		}
		x.SetRoster(time.Now(), registrar.NewRoster(records...))
		x.SetListReader(func(after storer.Version) (relayer.Update, error) {
			return relayer.Update{After: after, Upto: after}, nil
		})
		ask := func() <-chan bool {
			now := time.Now()
			return x.ReplacedBy(now, worker, router.Confirmation{Since: now})
		}
		first := ask()
		time.Sleep(50 * time.Millisecond)
		second := ask()
		for _, answer := range []<-chan bool{first, second} {
			Eventually(func() <-chan bool {
				x.HandlePosted()
				x.Sweep(time.Now())
				return answer
			}, 2*time.Second, 20*time.Millisecond).Should(Receive(BeFalse()))
		}
	},
		Entry("9 hosts", 9),
		Entry("84 hosts", 84),
		Entry("360 hosts", 360),
	)

	// Guards against streams of the only version that go on nowhere while the store is down.
	It("is the listed worker of the only version while the store does not answer, though it may start again under its name", func() {
		x = runner.NewSelectorOf(listed, loader.Host{Name: "h", Zone: "z"}, nil, func(string, messenger.Message) {})
		all := relayer.Update{Upto: 2, Changed: []storer.Object{workerEvent(2, "a", "1", "v1")}}
		x.StoreAnswered(listed, listed, true, all)
		known := listed.Add(time.Minute)
		x.StoreAnswered(known, known, false, relayer.Update{After: 2, Upto: 2})
		x.StoreAnswered(known, known, true, all)
		now := known.Add(500 * time.Millisecond)
		Expect(x.Certain(now, worker, now)).NotTo(Receive())
		x.StoreFailed(now)
		Expect(x.Certain(now, worker, now)).To(Receive(BeTrue()))
	})

	// Guards against a large fleet that spends the store's rate of calls on certainty while two versions serve.
	It("is asked of the store by all hosts together at a quarter of its 2,000 reads a second at most", func() {
		for _, hosts := range []int{2, 9, 84, 195, 360} {
			Expect(float64(hosts)/runner.CertaintyInterval(hosts).Seconds()).To(BeNumerically("<=", 500), "%d hosts", hosts)
		}
	})
})
