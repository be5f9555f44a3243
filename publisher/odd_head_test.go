package publisher_test

import (
	"context"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
	adapter "github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/publisher"
)

// undecodable is a spec whose value the store's adapter can't decode.
const undecodable = `"%"`

var _ = Describe("A head that can't be decoded", func() {
	ctx := context.Background()
	newStore := func() (*faker.Platform, *adapter.Store) {
		platform := faker.NewPlatform()
		server := httptest.NewServer(platform.Handler())
		DeferCleanup(server.Close)
		DeferCleanup(server.CloseClientConnections)
		store, clean := adapter.NewStore(server.URL)
		DeferCleanup(clean)
		return platform, store
	}
	push := func(store *adapter.Store) error {
		_, err := publisher.Pusher{Store: store}.Push(ctx, publisher.Change{Files: loader.Files{"a.json": class("a", 0)}})
		return err
	}

	// Guards against hosts that leave the load balancer, or call the store down, for one object that it answers with.
	It("leaves the last good configuration in force, and the store up", func() {
		platform, store := newStore()
		Expect(push(store)).To(Succeed())
		f := runFollower(stalledStore{store}, publisher.Timing{
			GatherTimeout: 10 * time.Millisecond, PollInterval: 20 * time.Millisecond, ConfirmTimeout: 300 * time.Millisecond,
		})
		Eventually(f.ready.Load, 5*time.Second).Should(BeTrue())
		_, generation := f.Folder()
		platform.PutRaw("config", "head", undecodable)
		Eventually(func() string { return f.Status().Reason }, 5*time.Second).ShouldNot(BeEmpty())
		Consistently(f.ready.Load, time.Second).Should(BeTrue())
		Expect(f.Status().Platform).To(BeTrue())
		_, now := f.Folder()
		Expect(now).To(Equal(generation))
	})

	// Guards against an operator who is told that the store is down.
	It("is named to who pushes", func() {
		platform, store := newStore()
		platform.PutRaw("config", "head", undecodable)
		Expect(push(store)).To(MatchError(publisher.ErrInvalidObject))
	})
})
