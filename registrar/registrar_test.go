package registrar_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	adapter "github.com/cicadawood/cicadawood/platform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/storer"
)

// network connects registrars in this process by control address.
type network struct {
	mu            sync.Mutex
	hosts         map[string]*registrar.Registrar
	cut           bool
	leaseDuration time.Duration
	shouldWatch   func() bool // of hosts that join from now on
}

type endpoint struct {
	w    *network
	name string
}

func (e endpoint) Reconnect(string) {}

func (e endpoint) Send(address string, m messenger.Message) error {
	e.w.mu.Lock()
	to, cut := e.w.hosts[address], e.w.cut
	e.w.mu.Unlock()
	if to != nil && !cut {
		to.Receive(e.name, m)
	}
	return nil
}

// peers are the configured peers of each host in a test.
var peers = []string{"a"}

// join starts a registrar. The returned function stops it and waits until it has left.
func (w *network) join(store storer.Store, name string, incarnation uint64) (*registrar.Registrar, func()) {
	r := registrar.New(registrar.Config{
		Self:              registrar.Record{Name: name, Zone: name, Control: name, Incarnation: incarnation},
		HeartbeatInterval: 50 * time.Millisecond, LeaseDuration: w.leaseDuration, ShouldWatch: w.shouldWatch, Store: store, Transport: endpoint{w, name},
		Log: zap.NewNop(), Peers: peers, Notify: func(registrar.Roster) {},
	})
	w.mu.Lock()
	w.hosts[name] = r
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	DeferCleanup(stop)
	return r, stop
}

func incarnations(r *registrar.Registrar) map[string]uint64 {
	out := map[string]uint64{}
	for _, h := range r.Roster().Hosts() {
		out[h.Name] = h.Incarnation
	}
	return out
}

