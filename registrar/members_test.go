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

// fault is something that is done to a fleet, and what ends it.
type fault struct {
	begin, end func(f *fleet)
}

// victim is the host that faults hit.
const victim = "h03"

var benign = map[prover.Fault]fault{
	prover.Slow:      {func(f *fleet) { f.delay = 150 * time.Millisecond }, func(f *fleet) { f.delay = latency }},
	prover.Reorder:   {func(f *fleet) { f.doubled = true }, func(f *fleet) { f.doubled = false }},
	prover.StoreDown: {func(f *fleet) { f.storeDown = true }, func(f *fleet) { f.storeDown = false }},
	prover.StoreSlow: {func(f *fleet) { f.storeWait = 2 * time.Second }, func(f *fleet) { f.storeWait = 0 }},
	prover.WatchGap:  {func(f *fleet) { f.gap = true }, func(f *fleet) { f.gap = false }},
}

var harmful = map[prover.Fault]fault{
	prover.Kill:    {func(f *fleet) { f.kill(victim) }, func(f *fleet) { f.revive(victim) }},
	prover.Freeze:  {func(f *fleet) { f.freeze(victim) }, func(f *fleet) { f.thaw(victim) }},
	prover.CutOne:  {func(f *fleet) { f.part(true, false, victim) }, func(f *fleet) { f.part(false, false, victim) }},
	prover.CutBoth: {func(f *fleet) { f.part(true, true, victim) }, func(f *fleet) { f.part(false, true, victim) }},
}

func faultOf(name prover.Fault) fault {
	if f, ok := benign[name]; ok {
		return f
	}
	return harmful[name]
}

func everyFault() []prover.Fault {
	return []prover.Fault{
		prover.Kill, prover.Freeze, prover.CutOne, prover.CutBoth,
		prover.Slow, prover.Reorder, prover.StoreDown, prover.StoreSlow, prover.WatchGap,
	}
}

