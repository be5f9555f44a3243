package publisher_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/publisher"
)

// trouble is a fault at one host of a fleet, at its platform, or among operators.
type trouble struct {
	fault prover.Fault
	steps []prover.Step // at which it can hit a configuration
	begin func(f *fleet, h *host)
	end   func(f *fleet, h *host)
}

var (
	everywhere = []prover.Step{prover.Pushed, prover.Written, prover.Watched, prover.InForce}
	atPush     = everywhere[:1]
	afterWrite = everywhere[2:]
)

// troubles is the faults that can hit a configuration between its operator, the
// platform and the hosts.
var troubles = []trouble{
	{prover.Kill, everywhere, func(_ *fleet, h *host) { h.dead = true }, func(f *fleet, h *host) { f.boot(h) }},
	{prover.Freeze, everywhere, func(_ *fleet, h *host) { h.frozen = true }, func(_ *fleet, h *host) { h.frozen = false }},
	{prover.CutBoth, everywhere, func(_ *fleet, h *host) { h.noPeers, h.noStore = true, true }, func(_ *fleet, h *host) { h.noPeers, h.noStore = false, false }},
	{prover.CutOne, everywhere, func(_ *fleet, h *host) { h.deaf = true }, func(_ *fleet, h *host) { h.deaf = false }},
	{prover.Silence, everywhere, func(f *fleet, h *host) { h.silent, f.store.fates = true, []outcome{dropped} }, func(_ *fleet, h *host) { h.silent = false }},
	{prover.StoreDown, everywhere, func(f *fleet, _ *host) { f.store.down = true }, func(f *fleet, _ *host) { f.store.down = false }},
	{prover.StoreSlow, everywhere, func(f *fleet, _ *host) { f.slow = 2 * time.Second }, func(f *fleet, _ *host) { f.slow = 0 }},
	{prover.WatchGap, afterWrite, func(f *fleet, _ *host) { f.skip() }, func(*fleet, *host) {}},
	{prover.Reorder, afterWrite, func(f *fleet, _ *host) { f.crossed = true }, func(f *fleet, _ *host) { f.crossed = false }},
	{prover.LostReply, atPush, func(f *fleet, _ *host) { f.store.fates = []outcome{lost} }, func(*fleet, *host) {}},
	{prover.Race, everywhere, func(f *fleet, _ *host) { _ = f.push(newOperator(f.store), "race") }, func(*fleet, *host) {}},
}

// skip loses the next event of every watch.
func (f *fleet) skip() {
	for _, h := range f.hosts {
		h.watched = f.store.version + 1
	}
}

// cell is a fault that begins at a step of a configuration.
type cell struct {
	step prover.Step
	trouble
}

// cells is every fault at every step that it can hit.
func cells() []cell {
	var all []cell
	for _, s := range everywhere {
		for _, k := range troubles {
			if slices.Contains(k.steps, s) {
				all = append(all, cell{s, k})
			}
		}
	}
	return all
}

// play pushes around faults, each of which begins at its step: before the push,
// between its read and its write, after the write, or once it is in force. They
// last hold, through another push, and end. It returns the broken promises.
func play(hold time.Duration, faults ...cell) []string {
	f := newFleet(3)
	if err := f.push(newOperator(f.store), "first"); err != nil {
		return []string{err.Error()}
	}
	f.run(5 * time.Second)
	begin := func(s prover.Step) {
		for i, c := range faults {
			if c.step == s {
				c.begin(f, f.hosts[i])
			}
		}
	}
	ann := newOperator(f.store)
	begin(prover.Pushed)
	f.store.before = func() { begin(prover.Written) }
	err := f.push(ann, "second")
	if f.store.before != nil { // the push did not get as far as its write
		f.store.before()
		f.store.before = nil
	}
	begin(prover.Watched)
	f.run(2 * step)
	begin(prover.InForce)
	f.run(hold)
	_ = f.push(newOperator(f.store), "third")
	f.run(hold)
	for i, c := range faults {
		c.end(f, f.hosts[i])
	}
	if err != nil {
		_ = f.push(ann, "second") // the operator's second try
	}
	_ = f.push(newOperator(f.store), "fourth")
	f.run(2 * bound)
	for _, h := range f.hosts {
		if !h.ready || h.force.Generation != f.store.head().Generation {
			f.faults = append(f.faults, fmt.Sprintf("%s ends with %d, ready %t", h.name, h.force.Generation, h.ready))
		}
	}
	for _, name := range []string{"first.json", "second.json", "fourth.json"} {
		if _, ok := f.store.head().Files[name]; !ok {
			f.faults = append(f.faults, name+" is lost")
		}
	}
	return f.faults
}