var _ = Describe("Registrar", func() {
	var (
		platform *faker.Platform
		store    storer.Store
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

	stored := func(name string) registrar.Record {
		var r registrar.Record
		if o, err := store.Get(context.Background(), registrar.Prefix+name); err == nil {
			_ = json.Unmarshal(o.Value, &r)
		}
		return r
	}

	// Guards against every host watching the records: when many hosts start together, each
	// record would wake all watches. A host for which others watch must make no watch call and
	// still learn of hosts that join.
	It("learns of other hosts without a watch if others watch for it", func() {
		w.leaseDuration = time.Minute
		w.join(store, "a", 7)
		w.shouldWatch = func() bool { return false }
		var watches atomic.Int32
		b, _ := w.join(storer.Metered{Store: store, Count: func(call, _, _ string) {
			if call == "watch" {
				watches.Add(1)
			}
		}}, "b", 9)
		Eventually(func() map[string]uint64 { return incarnations(b) }).WithTimeout(10 * time.Second).Should(HaveLen(2))
		w.shouldWatch = nil
		w.join(store, "c", 3)
		Eventually(func() map[string]uint64 { return incarnations(b) }).WithTimeout(10 * time.Second).Should(HaveLen(3))
		Expect(watches.Load()).To(BeZero())
	})

	// Guards against a host that stays unreachable on the roster, although it was reached again
	// while it was off it, as a host that was frozen and declared dead.
	It("marks a host that rejoins as reachable if it was reached in the meantime", func() {
		w.leaseDuration = time.Minute
		a, _ := w.join(store, "a", 7)
		_, leave := w.join(store, "b", 9)
		unreachable := func() []string {
			var out []string
			for _, h := range a.Roster().Hosts() {
				if h.Unreachable {
					out = append(out, h.Name)
				}
			}
			return out
		}
		Eventually(func() map[string]uint64 { return incarnations(a) }).WithTimeout(10 * time.Second).Should(HaveLen(2))
		a.SetReachable("b", false)
		Eventually(unreachable).WithTimeout(10 * time.Second).Should(ConsistOf("b"))
		leave()
		Eventually(func() map[string]uint64 { return incarnations(a) }).WithTimeout(10 * time.Second).Should(HaveLen(1))
		a.SetReachable("b", true)
		w.join(store, "b", 11)
		Eventually(func() map[string]uint64 { return incarnations(a) }).WithTimeout(10 * time.Second).Should(HaveLen(2))
		Eventually(unreachable).WithTimeout(5 * time.Second).Should(BeEmpty())
	})

	// Guards against a wrong record after a host joined, left or stopped while replies of the
	// store were lost. A record that stays behind makes others look for a host that is gone; a
	// missing one hides a host that runs.
	DescribeTable("keeps its stored record up to date",
		func(faults faker.Faults) {
			platform.SetFaults(faults)
			a, leave := w.join(store, "a", 7)
			b, _ := w.join(store, "b", 9)
			Eventually(func() registrar.Record { return stored("a") }).WithTimeout(10 * time.Second).Should(HaveField("Incarnation", uint64(7)))
			Eventually(func() map[string]uint64 { return incarnations(b) }).WithTimeout(10 * time.Second).Should(Equal(map[string]uint64{"a": 7, "b": 9}))
			platform.SetFaults(faults)
			a.Leave()
			Eventually(func() bool { return stored("a").Leaving }).WithTimeout(10 * time.Second).Should(BeTrue())
			leave()
			Eventually(func() map[string]uint64 { return incarnations(b) }).Should(Equal(map[string]uint64{"b": 9}))
			Expect(b.Counts().Deaths).To(BeZero())
		},
		Entry("alone", faker.Faults{}),
		Entry("with replies lost", Label(prover.Cell(prover.LeaseRenewed, prover.LostReply), prover.Cell(prover.RoleTaken, prover.LostReply), prover.Cell(prover.RoleHandedOver, prover.LostReply)), faker.Faults{Lose: 3}),
		Entry("with the store slow", faker.Faults{Delay: 100 * time.Millisecond}),
	)

	// Guards against a lease costing the store twice the necessary calls: at 195 hosts that is a
	// quarter of all calls.
	It("reads its record only for some of its lease's renewals", func() {
		w.leaseDuration = 800 * time.Millisecond
		var reads, renewals atomic.Int32
		w.join(storer.Metered{Store: store, Count: func(call, kind, _ string) {
			switch {
			case call == "get" && kind+"/" == registrar.Prefix:
				reads.Add(1)
			case call == "put" && kind+"/" == registrar.LeasePrefix:
				renewals.Add(1)
			}
		}}, "a", 7)
		Eventually(renewals.Load).WithTimeout(10 * time.Second).Should(BeNumerically(">=", 12))
		Expect(reads.Load()).To(BeNumerically("<=", 1+renewals.Load()/3))
	})

	// Guards against a process that was frozen while its name was given to a new one: when it
	// resumes, it must neither overwrite the new record nor count as the new process.
	It("a previous process does not overwrite the record of its successor", Label(
		prover.Pair(prover.LeaseRenewed, prover.Freeze, prover.LeaseRenewed, prover.Kill)), func() {
		value, err := json.Marshal(registrar.Record{Name: "a", Control: "elsewhere", Incarnation: 9})
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Put(context.Background(), registrar.Prefix+"a", value, storer.Condition{})
		Expect(err).NotTo(HaveOccurred())
		old, _ := w.join(store, "a", 7)
		Eventually(func() []registrar.Record { return old.Roster().Hosts() }).WithTimeout(5*time.Second).Should(BeEmpty(), "it takes no role")
		Consistently(func() uint64 { return stored("a").Incarnation }).Should(BeEquivalentTo(9))
	})

	// Guards against a long outage of the store making hosts look dead: their leases expire, but
	// their peers still receive their heartbeats.
	It("keeps the roster during an outage of the store", Label(prover.Cell(prover.LeaseRenewed, prover.StoreDown)), func() {
		members := []string{"a", "b", "c", "d"}
		all := map[string]uint64{}
		for i, name := range members {
			w.join(store, name, uint64(i+1))
			all[name] = uint64(i + 1)
		}
		for _, name := range members {
			Eventually(func() map[string]uint64 { return incarnations(w.hosts[name]) }).WithTimeout(5 * time.Second).Should(Equal(all))
		}
		platform.SetFaults(faker.Faults{Down: true})
		Consistently(func() map[string]uint64 { return incarnations(w.hosts["a"]) }).WithTimeout(2 * time.Second).Should(Equal(all))
	})

	// Guards against two hosts that lose their connection declaring each other dead, first with
	// the store down and then up: neither a lease that can't be read nor one that is renewed has
	// expired.
	It("declares no host dead for a lease that it can't read", Label(
		prover.Pair(prover.LeaseRenewed, prover.StoreDown, prover.LeaseRenewed, prover.CutBothWays)), func() {
		w.leaseDuration = 3 * time.Second
		a, _ := w.join(store, "a", 7)
		b, _ := w.join(store, "b", 9)
		both := map[string]uint64{"a": 7, "b": 9}
		Eventually(func() map[string]uint64 { return incarnations(a) }).WithTimeout(5 * time.Second).Should(Equal(both))
		Eventually(func() map[string]uint64 { return incarnations(b) }).WithTimeout(5 * time.Second).Should(Equal(both))
		platform.SetFaults(faker.Faults{Down: true})
		w.mu.Lock()
		w.cut = true
		w.mu.Unlock()
		Eventually(func() uint64 { return a.Counts().Suspicions }).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
		deaths := func() uint64 { return a.Counts().Deaths + b.Counts().Deaths }
		Consistently(deaths).WithTimeout(2 * time.Second).Should(BeZero())
		platform.SetFaults(faker.Faults{})
		Consistently(deaths).WithTimeout(5 * time.Second).Should(BeZero())
	})

	// Guards against a host being declared dead for a missing lease. It joined while the store
	// was down, so its lease was not written, and then lost its connections. When the store is
	// up again, another host looks for the lease just before it is written.
	It("declares no host dead for a lease that was not written yet", Label(
		prover.Pair(prover.LeaseRenewed, prover.StoreDown, prover.LeaseRenewed, prover.CutBothWays)), func() {
		w.leaseDuration = 3 * time.Second
		platform.SetFaults(faker.Faults{Down: true})
		a, _ := w.join(store, "a", 7)
		b, _ := w.join(store, "b", 9)
		both := map[string]uint64{"a": 7, "b": 9}
		Eventually(func() map[string]uint64 { return incarnations(a) }).WithTimeout(5 * time.Second).Should(Equal(both))
		Eventually(func() map[string]uint64 { return incarnations(b) }).WithTimeout(5 * time.Second).Should(Equal(both))
		w.mu.Lock()
		w.cut = true
		w.mu.Unlock()
		Eventually(func() uint64 { return a.Counts().Suspicions }).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
		platform.SetFaults(faker.Faults{})
		Consistently(func() uint64 { return a.Counts().Deaths + b.Counts().Deaths }).WithTimeout(5 * time.Second).Should(BeZero())
	})

	// Guards against a host that is replaced while the store is down finding no other host: it
	// can read no records and must use its configured peers.
	It("joins through its peers while the store is down", Label(prover.Cell(prover.RoleTaken, prover.StoreDown)), func() {
		platform.SetFaults(faker.Faults{Down: true})
		a, _ := w.join(store, "a", 7)
		b, _ := w.join(store, "b", 9)
		both := map[string]uint64{"a": 7, "b": 9}
		Eventually(func() map[string]uint64 { return incarnations(a) }).WithTimeout(5 * time.Second).Should(Equal(both))
		Eventually(func() map[string]uint64 { return incarnations(b) }).WithTimeout(5 * time.Second).Should(Equal(both))
	})

	// Guards against records and leases of processes from before a power failure staying in the
	// store, which removes nothing by itself.
	It("removes the record and the lease of an earlier process at its address, and no others", func() {
		put := func(name, control string) {
			value, err := json.Marshal(registrar.Record{Name: name, Control: control, Incarnation: 1})
			Expect(err).NotTo(HaveOccurred())
			for _, prefix := range []string{registrar.Prefix, registrar.LeasePrefix} {
				_, err = store.Put(context.Background(), prefix+name, value, storer.Condition{})
				Expect(err).NotTo(HaveOccurred())
			}
		}
		put("before", "a")
		put("elsewhere", "b")
		a, _ := w.join(store, "a", 7)
		exists := func(key string) bool {
			_, err := store.Get(context.Background(), key)
			return err == nil
		}
		Eventually(func() bool {
			return exists(registrar.Prefix+"before") || exists(registrar.LeasePrefix+"before")
		}).WithTimeout(5 * time.Second).Should(BeFalse())
		Expect(incarnations(a)).NotTo(HaveKey("before"))
		Expect(exists(registrar.Prefix + "elsewhere")).To(BeTrue())
		Expect(exists(registrar.LeasePrefix + "elsewhere")).To(BeTrue())
	})

	It("a new host removes records that dead hosts left behind", func() {
		for _, name := range []string{"x", "y"} {
			value, err := json.Marshal(registrar.Record{Name: name, Control: name, Incarnation: 1})
			Expect(err).NotTo(HaveOccurred())
			_, err = store.Put(context.Background(), registrar.Prefix+name, value, storer.Condition{})
			Expect(err).NotTo(HaveOccurred())
		}
		a, _ := w.join(store, "a", 7)
		w.join(store, "b", 9)
		Eventually(func() map[string]uint64 { return incarnations(a) }).WithTimeout(10 * time.Second).Should(Equal(map[string]uint64{"a": 7, "b": 9}))
		Eventually(func() registrar.Record { return stored("x") }).WithTimeout(5 * time.Second).Should(BeZero())
		Eventually(func() registrar.Record { return stored("y") }).WithTimeout(5 * time.Second).Should(BeZero())
	})
})
