package registrar_test

import (
	"context"
	"encoding/json"
	"math"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/messenger"
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

	// Guards against a host without a lease, as the record under its name seems to be of a later process.
	It("is replaced if its incarnation is out of range", func() {
		platform.Put("hosts", "a", registrar.Record{Name: "a", Zone: "a", Control: "a", Incarnation: math.MaxUint64})
		w.join(store, "a", 7)
		Eventually(func() int { return platform.Count("leases") }, 5*time.Second).Should(Equal(1))
	})

	// Guards against a list of records that fails whole for one of them.
	It("costs no other host, and is counted", func() {
		platform.PutRaw("hosts", "odd", undecodable)
		platform.PutRaw("hosts", "text", `{"name":"text","incarnation":1e400}`)
		platform.PutRaw("hosts", "digits", `{"name":"digits","incarnation":99999999999999999999}`)
		platform.PutRaw("hosts", "negative", `{"name":"negative","incarnation":-1}`)
		a, _ := w.join(store, "a", 7)
		w.join(store, "b", 9)
		Eventually(func() map[string]uint64 { return incarnations(a) }, 5*time.Second).Should(Equal(map[string]uint64{"a": 7, "b": 9}))
		Eventually(func() uint64 { return a.Counts().Odd }, 5*time.Second).Should(BeEquivalentTo(4))
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

// Guards against a host that counts as replaced or older, owns every role, or can't send its roster, for one record or fact
// whose numbers or texts are out of range.
var _ = DescribeTable("A record out of range costs no other host", func(change func(*registrar.Record)) {
	now := time.Unix(1_000_000, 0)
	odd := registrar.Record{Name: "odd", Zone: "z", Control: "192.0.2.3:1", Incarnation: 8}
	change(&odd)
	good := registrar.Record{Name: "good", Zone: "z", Control: "192.0.2.2:1", Incarnation: 9, Weight: 800}
	self := registrar.Record{Name: "self", Zone: "z", Control: "192.0.2.1:1", Incarnation: 7, Weight: 800}
	for name, apply := range map[string]func(m *registrar.Members) []registrar.Output{
		"records": func(m *registrar.Members) []registrar.Output {
			return m.ApplyRecords(now, []registrar.Record{odd, good})
		},
		"facts": func(m *registrar.Members) []registrar.Output {
			return m.Receive(now, "good", messenger.RosterUpdate{Facts: []messenger.Fact{
				{Name: odd.Name, Zone: odd.Zone, Region: odd.Region, Control: odd.Control, Admin: odd.Admin, Incarnation: odd.Incarnation, Weight: odd.Weight},
				{Name: good.Name, Zone: good.Zone, Control: good.Control, Incarnation: good.Incarnation, Weight: good.Weight},
			}})
		},
	} {
		m := registrar.NewMembers(now, self, beat)
		for _, o := range apply(m) {
			Expect(o).NotTo(BeAssignableToTypeOf(registrar.Superseded{}), name)
			Expect(o).NotTo(BeAssignableToTypeOf(registrar.PredecessorFound{}), name)
		}
		Expect(m.Self()).To(Equal(self), name)
		Expect(m.Roster().Hosts()).To(Equal([]registrar.Record{good, self}), name)
	}
},
	Entry("the largest incarnation, at another's address", func(r *registrar.Record) { r.Control, r.Incarnation = "192.0.2.1:1", math.MaxUint64 }),
	Entry("the largest incarnation, under another's name", func(r *registrar.Record) { r.Name, r.Incarnation = "self", math.MaxUint64 }),
	Entry("the largest incarnation", func(r *registrar.Record) { r.Incarnation = math.MaxUint64 }),
	Entry("the largest weight", func(r *registrar.Record) { r.Weight = math.MaxInt }),
	Entry("a negative weight", func(r *registrar.Record) { r.Weight = -1 }),
	Entry("a name of 1 MiB", func(r *registrar.Record) { r.Name = strings.Repeat("x", 1<<20) }),
	Entry("a zone of 1 MiB", func(r *registrar.Record) { r.Zone = strings.Repeat("x", 1<<20) }),
	Entry("a region of 1 MiB", func(r *registrar.Record) { r.Region = strings.Repeat("x", 1<<20) }),
	Entry("a control address of 1 MiB", func(r *registrar.Record) { r.Control = strings.Repeat("x", 1<<20) }),
	Entry("an admin address of 1 MiB", func(r *registrar.Record) { r.Admin = strings.Repeat("x", 1<<20) }),
)
