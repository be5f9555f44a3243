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

// deafStore is a store whose watches and lists tell nothing, for good.
type deafStore struct{ *adapter.Store }

func (deafStore) List(ctx context.Context, _ string) ([]storer.Object, storer.Version, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// member is a running follower.
type member struct {
	*publisher.Follower
	ready atomic.Bool
	asked chan string
}

// follow starts a follower that ends with the spec; change, if any, changes its source.
func follow(s storer.Store, t publisher.Timing, change ...func(*publisher.Source)) *member {
	m := &member{asked: make(chan string, 64)}
	m.Follower = publisher.NewFollower(s, t, zap.NewNop(), publisher.Actions{
		Enforce: func(*loader.Folder, uint64) {},
		RequestHead: func(peer string, _ uint64) {
			select {
			case m.asked <- peer:
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
		platform *faker.Platform
		store    *adapter.Store
		quick    publisher.Timing
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
	generation := func(m *member) func() uint64 {
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
		quick = publisher.Timing{GatherTimeout: 10 * time.Millisecond, PollInterval: 300 * time.Millisecond}
	})

	It("puts each push in force by its watch", func() {
		m := follow(store, publisher.Timing{GatherTimeout: 10 * time.Millisecond, PollInterval: time.Hour})
		for _, name := range []string{"a", "b", "c"} {
			g := push(name)
			Eventually(generation(m), 5*time.Second, 5*time.Millisecond).Should(Equal(g))
		}
		Eventually(m.ready.Load, 5*time.Second).Should(BeTrue())
	})

	// Others watch for this host: until one of them tells of a change, it makes no
	// call. Then they are gone, and what came meanwhile must not be missed.
	It("does not watch while others do, and lists anew when it is to", func() {
		var turn atomic.Bool
		g := push("a")
		m := follow(store, publisher.Timing{GatherTimeout: 10 * time.Millisecond, PollInterval: time.Hour}, func(s *publisher.Source) { s.ShouldWatch = turn.Load })
		Eventually(generation(m), 5*time.Second).Should(Equal(g))
		g = push("b")
		before, _ := platform.Calls()
		Consistently(generation(m), time.Second).ShouldNot(Equal(g))
		after, _ := platform.Calls()
		Expect(after).To(Equal(before))
		m.ReceiveGeneration("h2", g, time.Now())
		Eventually(generation(m), 5*time.Second).Should(Equal(g))
		g = push("c")
		turn.Store(true)
		Eventually(generation(m), 5*time.Second).Should(Equal(g))
	})

	// Something between host and platform forgets the watch's connection: it stays
	// open and tells nothing. The host would serve old settings for good.
	It("puts each push in force by its poll where the watch is silent", Label(prover.Cell(prover.Watched, prover.Silence)), func() {
		m := follow(deafStore{store}, quick)
		for _, name := range []string{"a", "b"} {
			g := push(name)
			Eventually(generation(m), 5*time.Second, 5*time.Millisecond).Should(Equal(g))
		}
	})

	It("asks the peer that told of a newer generation in an outage", Label(prover.Cell(prover.InForce, prover.StoreDown)), func() {
		m, other := follow(store, quick), follow(store, quick)
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
		Eventually(m.asked, 5*time.Second).Should(Receive(Equal("h2")))
		m.ReceiveHead("h2", peer.head().Packed())
		Eventually(generation(m), 5*time.Second).Should(Equal(g + 5))
	})

	// All hosts lose power at once and come back. Callers are refused for want of a
	// configuration for a second and a quarter, though the platform answers within
	// milliseconds. Cause: the first read waited for the first tick, and what it told for
	// a peer, of which none was there.
	It("has the platform's configuration in force at once where that is always current", Label(prover.Cell(prover.InForce, prover.Kill)), func() {
		generation := push("a")
		m := follow(deafStore{store}, publisher.Timing{AlwaysCurrent: true, GatherTimeout: time.Hour, TickInterval: time.Hour})
		Eventually(func() uint64 { return m.Head().Generation }).Should(Equal(generation))
	})

	It("reads nothing of a head that has not changed", func() {
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
