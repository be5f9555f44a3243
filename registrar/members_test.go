package registrar_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/registrar"
)

// fault injects a failure into a fleet and ends it.
type fault struct {
	begin, end func(f *fleet)
}

// victim is the host that faults are injected into.
const victim = "h03"

var benign = map[prover.Fault]fault{
	prover.Slow:      {func(f *fleet) { f.delay = 150 * time.Millisecond }, func(f *fleet) { f.delay = latency }},
	prover.Reorder:   {func(f *fleet) { f.duplicated = true }, func(f *fleet) { f.duplicated = false }},
	prover.StoreDown: {func(f *fleet) { f.storeDown = true }, func(f *fleet) { f.storeDown = false }},
	prover.StoreSlow: {func(f *fleet) { f.storeDelay = 2 * time.Second }, func(f *fleet) { f.storeDelay = 0 }},
	prover.WatchGap:  {func(f *fleet) { f.watchGap = true }, func(f *fleet) { f.watchGap = false }},
}

var harmful = map[prover.Fault]fault{
	prover.Kill:        {func(f *fleet) { f.kill(victim) }, func(f *fleet) { f.revive(victim) }},
	prover.Freeze:      {func(f *fleet) { f.freeze(victim) }, func(f *fleet) { f.thaw(victim) }},
	prover.CutOneWay:   {func(f *fleet) { f.setCut(true, false, victim) }, func(f *fleet) { f.setCut(false, false, victim) }},
	prover.CutBothWays: {func(f *fleet) { f.setCut(true, true, victim) }, func(f *fleet) { f.setCut(false, true, victim) }},
}

func faultOf(name prover.Fault) fault {
	if f, ok := benign[name]; ok {
		return f
	}
	return harmful[name]
}

func everyFault() []prover.Fault {
	return []prover.Fault{
		prover.Kill, prover.Freeze, prover.CutOneWay, prover.CutBothWays,
		prover.Slow, prover.Reorder, prover.StoreDown, prover.StoreSlow, prover.WatchGap,
	}
}