var _ = Describe("Members", func() {
	// Story: a host dies. Callers' requests through it break; the places it held and
	// the roles it had must be free again in about a second, also with the store down.
	DescribeTable("sees a death everywhere within the bound",
		func(hosts, zones, regions int, also ...prover.Fault) {
			f := newFleet(hosts, zones, regions)
			for _, a := range also {
				benign[a].begin(f)
			}
			f.run(5 * time.Second)
			Expect(f.died).To(BeEmpty())
			f.kill(victim)
			f.run(bound)
			Expect(f.views()).To(ConsistOf(f.up()))
		},
		Entry("alone", Label(prover.Cell(prover.Renewed, prover.Kill), prover.Cell(prover.Taken, prover.Kill)), 9, 4, 1),
		Entry("in three regions", 36, 7, 3),
		Entry("in four hosts", 4, 2, 1),
		Entry("with the store down", Label(prover.Cell(prover.Renewed, prover.StoreDown), prover.Pair(prover.Renewed, prover.StoreDown, prover.Renewed, prover.Kill)), 9, 4, 1, prover.StoreDown),
		Entry("with the store slow", Label(prover.Cell(prover.Renewed, prover.StoreSlow), prover.Pair(prover.Renewed, prover.StoreSlow, prover.Renewed, prover.Kill)), 9, 4, 1, prover.StoreSlow),
		Entry("with frames doubled and out of order", Label(prover.Cell(prover.Renewed, prover.Reorder), prover.Pair(prover.Renewed, prover.Reorder, prover.Renewed, prover.Kill)), 9, 4, 1, prover.Reorder),
		Entry("with a watch that lost changes", Label(prover.Cell(prover.Renewed, prover.WatchGap), prover.Pair(prover.Renewed, prover.WatchGap, prover.Renewed, prover.Kill)), 9, 4, 1, prover.WatchGap),
	)

	// Story: a link is slow, or the store is. Nobody died: a host that is declared
	// dead loses its roles and its calls' places for nothing.
	DescribeTable("declares nobody dead for a fault that kills nobody",
		func(faults ...prover.Fault) {
			f := newFleet(9, 4, 1)
			for _, name := range faults {
				benign[name].begin(f)
			}
			f.run(30 * time.Second)
			Expect(f.died).To(BeEmpty())
			Expect(f.views()).To(ConsistOf(f.up()))
		},
		Entry("slow", Label(prover.Cell(prover.Renewed, prover.Slow), prover.Cell(prover.Taken, prover.Slow)), prover.Slow),
		Entry("doubled", Label(prover.Cell(prover.Taken, prover.Reorder)), prover.Reorder),
		Entry("down", Label(prover.Cell(prover.Taken, prover.StoreDown)), prover.StoreDown),
		Entry("slow store", Label(prover.Cell(prover.Taken, prover.StoreSlow)), prover.StoreSlow),
		Entry("gap", Label(prover.Cell(prover.Taken, prover.WatchGap)), prover.WatchGap),
		Entry("slow and down", Label(prover.Pair(prover.Renewed, prover.Slow, prover.Renewed, prover.StoreDown)), prover.Slow, prover.StoreDown),
	)

	// Story: two hosts lose the connection to each other; the rest hear both. Neither
	// may be declared dead; each only looks for another owner of what it needs.
	DescribeTable("a cut between two hosts kills neither",
		func(both bool) {
			f := newFleet(9, 4, 1)
			f.cut["h00>"+victim], f.cut[victim+">h00"] = true, both
			f.run(20 * time.Second)
			Expect(f.died).To(BeEmpty())
			Expect(f.views()).To(ConsistOf(f.up()))
		},
		Entry("one way", Label(prover.Cell(prover.Renewed, prover.CutOne), prover.Cell(prover.Taken, prover.CutOne)), false),
		Entry("both ways", Label(prover.Cell(prover.Renewed, prover.CutBoth), prover.Cell(prover.Taken, prover.CutBoth)), true),
	)

	// Story: a host stands still beyond all bounds, is declared dead, and returns. It
	// still believes in its roles; it must learn of it, and come back as new.
	It("a frozen host that returns takes no role until it has rejoined", Label(
		prover.Cell(prover.Renewed, prover.Freeze), prover.Cell(prover.Taken, prover.Freeze)), func() {
		f := newFleet(9, 4, 1)
		f.freeze(victim)
		f.run(10 * time.Second)
		Expect(f.sees("h00")).NotTo(ContainSubstring(victim))
		n := f.nodes[victim]
		n.frozen = false
		f.do(n, victim, n.m.Tick)
		Expect(f.sees(victim)).NotTo(ContainSubstring(victim), "before any peer has answered")
		n.frozen = true
		n.selves = nil
		f.thaw(victim)
		f.run(time.Second)
		Expect(f.rejoins).To(Equal(1))
		Expect(n.selves).NotTo(ContainElement(uint64(1)), "the dead incarnation takes no role for a moment")
		Expect(n.accused).To(BeZero(), "what it did not hear counts against nobody")
		Expect(n.m.Self().Incarnation).To(BeNumerically(">", 1))
		Expect(f.views()).To(ConsistOf(f.up()))
	})

	// Story: regions lose each other for minutes. Both sides keep serving: on each
	// side every role has an owner on that side, and nobody is declared dead.
	It("regions that lose each other keep serving, and meet again", Label(prover.Pair(prover.Taken, prover.CutBoth, prover.Taken, prover.StoreDown)), func() {
		f := newFleet(18, 6, 2)
		f.storeDown = true
		var east []string
		for _, h := range f.nodes["h00"].roster.Hosts() {
			if h.Region == "r1" {
				east = append(east, h.Name)
			}
		}
		f.part(true, true, east...)
		f.run(2 * time.Minute)
		Expect(f.died).To(BeEmpty())
		for _, name := range f.names {
			owner, ok := f.nodes[name].roster.Owner("cell")
			Expect(ok).To(BeTrue())
			Expect(owner.Region).To(Equal(f.nodes[name].m.Self().Region), "the owner that %s goes to", name)
		}
		f.part(false, true, east...)
		f.run(30 * time.Second)
		owner, _ := f.nodes["h00"].roster.Owner("cell")
		for _, name := range f.names {
			o, _ := f.nodes[name].roster.Owner("cell")
			Expect(o.Name).To(Equal(owner.Name))
		}
	})

	// Story: a switch fails and splits a region's hosts in two groups, the store being
	// down. Each group declares the other dead; when the switch is back, nobody would
	// speak to the other side. All must be on every roster again.
	It("two groups that declared each other dead meet again", Label(prover.Pair(prover.Renewed, prover.CutBoth, prover.Renewed, prover.StoreDown)), func() {
		f := newFleet(9, 4, 1)
		f.storeDown = true
		group := []string{"h00", "h01", "h02", victim}
		f.part(true, true, group...)
		f.run(30 * time.Second)
		Expect(f.views()).To(HaveLen(2))
		f.part(false, true, group...)
		f.run(30 * time.Second)
		Expect(f.views()).To(ConsistOf(f.up()))
	})

	// Story: a host hears the others, which can't hear it. It is declared dead, and told
	// so. Were it to rejoin each time, its roles would come and go without end.
	It("a host that nobody hears does not come and go", Label(prover.Pair(prover.Renewed, prover.CutOne, prover.Taken, prover.CutOne)), func() {
		f := newFleet(9, 4, 1)
		f.part(true, false, victim)
		f.run(2 * time.Minute)
		Expect(f.rejoins).To(BeNumerically("<=", 1))
		Expect(f.sees("h00")).NotTo(ContainSubstring(victim))
		f.part(false, false, victim)
		f.run(10 * time.Second)
		Expect(f.views()).To(ConsistOf(f.up()))
	})

	// Story: two hosts only, and the one can't tell a dead peer from a cut. The
	// survivor takes the roles at once; it declares the peer dead when its lease lapses.
	It("of two hosts one is dead only when its lease has lapsed too", Label(prover.Cell(prover.HandedOver, prover.Kill)), func() {
		f := newFleet(2, 1, 1)
		f.names = []string{"h00", "h01"}
		f.part(true, true, "h01")
		f.run(20 * time.Second)
		Expect(f.died).To(BeEmpty())
		owner, _ := f.nodes["h00"].roster.Owner("cell")
		Expect(owner.Name).To(Equal("h00"))
		f.part(false, true, "h01")
		f.run(5 * time.Second)
		f.kill("h01")
		f.run(2 * time.Second)
		owner, _ = f.nodes["h00"].roster.Owner("cell")
		Expect(owner.Name).To(Equal("h00"))
		f.run(2 * lease)
		Expect(f.sees("h00")).To(Equal("h00"))
	})

	// Story: a host is told to stop. Its roles move while it lives, nobody suspects
	// it, and when it has left nobody mourns it, whatever else goes wrong meanwhile.
	DescribeTable("a leaving host takes no role, and leaves without a death",
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
			f.left(victim)
			f.run(time.Second)
			Expect(f.views()).To(ConsistOf(f.up()))
			f.run(10 * time.Second)
			Expect(f.died).To(BeEmpty())
		},
		Entry("alone", Label(prover.Cell(prover.HandedOver, prover.Slow), prover.Cell(prover.Draining, prover.Slow)), prover.Slow),
		Entry("store down", Label(prover.Cell(prover.Draining, prover.StoreDown), prover.Cell(prover.HandedOver, prover.StoreDown)), prover.StoreDown),
		Entry("store slow", Label(prover.Cell(prover.Draining, prover.StoreSlow), prover.Cell(prover.HandedOver, prover.StoreSlow)), prover.StoreSlow),
		Entry("watch gap", Label(prover.Cell(prover.Draining, prover.WatchGap), prover.Cell(prover.HandedOver, prover.WatchGap)), prover.WatchGap),
		Entry("doubled frames", Label(prover.Cell(prover.Draining, prover.Reorder), prover.Cell(prover.HandedOver, prover.Reorder)), prover.Reorder),
		Entry("store down and doubled frames", Label(prover.Pair(prover.Draining, prover.StoreDown, prover.Draining, prover.Reorder)), prover.StoreDown, prover.Reorder),
	)

	// Story: a host has said goodbye and freezes before its process ends. When it
	// returns it finds the others' beats in its sockets, and its clock has run on: it
	// must not come back on any roster, nor declare others dead.
	It("a host that freezes after it has left does nothing when it returns", Label(prover.Cell(prover.Drained, prover.Freeze)), func() {
		f := newFleet(9, 4, 1)
		f.leave(victim)
		f.run(time.Second)
		n := f.nodes[victim]
		f.freeze(victim)
		f.act(n, victim, n.m.Shutdown(epoch(f.now)))
		delete(f.records, victim)
		f.run(10 * time.Second)
		sent := n.sent
		f.thaw(victim)
		f.run(10 * time.Second)
		Expect(n.sent).To(Equal(sent))
		Expect(f.died).To(BeEmpty())
		n.up = false
		Expect(f.views()).To(ConsistOf(f.up()))
	})

	// Story: a host is stopped and dies, or freezes, or loses its links before it is
	// through. The others must not wait for it.
	DescribeTable("a leaving host that fails is gone like any other",
		func(name prover.Fault) {
			f := newFleet(9, 4, 1)
			f.leave(victim)
			f.run(time.Second)
			faultOf(name).begin(f)
			f.run(2 * time.Second)
			Expect(f.sees("h00")).NotTo(ContainSubstring(victim))
		},
		Entry("kill", Label(prover.Cell(prover.Draining, prover.Kill), prover.Cell(prover.Drained, prover.Kill)), prover.Kill),
		Entry("freeze", Label(prover.Cell(prover.Draining, prover.Freeze), prover.Cell(prover.HandedOver, prover.Freeze)), prover.Freeze),
		Entry("cut one way", Label(prover.Cell(prover.Draining, prover.CutOne), prover.Cell(prover.HandedOver, prover.CutOne)), prover.CutOne),
		Entry("cut both ways", Label(prover.Cell(prover.Draining, prover.CutBoth), prover.Cell(prover.HandedOver, prover.CutBoth)), prover.CutBoth),
	)

	// Story: a host that is gone, or unknown here, knocks. The one must hear at once
	// that it is gone, and not that it still counts; the other must be taken.
	DescribeTable("answers a probe",
		func(status uint8, want messenger.Message, roster ...string) {
			m := registrar.NewMembers(epoch(0), registrar.Record{Name: "a", Control: "a", Incarnation: 1}, beat)
			fact := messenger.Fact{Name: "b", Control: "b", Incarnation: 1}
			if status > 0 {
				m.Receive(epoch(0), "c", messenger.RosterUpdate{Facts: []messenger.Fact{fact}})
				dead := fact
				dead.Status = status
				m.Receive(epoch(0), "c", messenger.RosterUpdate{Facts: []messenger.Fact{dead}})
			}
			var answers []messenger.Message
			for _, o := range m.Receive(epoch(beat), "b", messenger.Probe{Self: fact}) {
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
			Expect(beats).To(HaveLen(map[bool]int{status == 0: 1}[true]), "a Beat says that the sender counts")
		},
		Entry("of a host that is gone", uint8(2), messenger.RosterUpdate{}, "a"),
		Entry("of an unknown host", uint8(0), messenger.Heartbeat{}, "a", "b"),
	)

	// Guards against a superseded process that goes by a roster of long ago.
	It("keeps the roster of a superseded host up to date", func() {
		m := registrar.NewMembers(epoch(0), registrar.Record{Name: "a", Control: "a", Incarnation: 1}, beat)
		hear := func(name string, incarnation uint64) {
			m.Receive(epoch(0), "c", messenger.RosterUpdate{Facts: []messenger.Fact{{Name: name, Control: name, Incarnation: incarnation}}})
		}
		hear("a", 2)
		for i := range 8 {
			hear(fmt.Sprint("h", i), 1)
			m.Tick(epoch(time.Duration(i) * beat))
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
				Expect(f.views()).To(ConsistOf(f.up()), "%s with %s", a, b)
			}
		}
	}, pairLabels())

	It("holds over long schedules of faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(rapid.IntRange(3, 12).Draw(t, "hosts"), rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 2).Draw(t, "regions"))
			f.random.Uint64()
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				f.step(rapid.SampledFrom(f.names).Draw(t, "host"), rapid.IntRange(0, 9).Draw(t, "fault"))
				f.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			}
			f.heal()
			f.run(40 * time.Second)
			if v := f.views(); f.up() != "" && (len(v) != 1 || v[0] != f.up()) {
				t.Fatalf("rosters %q, up %q", v, f.up())
			}
			died := len(f.died)
			f.run(30 * time.Second)
			if len(f.died) != died {
				t.Fatalf("deaths with everything healthy: %v", f.died[died:])
			}
		})
	})
})

// pairLabels names the pairs that the table of pairs proves.
func pairLabels() Labels {
	var out Labels
	for _, a := range everyFault() {
		for _, b := range everyFault() {
			if a != b {
				out = append(out, prover.Pair(prover.Renewed, a, prover.Renewed, b))
			}
		}
	}
	return out
}

// step does one random thing to a host, the links or the store.
func (f *fleet) step(name string, what int) {
	switch what {
	case 0:
		f.kill(name)
	case 1:
		f.revive(name)
	case 2:
		f.freeze(name)
	case 3:
		f.thaw(name)
	case 4:
		f.part(true, true, name)
	case 5:
		f.part(true, false, name)
	case 6:
		f.part(false, true, name)
	case 7:
		f.storeDown = !f.storeDown
	case 8:
		f.doubled = !f.doubled
	case 9:
		f.gap = !f.gap
	}
}

// heal ends every fault; hosts that are down stay so.
func (f *fleet) heal() {
	clear(f.cut)
	f.storeDown, f.doubled, f.gap, f.delay, f.storeWait = false, false, false, latency, 0
	for _, name := range f.names {
		if f.nodes[name].frozen {
			f.thaw(name)
		}
	}
}
