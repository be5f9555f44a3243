package registrar_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	adapter "github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/registrar"
)

// undecodable is a spec whose value the store's adapter can't decode.
const undecodable = `"%"`

var _ = Describe("An object of a host that can't be decoded", func() {
	var (
		platform *faker.Platform
		store    *adapter.Store
		w        *network
	)

	BeforeEach(func() {
		platform = faker.NewPlatform()
		server := httptest.NewServer(platform.Handler())
		DeferCleanup(server.Close)
		client, clean := adapter.NewStore(server.URL)
		DeferCleanup(clean)
		store, w = client, &network{hosts: map[string]*registrar.Registrar{}, leaseDuration: time.Second}
	})

	// Guards against a host whose lease expires as it can't write its record any more.
	It("is replaced by the host that it belongs to", func() {
		platform.PutRaw("hosts", "a", undecodable)
		w.join(store, "a", 7)
		Eventually(func() uint64 {
			var r registrar.Record
			o, _ := store.Get(context.Background(), registrar.Prefix+"a")
			_ = json.Unmarshal(o.Value, &r)
			return r.Incarnation
		}, 5*time.Second).Should(BeEquivalentTo(7))
		Eventually(func() int { return platform.Count("leases") }, 5*time.Second).Should(Equal(1))
	})

	// Guards against a dead host that stays on the roster, as nobody can read its lease.
	It("is not renewed, and is removed with its host", func() {
		a, _ := w.join(store, "a", 7)
		platform.Put("hosts", "b", registrar.Record{Name: "b", Zone: "b", Control: "b", Incarnation: 9})
		platform.PutRaw("leases", "b", undecodable)
		Eventually(func() map[string]uint64 { return incarnations(a) }, 5*time.Second).Should(HaveLen(2))
		Eventually(func() map[string]uint64 { return incarnations(a) }, 10*time.Second).Should(HaveLen(1))
		Eventually(func() []string { return platform.Names("hosts") }, 5*time.Second).Should(ConsistOf("a"))
		Eventually(func() []string { return platform.Names("leases") }, 5*time.Second).Should(ConsistOf("a"))
	})
})