var _ = Describe("Members", func() {
	// Guards against a host's failure being detected too late, with or without the store: the
	// requests through it break, and its places and roles must be free within about a second.
	DescribeTable("detects a host's failure on all hosts within the bound",
		func(hosts, zones, regions int, faults ...prover.Fault) {
			f := newFleet(hosts, zones, regions)
			for _, a := range faults {
				benign[a].begin(f)
			}
			f.run(5 * time.Second)
			Expect(f.deaths).To(BeEmpty())
			f.kill(victim)
			f.run(detectionBound)
			Expect(f.rosters()).To(ConsistOf(f.running()))
		},
		Entry("alone", Label(prover.Cell(prover.LeaseRenewed, prover.Kill), prover.Cell(prover.RoleTaken, prover.Kill)), 9, 4, 1),
		Entry("in three regions", 36, 7, 3),
		Entry("in four hosts", 4, 2, 1),
		Entry("with the store down", Label(prover.Cell(prover.LeaseRenewed, prover.StoreDown), prover.Pair(prover.LeaseRenewed, prover.StoreDown, prover.LeaseRenewed, prover.Kill)), 9, 4, 1, prover.StoreDown),
		Entry("with the store slow", Label(prover.Cell(prover.LeaseRenewed, prover.StoreSlow), prover.Pair(prover.LeaseRenewed, prover.StoreSlow, prover.LeaseRenewed, prover.Kill)), 9, 4, 1, prover.StoreSlow),
		Entry("with frames duplicated and reordered", Label(prover.Cell(prover.LeaseRenewed, prover.Reorder), prover.Pair(prover.LeaseRenewed, prover.Reorder, prover.LeaseRenewed, prover.Kill)), 9, 4, 1, prover.Reorder),
		Entry("with a watch that lost changes", Label(prover.Cell(prover.LeaseRenewed, prover.WatchGap), prover.Pair(prover.LeaseRenewed, prover.WatchGap, prover.LeaseRenewed, prover.Kill)), 9, 4, 1, prover.WatchGap),
	)

	// Guards against a slow link or store looking like a failed host: a host that is declared
	// dead loses its roles, and its calls lose their places, for no reason.
	DescribeTable("declares no host dead for a fault that stops no host",
		func(faults ...prover.Fault) {
			f := newFleet(9, 4, 1)
			for _, name := range faults {
				benign[name].begin(f)
			}
			f.run(30 * time.Second)
			Expect(f.deaths).To(BeEmpty())
			Expect(f.rosters()).To(ConsistOf(f.running()))
		},
		Entry("slow links", Label(prover.Cell(prover.LeaseRenewed, prover.Slow), prover.Cell(prover.RoleTaken, prover.Slow)), prover.Slow),
		Entry("duplicated frames", Label(prover.Cell(prover.RoleTaken, prover.Reorder)), prover.Reorder),
		Entry("store down", Label(prover.Cell(prover.RoleTaken, prover.StoreDown)), prover.StoreDown),
		Entry("slow store", Label(prover.Cell(prover.RoleTaken, prover.StoreSlow)), prover.StoreSlow),
		Entry("watch gap", Label(prover.Cell(prover.RoleTaken, prover.WatchGap)), prover.WatchGap),
		Entry("slow links and store down", Label(prover.Pair(prover.LeaseRenewed, prover.Slow, prover.LeaseRenewed, prover.StoreDown)), prover.Slow, prover.StoreDown),
	)

	// Guards against two hosts that lose their connection declaring each other dead while all
	// others reach both. Each must only choose another owner for the roles that it needs.
	DescribeTable("a cut between two hosts makes neither dead",
		func(both bool) {
			f := newFleet(9, 4, 1)
			f.cut["h00>"+victim], f.cut[victim+">h00"] = true, both
			f.run(20 * time.Second)
			Expect(f.deaths).To(BeEmpty())
			Expect(f.rosters()).To(ConsistOf(f.running()))
		},
		Entry("one way", Label(prover.Cell(prover.LeaseRenewed, prover.CutOneWay), prover.Cell(prover.RoleTaken, prover.CutOneWay)), false),
		Entry("both ways", Label(prover.Cell(prover.LeaseRenewed, prover.CutBothWays), prover.Cell(prover.RoleTaken, prover.CutBothWays)), true),
	)

	// Guards against a host that was frozen, and declared dead, still acting in its roles when
	// it resumes. It must learn of that and rejoin under a new incarnation.
	It("a frozen host that resumes takes no role until it has rejoined", Label(
		prover.Cell(prover.LeaseRenewed, prover.Freeze), prover.Cell(prover.RoleTaken, prover.Freeze)), func() {
		f := newFleet(9, 4, 1)
		f.freeze(victim)
		f.run(10 * time.Second)
		Expect(f.rosterOf("h00")).NotTo(ContainSubstring(victim))
		n := f.nodes[victim]
		n.frozen = false
		f.input(n, victim, n.m.Tick)
		Expect(f.rosterOf(victim)).NotTo(ContainSubstring(victim), "before any peer has answered")
		n.frozen = true
		n.ownIncarnations = nil
		f.thaw(victim)
		f.run(time.Second)
		Expect(f.rejoins).To(Equal(1))
		Expect(n.ownIncarnations).NotTo(ContainElement(uint64(1)), "the dead incarnation never takes a role")
		Expect(n.suspicions).To(BeZero(), "heartbeats missed while it was frozen count against nobody")
		Expect(n.m.Self().Incarnation).To(BeNumerically(">", 1))
		Expect(f.rosters()).To(ConsistOf(f.running()))
	})

	// Guards against regions that lose their connections to each other for minutes: on both
	// sides every role must have an owner on that side, and no host may be declared dead.
	It("regions that lose their connections keep serving, and converge again afterwards", Label(prover.Pair(prover.RoleTaken, prover.CutBothWays, prover.RoleTaken, prover.StoreDown)), func() {
		f := newFleet(18, 6, 2)
		f.storeDown = true
		var east []string
		for _, h := range f.nodes["h00"].roster.Hosts() {
			if h.Region == "r1" {
				east = append(east, h.Name)
			}
		}
		f.setCut(true, true, east...)
		f.run(2 * time.Minute)
		Expect(f.deaths).To(BeEmpty())
		for _, name := range f.names {
			owner, ok := f.nodes[name].roster.Owner("cell")
			Expect(ok).To(BeTrue())
			Expect(owner.Region).To(Equal(f.nodes[name].m.Self().Region), "the owner that %s goes to", name)
		}
		f.setCut(false, true, east...)
		f.run(30 * time.Second)
		owner, _ := f.nodes["h00"].roster.Owner("cell")
		for _, name := range f.names {
			o, _ := f.nodes[name].roster.Owner("cell")
			Expect(o.Name).To(Equal(owner.Name))
		}
	})

	// Guards against a region staying split after a failed switch works again. With the store
	// down, each group of hosts has declared the other dead, and neither sends to the other.
	// All hosts must be on every roster again.
	It("two groups that declared each other dead converge again", Label(prover.Pair(prover.LeaseRenewed, prover.CutBothWays, prover.LeaseRenewed, prover.StoreDown)), func() {
		f := newFleet(9, 4, 1)
		f.storeDown = true
		group := []string{"h00", "h01", "h02", victim}
		f.setCut(true, true, group...)
		f.run(30 * time.Second)
		Expect(f.rosters()).To(HaveLen(2))
		f.setCut(false, true, group...)
		f.run(30 * time.Second)
		Expect(f.rosters()).To(ConsistOf(f.running()))
	})

	// Guards against a host that receives messages but whose own don't arrive. It is declared
	// dead and notified of that; if it rejoined each time, its roles would move without end.
	It("a host whose messages don't arrive does not rejoin again and again", Label(prover.Pair(prover.LeaseRenewed, prover.CutOneWay, prover.RoleTaken, prover.CutOneWay)), func() {
		f := newFleet(9, 4, 1)
		f.setCut(true, false, victim)
		f.run(2 * time.Minute)
		Expect(f.rejoins).To(BeNumerically("<=", 1))
		Expect(f.rosterOf("h00")).NotTo(ContainSubstring(victim))
		f.setCut(false, false, victim)
		f.run(10 * time.Second)
		Expect(f.rosters()).To(ConsistOf(f.running()))
	})

	// With two hosts only, neither can tell a failed peer from a cut. The survivor must take the
	// roles immediately, and declare the peer dead only when its lease has expired.
	It("of two hosts one is declared dead only when its lease has expired too", Label(prover.Cell(prover.RoleHandedOver, prover.Kill)), func() {
		f := newFleet(2, 1, 1)
		f.names = []string{"h00", "h01"}
		f.setCut(true, true, "h01")
		f.run(20 * time.Second)
		Expect(f.deaths).To(BeEmpty())
		owner, _ := f.nodes["h00"].roster.Owner("cell")
		Expect(owner.Name).To(Equal("h00"))
		f.setCut(false, true, "h01")
		f.run(5 * time.Second)
		f.kill("h01")
		f.run(2 * time.Second)
		owner, _ = f.nodes["h00"].roster.Owner("cell")
		Expect(owner.Name).To(Equal("h00"))
		f.run(2 * lease)
		Expect(f.rosterOf("h00")).To(Equal("h00"))
	})

	// Guards against a planned stop looking like a failure: the roles must move while the host
	// still runs, no host may suspect it, and none may declare it dead after it has left, also
	// under other faults.
	DescribeTable("a leaving host takes no role, and is not declared dead when it has left",
		func(faults ...prover.Fault) {
			f := newFleet(9, 4, 1)
			for _, name := range faults {
				benign[name].begin(f)
			}
			f.leave(victim)
			f.run(time.Second)
			for _, name := range f.names {
				h, ok := f.nodes[name].roster.Find(victim)
				Expect(ok && h.Leaving).To(BeTrue(), "as %s sees it", name)
				for role := range 40 {
					owner, _ := f.nodes[name].roster.Owner(fmt.Sprint("role", role))
					Expect(owner.Name).NotTo(Equal(victim))
				}
			}
			f.run(3 * time.Second)
			f.shutdown(victim)
			f.run(time.Second)
			Expect(f.rosters()).To(ConsistOf(f.running()))
			f.run(10 * time.Second)
			Expect(f.deaths).To(BeEmpty())
		},
		Entry("alone", Label(prover.Cell(prover.RoleHandedOver, prover.Slow), prover.Cell(prover.Draining, prover.Slow)), prover.Slow),
		Entry("store down", Label(prover.Cell(prover.Draining, prover.StoreDown), prover.Cell(prover.RoleHandedOver, prover.StoreDown)), prover.StoreDown),
		Entry("store slow", Label(prover.Cell(prover.Draining, prover.StoreSlow), prover.Cell(prover.RoleHandedOver, prover.StoreSlow)), prover.StoreSlow),
		Entry("watch gap", Label(prover.Cell(prover.Draining, prover.WatchGap), prover.Cell(prover.RoleHandedOver, prover.WatchGap)), prover.WatchGap),
		Entry("duplicated frames", Label(prover.Cell(prover.Draining, prover.Reorder), prover.Cell(prover.RoleHandedOver, prover.Reorder)), prover.Reorder),
		Entry("store down and duplicated frames", Label(prover.Pair(prover.Draining, prover.StoreDown, prover.Draining, prover.Reorder)), prover.StoreDown, prover.Reorder),
	)

	// Guards against a host that has left and freezes before its process ends. When it resumes,
	// it finds the others' heartbeats in its sockets, and its clock has advanced: it must not
	// return to any roster, nor declare others dead.
	It("a host that freezes after it has left does nothing when it resumes", Label(prover.Cell(prover.Drained, prover.Freeze)), func() {
		f := newFleet(9, 4, 1)
		f.leave(victim)
		f.run(time.Second)
		n := f.nodes[victim]
		f.freeze(victim)
		f.execute(n, victim, n.m.Shutdown(timeAt(f.now)))
		delete(f.records, victim)
		f.run(10 * time.Second)
		sent := n.sent
		f.thaw(victim)
		f.run(10 * time.Second)
		Expect(n.sent).To(Equal(sent))
		Expect(f.deaths).To(BeEmpty())
		n.up = false
		Expect(f.rosters()).To(ConsistOf(f.running()))
	})

	// Guards against the others waiting for a leaving host that fails, freezes or loses its
	// connections before it has left.
	DescribeTable("a leaving host that fails is removed like any other",
		func(name prover.Fault) {
			f := newFleet(9, 4, 1)
			f.leave(victim)
			f.run(time.Second)
			faultOf(name).begin(f)
			f.run(2 * time.Second)
			Expect(f.rosterOf("h00")).NotTo(ContainSubstring(victim))
		},
		Entry("kill", Label(prover.Cell(prover.Draining, prover.Kill), prover.Cell(prover.Drained, prover.Kill)), prover.Kill),
		Entry("freeze", Label(prover.Cell(prover.Draining, prover.Freeze), prover.Cell(prover.RoleHandedOver, prover.Freeze)), prover.Freeze),
		Entry("cut one way", Label(prover.Cell(prover.Draining, prover.CutOneWay), prover.Cell(prover.RoleHandedOver, prover.CutOneWay)), prover.CutOneWay),
		Entry("cut both ways", Label(prover.Cell(prover.Draining, prover.CutBothWays), prover.Cell(prover.RoleHandedOver, prover.CutBothWays)), prover.CutBothWays),
	)

	// Guards against a wrong answer to a probe: a host that is gone must be notified of that
	// and get no heartbeat that confirms it; an unknown host must be added.
	DescribeTable("answers a probe",
		func(status uint8, want messenger.Message, roster ...string) {
			m := registrar.NewMembers(timeAt(0), registrar.Record{Name: "a", Control: "a", Incarnation: 1}, beat)
			fact := messenger.Fact{Name: "b", Control: "b", Incarnation: 1}
			if status > 0 {
				m.Receive(timeAt(0), "c", messenger.RosterUpdate{Facts: []messenger.Fact{fact}})
				dead := fact
				dead.Status = status
				m.Receive(timeAt(0), "c", messenger.RosterUpdate{Facts: []messenger.Fact{dead}})
			}
			var answers []messenger.Message
			for _, o := range m.Receive(timeAt(beat), "b", messenger.Probe{Self: fact}) {
				if s, ok := o.(registrar.Send); ok {
					answers = append(answers, s.Message)
				}
			}
			Expect(answers).To(ContainElement(BeAssignableToTypeOf(want)))
			var names []string
			for _, h := range m.Roster().Hosts() {
				names = append(names, h.Name)
			}
			Expect(names).To(Equal(roster))
			beats := slices.DeleteFunc(answers, func(a messenger.Message) bool {
				_, ok := a.(messenger.Heartbeat)
				return !ok
			})
			Expect(beats).To(HaveLen(map[bool]int{status == 0: 1}[true]), "a Heartbeat confirms that the probing host counts as alive")
		},
		Entry("of a host that is gone", uint8(2), messenger.RosterUpdate{}, "a"),
		Entry("of an unknown host", uint8(0), messenger.Heartbeat{}, "a", "b"),
	)

	// Guards against a superseded process acting on an outdated roster.
	It("keeps the roster of a superseded host up to date", func() {
		m := registrar.NewMembers(timeAt(0), registrar.Record{Name: "a", Control: "a", Incarnation: 1}, beat)
		receiveFact := func(name string, incarnation uint64) {
			m.Receive(timeAt(0), "c", messenger.RosterUpdate{Facts: []messenger.Fact{{Name: name, Control: name, Incarnation: incarnation}}})
		}
		receiveFact("a", 2)
		for i := range 8 {
			receiveFact(fmt.Sprint("h", i), 1)
			m.Tick(timeAt(time.Duration(i) * beat))
		}
		Expect(m.Roster().Hosts()).To(HaveLen(8))
	})

	It("rosters converge after every pair of faults", func() {
		for _, a := range everyFault() {
			for _, b := range everyFault() {
				f := newFleet(9, 4, 1)
				faultOf(a).begin(f)
				f.run(700 * time.Millisecond)
				if a != b {
					faultOf(b).begin(f)
				}
				f.run(4 * time.Second)
				faultOf(b).end(f)
				f.run(time.Second)
				faultOf(a).end(f)
				f.run(15 * time.Second)
				Expect(f.rosters()).To(ConsistOf(f.running()), "%s with %s", a, b)
			}
		}
	}, pairLabels())

	It("holds over long schedules of faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(rapid.IntRange(3, 12).Draw(t, "hosts"), rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 2).Draw(t, "regions"))
			f.random.Uint64()
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				f.randomFault(rapid.SampledFrom(f.names).Draw(t, "host"), rapid.IntRange(0, 9).Draw(t, "fault"))
				f.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			}
			f.heal()
			f.run(40 * time.Second)
			if v := f.rosters(); f.running() != "" && (len(v) != 1 || v[0] != f.running()) {
				t.Fatalf("rosters %q, up %q", v, f.running())
			}
			died := len(f.deaths)
			f.run(30 * time.Second)
			if len(f.deaths) != died {
				t.Fatalf("deaths with everything healthy: %v", f.deaths[died:])
			}
		})
	})
})

