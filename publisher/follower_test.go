package publisher_test

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"time"

	adapter "github.com/cicadawood/cicadawood/platform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/publisher"
	"github.com/cicadawood/cicadawood/storer"
)

// stalledStore is a store whose lists, and so its watches, never return.
type stalledStore struct{ *adapter.Store }

func (stalledStore) List(ctx context.Context, _ string) ([]storer.Object, storer.Version, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// testFollower is a running follower that records its actions.
type testFollower struct {
	*publisher.Follower
	ready     atomic.Bool
	requested chan string
}

// runFollower starts a follower that stops at the end of the spec. The functions in change
// modify its source.
func runFollower(s storer.Store, t publisher.Timing, change ...func(*publisher.Source)) *testFollower {
	m := &testFollower{requested: make(chan string, 64)}
	m.Follower = publisher.NewFollower(s, t, zap.NewNop(), publisher.Actions{
		Enforce: func(*loader.Folder, uint64) {},
		RequestHead: func(peer string, _ uint64) {
			select {
			case m.requested <- peer:
			default:
			}
		},
		SetReady: m.ready.Store,
	})
	source := publisher.PushedSource()
	for _, f := range change {
		f(&source)
	}
	m.SetSource(source)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
	return m
}

var _ = Describe("Follower", func() {
	var (
		platform   *faker.Platform
		store      *adapter.Store
		fastTiming publisher.Timing
	)
	push := func(name string) uint64 {
		head, err := publisher.Read(context.Background(), store)
		Expect(err).NotTo(HaveOccurred())
		files := loader.Files{}
		for k, v := range head.Files {
			files[k] = v
		}
		files[name+".json"] = class(name, 0)
		r, err := publisher.Pusher{Store: store}.Push(context.Background(), publisher.Change{Files: files, Base: publisher.BaseOf(head.Generation, head.Files)})
		Expect(err).NotTo(HaveOccurred())
		return r.Generation
	}
	generation := func(m *testFollower) func() uint64 {
		return func() uint64 {
			_, g := m.Folder()
			return g
		}
	}
	BeforeEach(func() {
		platform = faker.NewPlatform()
		server := httptest.NewServer(platform.Handler())
		DeferCleanup(server.CloseClientConnections)
		DeferCleanup(server.Close)
		var clean func()
		store, clean = adapter.NewStore(server.URL)
		DeferCleanup(clean)
		fastTiming = publisher.Timing{GatherTimeout: 10 * time.Millisecond, PollInterval: 300 * time.Millisecond}
	})

	It("puts each push in force through its watch", func() {
		m := runFollower(store, publisher.Timing{GatherTimeout: 10 * time.Millisecond, PollInterval: time.Hour})
		for _, name := range []string{"a", "b", "c"} {
			g := push(name)
			Eventually(generation(m), 5*time.Second, 5*time.Millisecond).Should(Equal(g))
		}
		Eventually(m.ready.Load, 5*time.Second).Should(BeTrue())
	})

	// Guards against calls by hosts that are not to watch, and against changes that are
	// missed when such a host takes over the watch.
	It("does not watch while others do, and lists again when it takes over", func() {
		var shouldWatch atomic.Bool
		g := push("a")
		m := runFollower(store, publisher.Timing{GatherTimeout: 10 * time.Millisecond, PollInterval: time.Hour}, func(s *publisher.Source) { s.ShouldWatch = shouldWatch.Load })
		Eventually(generation(m), 5*time.Second).Should(Equal(g))
		g = push("b")
		before, _ := platform.Calls()
		Consistently(generation(m), time.Second).ShouldNot(Equal(g))
		after, _ := platform.Calls()
		Expect(after).To(Equal(before))
		m.ReceiveGeneration("h2", g, time.Now())
		Eventually(generation(m), 5*time.Second).Should(Equal(g))
		g = push("c")
		shouldWatch.Store(true)
		Eventually(generation(m), 5*time.Second).Should(Equal(g))
	})

	// Guards against a host that keeps an old configuration forever: a device between host
	// and platform drops the watch's connection, which stays open without events.
	It("puts each push in force through its poll while the watch is stalled", Label(prover.Cell(prover.Watched, prover.Blackhole)), func() {
		m := runFollower(stalledStore{store}, fastTiming)
		for _, name := range []string{"a", "b"} {
			g := push(name)
			Eventually(generation(m), 5*time.Second, 5*time.Millisecond).Should(Equal(g))
		}
	})

	It("asks the peer that announced a newer generation while the platform is down", Label(prover.Cell(prover.InForce, prover.StoreDown)), func() {
		m, other := runFollower(store, fastTiming), runFollower(store, fastTiming)
		g := push("a")
		Eventually(generation(m), 5*time.Second).Should(Equal(g))
		Eventually(generation(other), 5*time.Second).Should(Equal(g))
		files := other.Head().Files
		platform.SetFaults(faker.Faults{Down: true})
		Eventually(func() bool { return m.Status().Platform }, 5*time.Second).Should(BeFalse())

		peer := &fakeStore{}
		_, err := (&operator{store: peer, files: files}).edit("b", 1).push(int64(g + 5))
		Expect(err).NotTo(HaveOccurred())
		m.ReceiveGeneration("h2", g+5, time.Now())
		Eventually(m.requested, 5*time.Second).Should(Receive(Equal("h2")))
		m.ReceiveHead("h2", peer.head().Packed())
		Eventually(generation(m), 5*time.Second).Should(Equal(g + 5))
	})

	// Guards against 1.25 s without a configuration after a power loss of all hosts, in which
	// callers are refused although the platform answers within milliseconds. It arises if
	// the first read waits for the first tick, and its result for a peer's answer.
	It("puts the configuration of an always current platform in force immediately", Label(prover.Cell(prover.InForce, prover.Kill)), func() {
		generation := push("a")
		m := runFollower(stalledStore{store}, publisher.Timing{AlwaysCurrent: true, GatherTimeout: time.Hour, TickInterval: time.Hour})
		Eventually(func() uint64 { return m.Head().Generation }).Should(Equal(generation))
	})

	It("does not read a head that has not changed", func() {
		g := push("a")
		head, err := store.Get(context.Background(), publisher.Key)
		Expect(err).NotTo(HaveOccurred())
		o, changed, err := store.Changed(context.Background(), publisher.Key, head.Version)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeFalse())
		Expect(o.Value).To(BeEmpty())
		_, changed, err = store.Changed(context.Background(), publisher.Key, head.Version+1)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeTrue())
		push("b")
		o, changed, err = store.Changed(context.Background(), publisher.Key, head.Version)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeTrue())
		Expect(o.Value).NotTo(Equal(head.Value))
		Expect(g).NotTo(BeZero())
	})
})
