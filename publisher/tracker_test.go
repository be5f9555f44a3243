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

// faultCase is a fault of a host, of the platform, or a race between operators, with the
// functions that start and end it.
type faultCase struct {
	fault prover.Fault
	steps []prover.Step // of a configuration, at which the fault can occur
	begin func(f *fleet, h *host)
	end   func(f *fleet, h *host)
}

var (
	allSteps   = []prover.Step{prover.Pushed, prover.Written, prover.Watched, prover.InForce}
	atPush     = allSteps[:1]
	afterWrite = allSteps[2:]
)

// faultCases are the faults that can occur on the way of a configuration from an operator
// through the platform to the hosts.
var faultCases = []faultCase{
	{prover.Kill, allSteps, func(_ *fleet, h *host) { h.down = true }, func(f *fleet, h *host) { f.boot(h) }},
	{prover.Freeze, allSteps, func(_ *fleet, h *host) { h.frozen = true }, func(_ *fleet, h *host) { h.frozen = false }},
	{prover.CutBothWays, allSteps, func(_ *fleet, h *host) { h.noPeers, h.noStore = true, true }, func(_ *fleet, h *host) { h.noPeers, h.noStore = false, false }},
	{prover.CutOneWay, allSteps, func(_ *fleet, h *host) { h.noReceive = true }, func(_ *fleet, h *host) { h.noReceive = false }},
	{prover.Blackhole, allSteps, func(f *fleet, h *host) { h.watchStalled, f.store.outcomes = true, []outcome{writeLost} }, func(_ *fleet, h *host) { h.watchStalled = false }},
	{prover.StoreDown, allSteps, func(f *fleet, _ *host) { f.store.down = true }, func(f *fleet, _ *host) { f.store.down = false }},
	{prover.StoreSlow, allSteps, func(f *fleet, _ *host) { f.storeDelay = 2 * time.Second }, func(f *fleet, _ *host) { f.storeDelay = 0 }},
	{prover.WatchGap, afterWrite, func(f *fleet, _ *host) { f.skipEvents() }, func(*fleet, *host) {}},
	{prover.Reorder, afterWrite, func(f *fleet, _ *host) { f.duplicate = true }, func(f *fleet, _ *host) { f.duplicate = false }},
	{prover.LostReply, atPush, func(f *fleet, _ *host) { f.store.outcomes = []outcome{replyLost} }, func(*fleet, *host) {}},
	{prover.PushRace, allSteps, func(f *fleet, _ *host) { _ = f.push(newOperator(f.store), "race") }, func(*fleet, *host) {}},
}

// skipEvents makes every watch miss its next event.
func (f *fleet) skipEvents() {
	for _, h := range f.hosts {
		h.watched = f.store.version + 1
	}
}

// cell is a fault that starts at a given step of a configuration.
type cell struct {
	step prover.Step
	faultCase
}

// cells returns every fault at every step at which it can occur.
func cells() []cell {
	var all []cell
	for _, s := range allSteps {
		for _, k := range faultCases {
			if slices.Contains(k.steps, s) {
				all = append(all, cell{s, k})
			}
		}
	}
	return all
}

// simulate pushes configurations while the given faults occur. Each starts at its step:
// before the push, between its read and its write, after the write, or once the push is in
// force. The faults last for twice halfDuration, with another push in the middle. It
// returns the violations.
func simulate(halfDuration time.Duration, faults ...cell) []string {
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
	f.store.beforeWrite = func() { begin(prover.Written) }
	err := f.push(ann, "second")
	if f.store.beforeWrite != nil { // the push did not get as far as its write
		f.store.beforeWrite()
		f.store.beforeWrite = nil
	}
	begin(prover.Watched)
	f.run(2 * step)
	begin(prover.InForce)
	f.run(halfDuration)
	_ = f.push(newOperator(f.store), "third")
	f.run(halfDuration)
	for i, c := range faults {
		c.end(f, f.hosts[i])
	}
	if err != nil {
		_ = f.push(ann, "second") // the operator pushes again
	}
	_ = f.push(newOperator(f.store), "fourth")
	f.run(2 * maxDelay)
	for _, h := range f.hosts {
		if !h.ready || h.active.Generation != f.store.head().Generation {
			f.violations = append(f.violations, fmt.Sprintf("%s ends with %d, ready %t", h.name, h.active.Generation, h.ready))
		}
	}
	for _, name := range []string{"first.json", "second.json", "fourth.json"} {
		if _, ok := f.store.head().Files[name]; !ok {
			f.violations = append(f.violations, name+" is lost")
		}
	}
	return f.violations
}