// pairLabels returns the labels of all pairs that the spec of pairs covers.
func pairLabels() Labels {
	var out Labels
	for _, a := range everyFault() {
		for _, b := range everyFault() {
			if a != b {
				out = append(out, prover.Pair(prover.LeaseRenewed, a, prover.LeaseRenewed, b))
			}
		}
	}
	return out
}

// randomFault injects or ends one fault of a host, the links or the store.
func (f *fleet) randomFault(name string, choice int) {
	switch choice {
	case 0:
		f.kill(name)
	case 1:
		f.revive(name)
	case 2:
		f.freeze(name)
	case 3:
		f.thaw(name)
	case 4:
		f.setCut(true, true, name)
	case 5:
		f.setCut(true, false, name)
	case 6:
		f.setCut(false, true, name)
	case 7:
		f.storeDown = !f.storeDown
	case 8:
		f.duplicated = !f.duplicated
	case 9:
		f.watchGap = !f.watchGap
	}
}

// heal ends every fault, except that hosts that are down stay down.
func (f *fleet) heal() {
	clear(f.cut)
	f.storeDown, f.duplicated, f.watchGap, f.delay, f.storeDelay = false, false, false, latency, 0
	for _, name := range f.names {
		if f.nodes[name].frozen {
			f.thaw(name)
		}
	}
}