var _ = Describe("A fleet", func() {
	// Operators see "accepted", and yet some host serves the old settings minutes
	// later, or returns to them: its watch went silent or skipped the change, its
	// link or the platform was down just then, it was frozen or started afresh, or
	// a late frame brought an older state.
	all := cells()
	for i, a := range all {
		It(fmt.Sprintf("has each accepted push in force for good, %s at %s", a.fault, a.step), Label(prover.Cell(a.step, a.fault)), func() {
			Expect(play(6*time.Second, a)).To(BeEmpty())
			Expect(play(20*time.Second, a)).To(BeEmpty())
		})
		for _, b := range all[i:] {
			pair := Label(prover.Pair(a.step, a.fault, b.step, b.fault))
			It(fmt.Sprintf("has each accepted push in force for good, %s at %s and %s at %s", a.fault, a.step, b.fault, b.step), pair, func() {
				Expect(play(20*time.Second, a, b)).To(BeEmpty())
			})
		}
	}
})

var _ = Describe("A host", func() {
	var f *fleet
	BeforeEach(func() {
		f = newFleet(3)
		Expect(f.push(newOperator(f.store), "first")).To(Succeed())
		f.run(5 * time.Second)
		Expect(f.push(newOperator(f.store), "second")).To(Succeed())
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

	// Peers as far behind as itself go on confirming a host, while one that it
	// can't fetch from tells of a newer generation.
	It("turns unready where it learns of a newer generation that it can't get", Label(prover.Pair(prover.InForce, prover.StoreDown, prover.InForce, prover.CutOne)), func() {
		f.store.down = true
		h := f.hosts[0]
		for range 60 {
			f.feed(h, publisher.GenerationReceived{Peer: "h9", Generation: h.force.Generation + 7})
			f.run(step)
		}
		Expect(h.ready).To(BeFalse())
		Expect(h.tracker.Status(f.now).Newer).To(Equal(h.force.Generation + 7))
		f.run(20 * time.Second)
		Expect(h.ready).To(BeTrue(), "what nobody tells of any more is given up")
	})

	// A push lands, one host learns of it, and the platform goes down for an hour.
	It("gets from a peer what the platform can't tell any more", Label(prover.Cell(prover.Watched, prover.StoreDown), prover.Pair(prover.Watched, prover.CutBoth, prover.InForce, prover.StoreDown)), func() {
		f.hosts[0].noStore, f.hosts[1].noStore = true, true
		f.hosts[0].noPeers, f.hosts[1].noPeers = true, true
		Expect(f.push(newOperator(f.store), "third")).To(Succeed())
		f.run(2 * time.Second)
		f.store.down = true
		f.hosts[0].noPeers, f.hosts[1].noPeers = false, false
		f.run(4 * time.Second)
		Expect(f.hosts[0].force.Generation).To(Equal(f.hosts[2].force.Generation))
		Expect(f.hosts[1].force.Generation).To(Equal(f.hosts[2].force.Generation))
	})

	// In an outage a host is replaced. The fresh one must not come up with what
	// the first peer to answer has, where another has a newer generation.
	It("takes the highest of its peers when it starts in an outage", Label(prover.Pair(prover.InForce, prover.StoreDown, prover.InForce, prover.Kill), prover.Cell(prover.Taken, prover.StoreDown)), func() {
		f.hosts[1].noStore, f.hosts[1].noPeers = true, true
		Expect(f.push(newOperator(f.store), "third")).To(Succeed())
		f.run(2 * time.Second)
		newest := f.hosts[2].force.Generation
		Expect(f.hosts[1].force.Generation).To(BeNumerically("<", newest))
		f.store.down, f.hosts[1].noPeers = true, false
		f.boot(f.hosts[0])
		f.run(5 * time.Second)
		Expect(f.hosts[0].history).To(Equal([]uint64{newest}))
		Expect(f.hosts[1].force.Generation).To(Equal(newest))
	})

	// The platform is restored from last week's backup. Hosts that follow it would
	// bring back settings that were replaced, with nobody having pushed them.
	It("does not follow a platform that went back, also when it starts afresh", Label(prover.Cell(prover.InForce, prover.Kill)), func() {
		old, version := f.store.value, f.store.version
		Expect(f.push(newOperator(f.store), "third")).To(Succeed())
		f.run(5 * time.Second)
		newest := f.hosts[0].force.Generation
		f.store.value, f.store.version = old, version
		f.boot(f.hosts[0])
		f.run(time.Minute)
		Expect(f.hosts[0].history).To(Equal([]uint64{newest}))
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
				_ = f.push(newOperator(f.store), fmt.Sprintf("c%d", i))
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

// Guards against a host without a configuration that asks just any peers so often that it
// never asks for the one that it was told of.
var _ = Describe("A host that found no configuration", func() {
	It("reads the platform as soon as a peer tells of one", func() {
		at := time.Unix(1000, 0)
		t := publisher.NewTracker(publisher.Timing{}, func() float64 { return 0 }, at)
		t.Handle(at, publisher.Tick{})
		t.Handle(at.Add(10*time.Millisecond), publisher.HeadRead{})
		for range 8 {
			at = at.Add(250 * time.Millisecond)
			t.Handle(at, publisher.Tick{})
		}
		out := t.Handle(at.Add(50*time.Millisecond), publisher.GenerationReceived{Peer: "h9", Generation: 4})
		Expect(out).To(ContainElement(publisher.ReadPlatform{}))
	})
})