var _ = Describe("A fleet", func() {
	// Guards against a host that keeps an old configuration after an accepted push, or returns
	// to it: its watch stalled or missed the change, its link or the platform was down, it was
	// frozen or restarted, or a late frame carried an older state.
	all := cells()
	for i, a := range all {
		It(fmt.Sprintf("keeps each accepted push in force, %s at %s", a.fault, a.step), Label(prover.Cell(a.step, a.fault)), func() {
			Expect(simulate(6*time.Second, a)).To(BeEmpty())
			Expect(simulate(20*time.Second, a)).To(BeEmpty())
		})
		for _, b := range all[i:] {
			pair := Label(prover.Pair(a.step, a.fault, b.step, b.fault))
			It(fmt.Sprintf("keeps each accepted push in force, %s at %s and %s at %s", a.fault, a.step, b.fault, b.step), pair, func() {
				Expect(simulate(20*time.Second, a, b)).To(BeEmpty())
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

	// Guards against an outage of the platform that makes all hosts unready, which leaves the
	// load balancer without any host for its callers.
	It("stays ready during an outage of the platform, as peers confirm its generation", Label(prover.Cell(prover.InForce, prover.StoreDown)), func() {
		f.store.down = true
		f.run(10 * time.Minute)
		for _, h := range f.hosts {
			Expect(h.ready).To(BeTrue())
			Expect(h.unreadyCount).To(BeZero())
		}
	})

	// Guards against a host that stays ready with a configuration that was replaced, while it
	// is disconnected from the platform and all other hosts.
	It("becomes unready when no source confirms its generation, and ready again", Label(prover.Cell(prover.InForce, prover.CutBothWays)), func() {
		f.hosts[0].noPeers, f.hosts[0].noStore = true, true
		f.run(11 * time.Second)
		Expect(f.hosts[0].ready).To(BeFalse())
		Expect(f.hosts[1].ready).To(BeTrue())
		f.hosts[0].noPeers, f.hosts[0].noStore = false, false
		f.run(6 * time.Second)
		Expect(f.hosts[0].ready).To(BeTrue())
	})

	// Guards against peers with the same old generation that keep confirming a host, while
	// another peer announces a newer generation that can't be fetched from it.
	It("becomes unready if a newer generation is announced that it can't get", Label(prover.Pair(prover.InForce, prover.StoreDown, prover.InForce, prover.CutOneWay)), func() {
		f.store.down = true
		h := f.hosts[0]
		for range 60 {
			f.handle(h, publisher.GenerationReceived{Peer: "h9", Generation: h.active.Generation + 7})
			f.run(step)
		}
		Expect(h.ready).To(BeFalse())
		Expect(h.tracker.Status(f.now).Newer).To(Equal(h.active.Generation + 7))
		f.run(20 * time.Second)
		Expect(h.ready).To(BeTrue(), "a generation that is no longer announced is given up")
	})

	// Guards against a push that reaches only one host, because the platform goes down just
	// after it.
	It("gets a configuration from a peer while the platform is down", Label(prover.Cell(prover.Watched, prover.StoreDown), prover.Pair(prover.Watched, prover.CutBothWays, prover.InForce, prover.StoreDown)), func() {
		f.hosts[0].noStore, f.hosts[1].noStore = true, true
		f.hosts[0].noPeers, f.hosts[1].noPeers = true, true
		Expect(f.push(newOperator(f.store), "third")).To(Succeed())
		f.run(2 * time.Second)
		f.store.down = true
		f.hosts[0].noPeers, f.hosts[1].noPeers = false, false
		f.run(4 * time.Second)
		Expect(f.hosts[0].active.Generation).To(Equal(f.hosts[2].active.Generation))
		Expect(f.hosts[1].active.Generation).To(Equal(f.hosts[2].active.Generation))
	})

	// Guards against a host that starts during an outage of the platform with the generation
	// of the first peer that answers, while another peer has a newer one.
	It("starts with the highest generation of its peers while the platform is down", Label(prover.Pair(prover.InForce, prover.StoreDown, prover.InForce, prover.Kill), prover.Cell(prover.RoleTaken, prover.StoreDown)), func() {
		f.hosts[1].noStore, f.hosts[1].noPeers = true, true
		Expect(f.push(newOperator(f.store), "third")).To(Succeed())
		f.run(2 * time.Second)
		newest := f.hosts[2].active.Generation
		Expect(f.hosts[1].active.Generation).To(BeNumerically("<", newest))
		f.store.down, f.hosts[1].noPeers = true, false
		f.boot(f.hosts[0])
		f.run(5 * time.Second)
		Expect(f.hosts[0].history).To(Equal([]uint64{newest}))
		Expect(f.hosts[1].active.Generation).To(Equal(newest))
	})

	// Guards against hosts that return to a replaced configuration after the platform was
	// restored from a backup.
	It("does not follow a platform with an older generation, not even when it starts", Label(prover.Cell(prover.InForce, prover.Kill)), func() {
		old, version := f.store.value, f.store.version
		Expect(f.push(newOperator(f.store), "third")).To(Succeed())
		f.run(5 * time.Second)
		newest := f.hosts[0].active.Generation
		f.store.value, f.store.version = old, version
		f.boot(f.hosts[0])
		f.run(time.Minute)
		Expect(f.hosts[0].history).To(Equal([]uint64{newest}))
		for _, h := range f.hosts {
			Expect(h.active.Generation).To(Equal(newest))
			Expect(h.ready).To(BeTrue())
		}
		Expect(f.violations).To(BeEmpty())
		f.accepted = nil
		_, err := newOperator(f.store).edit("fourth", 1).push(f.now.Unix())
		Expect(err).NotTo(HaveOccurred())
		f.run(maxDelay)
		Expect(f.hosts[0].active.Generation).To(BeNumerically(">", newest))
	})

	// Guards against a host that loses its configuration because the object was overwritten
	// with invalid data, or with settings of a newer release that this one can't read.
	DescribeTable("keeps the last good configuration if the stored one is invalid, and reports why",
		func(spoil func(s *fakeStore), reason string) {
			good := f.hosts[0].active.Generation
			spoil(f.store)
			f.run(time.Minute)
			for _, h := range f.hosts {
				Expect(h.active.Generation).To(Equal(good))
				Expect(h.ready).To(BeTrue())
				Expect(h.tracker.Status(f.now).Reason).To(ContainSubstring(reason))
			}
		},
		Entry("invalid data", func(s *fakeStore) { s.value, s.version = []byte("rubbish"), s.version+1 }, "bad configuration object"),
	)

	// Guards against an overload of the platform by the polls of 360 hosts.
	It("reads the platform no more often than the poll interval", func() {
		before := f.hosts[0].reads
		f.run(10 * time.Minute)
		Expect(f.hosts[0].reads - before).To(BeNumerically("<=", 10*60/4))
	})
})

// TestFleet simulates random schedules of pushes and concurrent faults, and checks the
// invariants of the fleet.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 4).Draw(t, "hosts"))
		type activeFault struct {
			faultCase
			host *host
		}
		var active []activeFault
		for i := range rapid.IntRange(1, 10).Draw(t, "steps") {
			k := rapid.SampledFrom(faultCases).Draw(t, "fault")
			h := rapid.SampledFrom(f.hosts).Draw(t, "host")
			switch rapid.IntRange(0, 2).Draw(t, "act") {
			case 0:
				_ = f.push(newOperator(f.store), fmt.Sprintf("c%d", i))
			case 1:
				k.begin(f, h)
				active = append(active, activeFault{k, h})
			case 2:
				if len(active) > 0 {
					active[0].end(f, active[0].host)
					active = active[1:]
				}
			}
			f.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "steps of time")) * step)
		}
		for _, o := range active {
			o.end(f, o.host)
		}
		f.run(2 * maxDelay)
		for _, h := range f.hosts {
			if len(f.accepted) > 0 && !h.ready {
				f.violations = append(f.violations, h.name+" ends unready")
			}
		}
		if len(f.violations) > 0 {
			t.Fatalf("%v", f.violations[0])
		}
	})
}

// Guards against a host without a configuration whose frequent requests to arbitrary peers
// keep it from requesting a generation that a peer announced.
var _ = Describe("A host that found no configuration", func() {
	It("reads the platform as soon as a peer announces one", func() {
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
