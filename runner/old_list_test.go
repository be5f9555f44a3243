package runner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/resumer"
	"github.com/cicadawood/cicadawood/runner"
	"github.com/cicadawood/cicadawood/storer"
)

var _ = Describe("A host with an old list of one version", func() {
	worker := resumer.Worker{Service: "s", Name: "a", Incarnation: "1", Version: "v1"}
	stream := resumer.TakenUp{Stream: resumer.KeyOf("o", "try-1"), Services: []string{"s"}}
	listed := time.Now()
	now := listed.Add(time.Minute)
	version := func(era, revision uint64) storer.Version { return storer.NewVersion(era, revision) }
	var x runner.Selector
	var sent []messenger.Message

	BeforeEach(func() {
		x = runner.NewSelectorOf(listed, loader.Host{Name: "h", Zone: "z"}, nil, func(_ string, m messenger.Message) { sent = append(sent, m) })
		sent = nil
		x.StoreAnswered(listed, listed, true, relayer.Update{Upto: version(0, 2), Changed: []storer.Object{workerEvent(2, "a", "1", "v1")}})
		x.StoreAnswered(now.Add(-10*time.Second), now.Add(-10*time.Second), true, relayer.Update{Upto: 2, Changed: []storer.Object{workerEvent(2, "a", "1", "v1")}})
		Expect(x.Certain(now, worker, now)).NotTo(Receive())
	})

	// Guards against a version that came and went between two lists, of which the second one shows nothing.
	It("does not let a stream that nobody knows go on by a list after which it does not know what came before", func() {
		x.StoreAnswered(now, now, true, relayer.Update{Upto: 9, Changed: []storer.Object{workerEvent(2, "a", "1", "v1")}})
		answer := x.TakeUp(now, stream)
		x.StoreAnswered(now.Add(time.Millisecond), now, false, relayer.Update{After: 9, Upto: 9})
		Expect(answer).To(Receive(HaveField("Result", resumer.Unknown)))
	})

	// Guards against an answer of before the store was restored, whose workers are dropped but which counts as a current list.
	It("does not take an answer that it can't apply for a current list", func() {
		answer := x.TakeUp(now, stream)
		x.Receive(now, "w", messenger.ListSnapshot{Upto: uint64(version(1, 2)), All: []messenger.Change{{Key: workerEvent(2, "a", "1", "v1").Key, Value: workerEvent(2, "a", "1", "v1").Value, Version: uint64(version(1, 2))}}})
		x.StoreAnswered(now.Add(time.Millisecond), now, false, relayer.Update{After: 2, Upto: 3, Changed: []storer.Object{workerEvent(3, "b", "1", "v2")}})
		Expect(answer).NotTo(Receive(HaveField("Result", resumer.OneVersion)))
	})

	// Guards against a heartbeat of before the host stood still, which waited in a socket and makes its list look young.
	It("does not believe it by a heartbeat that may have waited", func() {
		x.Receive(now, "w", messenger.ListUpdate{After: 2, Upto: 2})
		Expect(x.Certain(now, worker, now)).NotTo(Receive())
	})

	// Guards against a call that ran out of time while the host stood still, and that makes it believe its old list.
	It("does not believe it as soon as one call of before got no answer", func() {
		x.StoreFailed(now)
		Expect(x.Certain(now, worker, now)).NotTo(Receive())
	})

	// Guards against a refusal for good at a host whose list is of before the version joined that began the stream.
	It("does not refuse for good a stream of a version that a current list would show", func() {
		answer := x.Ask(now, placer.Request{Service: "s", Zone: "z", Left: 3 * time.Second, Resumed: true, Bound: &resumer.Worker{Service: "s", Name: "b", Incarnation: "1", Version: "v2"}})
		Consistently(answer, "50ms").ShouldNot(Receive())
		x.StoreAnswered(now, now, false, relayer.Update{After: 2, Upto: 3, Changed: []storer.Object{workerEvent(3, "b", "1", "v2")}})
		Eventually(answer).Should(Receive(Equal("b by ")))
	})

	// Guards against a new host that believes the history of one that stood still and knows only what was before.
	It("does not tell other hosts that its list is current because of a heartbeat that may have waited", func() {
		x.Receive(now, "w", messenger.ListUpdate{After: 2, Upto: 2})
		x.Receive(now, "new", messenger.OriginRequest{Reply: "10.0.0.9:1", Services: []string{"s"}})
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].(messenger.OriginReply).Histories).To(HaveExactElements(HaveField("Fresh", false)))
	})

	// Guards against a version that is forgotten because a list that was read late is of before it.
	It("keeps a version that an older list, which arrives late, does not have", func() {
		x.StoreAnswered(now, now, false, relayer.Update{After: 2, Upto: 5, Changed: []storer.Object{workerEvent(5, "b", "1", "v2")}})
		x.StoreAnswered(now, now.Add(-time.Second), true, relayer.Update{Upto: 4, Changed: []storer.Object{workerEvent(2, "a", "1", "v1")}})
		answer := x.TakeUp(now, stream)
		x.StoreAnswered(now, now, false, relayer.Update{After: 4, Upto: 4})
		Expect(answer).To(Receive(HaveField("Result", resumer.Unknown)))
	})
})
