package publisher_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/publisher"
)

// trouble is a fault at one host of a fleet, or at its platform.
type trouble struct {
	fault prover.Fault
	begin func(f *fleet, h *host)
	end   func(f *fleet, h *host)
}

// troubles is the faults that can hit a configuration between the platform and
// the hosts.
var troubles = []trouble{
	{prover.Kill, func(_ *fleet, h *host) { h.dead = true }, func(f *fleet, h *host) { f.boot(h) }},
	{prover.Freeze, func(_ *fleet, h *host) { h.frozen = true }, func(_ *fleet, h *host) { h.frozen = false }},
	{prover.CutBoth, func(_ *fleet, h *host) { h.noPeers, h.noStore = true, true }, func(_ *fleet, h *host) { h.noPeers, h.noStore = false, false }},
	{prover.CutOne, func(_ *fleet, h *host) { h.deaf = true }, func(_ *fleet, h *host) { h.deaf = false }},
	{prover.Silence, func(_ *fleet, h *host) { h.silent = true }, func(_ *fleet, h *host) { h.silent = false }},
	{prover.StoreDown, func(f *fleet, _ *host) { f.store.down = true }, func(f *fleet, _ *host) { f.store.down = false }},
	{prover.StoreSlow, func(f *fleet, _ *host) { f.slow = 2 * time.Second }, func(f *fleet, _ *host) { f.slow = 0 }},
	{prover.WatchGap, func(f *fleet, _ *host) { f.skip() }, func(f *fleet, _ *host) { f.skip() }},
	{prover.Reorder, func(f *fleet, _ *host) { f.crossed = true }, func(f *fleet, _ *host) { f.crossed = false }},
	{prover.LostReply, func(f *fleet, _ *host) { f.store.fates = []outcome{lost, lost} }, func(f *fleet, _ *host) { f.store.fates = nil }},
	{prover.Race, func(f *fleet, _ *host) { f.store.before = func() { _ = f.push("race", 1) } }, func(f *fleet, _ *host) { f.store.before = nil }},
}

// skip loses the next event of every watch.
func (f *fleet) skip() {
	for _, h := range f.hosts {
		h.watched = f.store.version + 1
	}
}

// moments is the steps of a configuration at which a fault begins: before the
// push, right after the write, and once it is in force somewhere.
var moments = []struct {
	step  prover.Step
	after time.Duration // of the push
}{
	{prover.Pushed, -step},
	{prover.Watched, 0},
	{prover.InForce, 2 * step},
}

// play pushes around a fault of each kind, lets both last past every bound, ends
// them, and returns the broken promises.
func play(a, b trouble, at time.Duration, hold time.Duration) []string {
	f := newFleet(3)
	if err := f.push("first", 0); err != nil {
		return []string{err.Error()}
	}
	f.run(5 * time.Second)
	start := func() {
		a.begin(f, f.hosts[0])
		b.begin(f, f.hosts[1])
	}
	if at < 0 {
		start()
	}
	err := f.push("second", 1)
	f.run(max(at, 0))
	if at >= 0 {
		start()
	}
	f.run(hold)
	_ = f.push("third", 2)
	f.run(hold)
	a.end(f, f.hosts[0])
	b.end(f, f.hosts[1])
	if err != nil {
		_ = f.push("second", 1) // the operator's second try
	}
	_ = f.push("fourth", 3)
	f.run(2 * bound)
	for _, h := range f.hosts {
		if !h.ready || h.force.Generation != f.store.head().Generation {
			f.faults = append(f.faults, fmt.Sprintf("%s ends with %d, ready %t", h.name, h.force.Generation, h.ready))
		}
	}
	return f.faults
}

var _ = Describe("A fleet", func() {
	// Operators see "accepted", and yet some host serves the old settings minutes
	// later, or returns to them: its watch went silent or skipped the change, its
	// link or the platform was down just then, it was frozen or started afresh, or
	// a late frame brought an older state.
	nothing := trouble{begin: func(*fleet, *host) {}, end: func(*fleet, *host) {}}
	for _, m := range moments {
		for i, a := range troubles {
			labels := Label(prover.Cell(m.step, a.fault))
			It(fmt.Sprintf("has each accepted push in force for good, %s at %s", a.fault, m.step), labels, func() {
				Expect(play(a, nothing, m.after, 6*time.Second)).To(BeEmpty())
				Expect(play(a, nothing, m.after, 20*time.Second)).To(BeEmpty())
			})
			for _, b := range troubles[i:] {
				pair := Label(prover.Pair(m.step, a.fault, m.step, b.fault))
				It(fmt.Sprintf("has each accepted push in force for good, %s and %s at %s", a.fault, b.fault, m.step), pair, func() {
					Expect(play(a, b, m.after, 6*time.Second)).To(BeEmpty())
					Expect(play(a, b, m.after, 20*time.Second)).To(BeEmpty())
				})
			}
		}
	}
})

