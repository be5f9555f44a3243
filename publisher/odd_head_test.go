package publisher_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"math"
	"net/http/httptest"
	"strings"
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

var _ = Describe("A generation beyond any", func() {
	const beyond = 1<<62 + 1

	// Guards against a generation that no later one can follow: no push would come into force any more.
	It("makes a head invalid", func() {
		for _, generation := range []uint64{beyond, math.MaxUint64} {
			_, err := publisher.NewHead(loader.Files{}, generation)
			Expect(err).To(MatchError(publisher.ErrInvalidObject))
			_, err = publisher.Unpack(pack(fmt.Sprintf(`{"generation":%d,"files":{}}`, generation)))
			Expect(err).To(MatchError(publisher.ErrInvalidObject))
		}
	})

	// Guards against a packed head of few bytes that costs its reader the memory of many, or ends its process.
	DescribeTable("as other odd fields, makes a head invalid", func(text string) {
		_, err := publisher.Unpack(pack(text))
		Expect(err).To(MatchError(publisher.ErrInvalidObject))
	},
		Entry("beyond any number", `{"generation":1e400,"files":{}}`),
		Entry("of 20 digits", `{"generation":99999999999999999999,"files":{}}`),
		Entry("negative", `{"generation":-1,"files":{}}`),
		Entry("files nested too deep", `{"generation":7,"files":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`}`),
		Entry("a field nested too deep that nobody reads", `{"generation":7,"files":{},"x":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`}`),
		Entry("a text over its bound", `{"generation":7,"files":{},"x":"`+strings.Repeat("x", 32<<20)+`"}`),
		Entry("a text that is cut off", `{"generation":7,"files":{}`),
	)

	// Guards against hosts that all leave the load balancer for the number that one of them sends.
	It("that a peer sends leaves the configuration in force confirmed", func() {
		server := httptest.NewServer(faker.NewPlatform().Handler())
		DeferCleanup(server.Close)
		DeferCleanup(server.CloseClientConnections)
		store, clean := adapter.NewStore(server.URL)
		DeferCleanup(clean)
		_, err := publisher.Pusher{Store: store}.Push(context.Background(), publisher.Change{Files: loader.Files{"a.json": class("a", 0)}})
		Expect(err).NotTo(HaveOccurred())
		f := runFollower(store, publisher.Timing{GatherTimeout: 10 * time.Millisecond, PollInterval: 50 * time.Millisecond, ConfirmTimeout: 300 * time.Millisecond})
		Eventually(f.ready.Load, 5*time.Second).Should(BeTrue())
		Consistently(func() bool {
			f.ReceiveGeneration("odd", math.MaxUint64, time.Now())
			return f.ready.Load()
		}, time.Second).Should(BeTrue())
	})
})

// pack returns a text as a stored head has it.
func pack(text string) []byte {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	_, _ = z.Write([]byte(text))
	_ = z.Close()
	return b.Bytes()
}