var _ = Describe("A host", func() {
	var f *fleet
	BeforeEach(func() {
		f = newFleet(3)
		Expect(f.push("first", 0)).To(Succeed())
		f.run(5 * time.Second)
		Expect(f.push("second", 0)).To(Succeed())
		f.run(5 * time.Second)
	})

	// The platform is down for ten minutes. If hosts turned unready for that, the
	// balancer would have nowhere to send callers.
	It("stays ready through an outage of the platform, as peers confirm it", Label(prover.Cell(prover.InForce, prover.StoreDown)), func() {
		f.store.down = true
		f.run(10 * time.Minute)
		for _, h := range f.hosts {
			Expect(h.ready).To(BeTrue())
			Expect(h.unready).To(BeZero())
		}
	})

	// A host is cut off from all others and the platform. It would serve settings
	// that operators replaced, for as long as the balancer sends it callers.
	It("turns unready when nobody confirms its generation, and ready again", Label(prover.Cell(prover.InForce, prover.CutBoth)), func() {
		f.hosts[0].noPeers, f.hosts[0].noStore = true, true
		f.run(11 * time.Second)
		Expect(f.hosts[0].ready).To(BeFalse())
		Expect(f.hosts[1].ready).To(BeTrue())
		f.hosts[0].noPeers, f.hosts[0].noStore = false, false
		f.run(6 * time.Second)
		Expect(f.hosts[0].ready).To(BeTrue())
	})

	It("turns unready where it learns of a newer generation that it can't get", Label(prover.Pair(prover.InForce, prover.StoreDown, prover.InForce, prover.CutOne)), func() {
		f.store.down = true
		f.run(step)
		h := f.hosts[0]
		h.noPeers = true
		for range 60 {
			f.feed(h, publisher.PeerSeen{Peer: "h9", Generation: h.force.Generation + 7})
			f.run(step)
		}
		Expect(h.ready).To(BeFalse())
	})

	// In an outage a host is replaced. The fresh one must not come up with what
	// the first peer to answer has, where another has a newer generation.
	It("takes the highest of its peers when it starts in an outage", Label(prover.Pair(prover.InForce, prover.StoreDown, prover.InForce, prover.Kill), prover.Cell(prover.Taken, prover.StoreDown)), func() {
		f.hosts[1].noStore, f.hosts[1].noPeers = true, true
		Expect(f.push("third", 0)).To(Succeed())
		f.run(2 * time.Second)
		newest := f.hosts[2].force.Generation
		Expect(f.hosts[1].force.Generation).To(BeNumerically("<", newest))
		f.store.down, f.hosts[1].noPeers = true, false
		f.boot(f.hosts[0])
		first := publisher.Head{}
		for range 20 {
			f.run(step)
			if first.Generation == 0 {
				first = f.hosts[0].force
			}
		}
		Expect(first.Generation).To(Equal(newest))
	})

	// The platform is restored from last week's backup. Hosts that follow it would
	// bring back settings that were replaced, with nobody having pushed them.
	It("does not follow a platform that went back, also when it starts afresh", Label(prover.Pair(prover.InForce, prover.WatchGap, prover.InForce, prover.Kill)), func() {
		old, version := f.store.value, f.store.version
		Expect(f.push("third", 0)).To(Succeed())
		f.run(5 * time.Second)
		newest := f.hosts[0].force.Generation
		f.store.value, f.store.version = old, version
		f.boot(f.hosts[0])
		f.run(time.Minute)
		for _, h := range f.hosts {
			Expect(h.force.Generation).To(Equal(newest))
			Expect(h.ready).To(BeTrue())
		}
		Expect(f.faults).To(BeEmpty())
		f.accepted = nil
		_, err := newOperator(f.store).edit("fourth", 1).push(f.now.Unix())
		Expect(err).NotTo(HaveOccurred())
		f.run(bound)
		Expect(f.hosts[0].force.Generation).To(BeNumerically(">", newest))
	})

	// Somebody writes rubbish over the object, or a newer program's settings that
	// this one can't read: it goes on with the last good ones and says so.
	DescribeTable("keeps the last good configuration where the stored one is bad",
		func(spoil func(s *fakeStore), reason string) {
			good := f.hosts[0].force.Generation
			spoil(f.store)
			f.run(time.Minute)
			for _, h := range f.hosts {
				Expect(h.force.Generation).To(Equal(good))
				Expect(h.ready).To(BeTrue())
				Expect(h.tracker.Status(f.now).Reason).To(ContainSubstring(reason))
			}
		},
		Entry("rubbish", func(s *fakeStore) { s.value, s.version = []byte("rubbish"), s.version+1 }, "bad configuration object"),
	)

	// 360 hosts must leave the platform room for everything else.
	It("reads the platform no more often than the poll", func() {
		before := f.hosts[0].reads
		f.run(10 * time.Minute)
		Expect(f.hosts[0].reads - before).To(BeNumerically("<=", 10*60/4))
	})
})

// TestFleet plays random schedules of pushes and faults, several at a time, and
// holds the history against the promise.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 4).Draw(t, "hosts"))
		type running struct {
			trouble
			host *host
		}
		var open []running
		for i := range rapid.IntRange(1, 10).Draw(t, "steps") {
			k := rapid.SampledFrom(troubles).Draw(t, "fault")
			h := rapid.SampledFrom(f.hosts).Draw(t, "host")
			switch rapid.IntRange(0, 2).Draw(t, "act") {
			case 0:
				_ = f.push(fmt.Sprintf("c%d", i), i)
			case 1:
				k.begin(f, h)
				open = append(open, running{k, h})
			case 2:
				if len(open) > 0 {
					open[0].end(f, open[0].host)
					open = open[1:]
				}
			}
			f.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "steps of time")) * step)
		}
		for _, o := range open {
			o.end(f, o.host)
		}
		f.run(2 * bound)
		for _, h := range f.hosts {
			if len(f.accepted) > 0 && !h.ready {
				f.faults = append(f.faults, h.name+" ends unready")
			}
		}
		if len(f.faults) > 0 {
			t.Fatalf("%v", f.faults[0])
		}
	})
}
