package reacher_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/reacher"
)

func TestReacher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reacher")
}

const (
	w1 = "10.0.0.1:80"
	w2 = "10.0.0.2:80"
	w3 = "10.0.0.3:80" // of another service
)

// newTable returns the table of host h-0 in zone a, beside the given numbers of hosts in its
// zone and in zone b.
func newTable(own, other int) *reacher.Table {
	t := &reacher.Table{}
	t.SetWorkers([]reacher.Worker{{Address: w1, Service: "s"}, {Address: w2, Service: "s"}, {Address: w3, Service: "other"}})
	var hosts []reacher.Host
	for i := range own {
		hosts = append(hosts, reacher.Host{Name: fmt.Sprint("a-", i), Zone: "a", Incarnation: 1})
	}
	for i := range other {
		hosts = append(hosts, reacher.Host{Name: fmt.Sprint("b-", i), Zone: "b", Incarnation: 1})
	}
	t.SetHosts("h-0", "a", hosts)
	return t
}

func names(hosts []reacher.Host) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return out
}

var _ = Describe("Table", func() {
	now := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return now.Add(d) }
	// lose has a table find a worker lost, by a host that reaches it.
	lose := func(t *reacher.Table, at time.Time, address string) {
		t.Failed(at, address)
		ExpectWithOffset(1, t.Helped(at, "a-0", address, false)).To(Equal(reacher.Lost))
	}

	It("connects directly, with hosts of the own and of other zones to follow", func() {
		p := newTable(2, 5).Plan(now, w1)
		Expect(p.Direct).To(BeTrue())
		Expect(p.Helpers).To(HaveLen(3))
		zones := map[string]int{}
		for _, h := range p.Helpers {
			zones[h.Zone]++
		}
		Expect(zones).To(Equal(map[string]int{"a": 2, "b": 1}))
	})

	It("finds a worker lost only if another host reaches it", func() {
		t := newTable(2, 0)
		Expect(t.Failed(now, w1)).To(Equal(reacher.Unchanged))
		Expect(t.Lost(w1)).To(BeFalse())
		Expect(t.Helped(after(time.Millisecond), "a-0", w1, false)).To(Equal(reacher.Lost))
		Expect(t.Lost(w1)).To(BeTrue())
		Expect(t.Plan(after(time.Millisecond), w1).Direct).To(BeFalse())
		Expect(t.Lost(w2)).To(BeFalse())
	})

	It("finds it lost also if the other host was faster than the direct attempt", func() {
		t := newTable(2, 0)
		Expect(t.Helped(now, "a-0", w1, false)).To(Equal(reacher.Unchanged))
		Expect(t.Failed(after(400*time.Millisecond), w1)).To(Equal(reacher.Lost))
	})

	It("does not find a slow worker lost that it connects to in the end", func() {
		t := newTable(2, 0)
		t.Helped(now, "a-0", w1, false)
		t.Connected(after(100*time.Millisecond), w1, false)
		Expect(t.Lost(w1)).To(BeFalse())
		Expect(t.Plan(after(time.Second), w1).Direct).To(BeTrue())
	})

	It("finds a worker lost whose connections are accepted and closed at once, until one lasts", func() {
		t := newTable(2, 0)
		t.Closed(now, w1)
		Expect(t.Connected(after(time.Millisecond), w1, false)).To(Equal(reacher.Unchanged))
		Expect(t.Helped(after(2*time.Millisecond), "a-0", w1, false)).To(Equal(reacher.Unchanged), "it may be closed at once too")
		Expect(t.Helped(after(2*time.Millisecond), "a-0", w1, true)).To(Equal(reacher.Lost))
		Expect(t.Connected(after(time.Second), w1, false)).To(Equal(reacher.Unchanged))
		Expect(t.Lost(w1)).To(BeTrue())
		Expect(t.Connected(after(2*time.Second), w1, true)).To(Equal(reacher.Returned))
	})

	It("probes the other workers as one is lost, and the lost one again and again", func() {
		t := newTable(2, 0)
		lose(t, now, w1)
		Expect(t.Due(now, 8)).To(ConsistOf(w2, w3))
		Expect(t.Due(after(499*time.Millisecond), 8)).To(BeEmpty())
		Expect(t.Due(after(500*time.Millisecond), 8)).To(ConsistOf(w1))
		t.Failed(after(900*time.Millisecond), w1)
		Expect(t.Due(after(1300*time.Millisecond), 8)).To(BeEmpty())
		Expect(t.Due(after(1400*time.Millisecond), 8)).To(ConsistOf(w1))
	})

	It("goes back with the first direct connection, and probes the others that are lost", func() {
		t := newTable(2, 0)
		lose(t, now, w1)
		lose(t, now, w2)
		Expect(t.Connected(after(10*time.Second), w1, false)).To(Equal(reacher.Returned))
		Expect(t.Plan(after(10*time.Second), w1).Direct).To(BeTrue())
		Expect(t.Due(after(10*time.Second), 8)).To(ContainElement(w2))
	})

	It("goes back later to a worker that was lost twice in a short time", func() {
		t := newTable(2, 0)
		lose(t, now, w1)
		t.Connected(after(time.Second), w1, false)
		lose(t, after(2*time.Second), w1)
		Expect(t.Connected(after(3*time.Second), w1, false)).To(Equal(reacher.Unchanged))
		Expect(t.Lost(w1)).To(BeTrue())
		t.Failed(after(3500*time.Millisecond), w1)
		Expect(t.Connected(after(4200*time.Millisecond), w1, false)).To(Equal(reacher.Unchanged))
		Expect(t.Connected(after(5200*time.Millisecond), w1, false)).To(Equal(reacher.Returned))
	})

	It("avoids a worker that no host connects to for a second, and probes it", func() {
		t := newTable(1, 0)
		t.Failed(now, w1)
		t.Block(now, w1)
		Expect(t.Blocked(after(300*time.Millisecond), w1)).To(Equal(700 * time.Millisecond))
		Expect(t.Due(after(500*time.Millisecond), 8)).To(ConsistOf(w1))
		t.Connected(after(600*time.Millisecond), w1, false)
		Expect(t.Blocked(after(600*time.Millisecond), w1)).To(BeZero())
	})

	It("compares with another worker of the same service, or of another one if there is none", func() {
		t := newTable(1, 0)
		other, ok := t.Comparison(w1)
		Expect(ok).To(BeTrue())
		Expect(other).To(Equal(w2))
		other, ok = t.Comparison(w3)
		Expect(ok).To(BeTrue())
		Expect(other).To(Equal(w1))
		t.Connected(now, w1, false)
		Expect(t.Witness(now, w3)).To(BeTrue(), "its service has no other worker")
		t.SetWorkers([]reacher.Worker{{Address: w1, Service: "s"}})
		_, ok = t.Comparison(w1)
		Expect(ok).To(BeFalse())
	})

	It("is a witness only if it just connected to another worker of the service, and lost none", func() {
		t := newTable(1, 0)
		Expect(t.Witness(now, w1)).To(BeFalse())
		t.Connected(now, w3, false)
		Expect(t.Witness(now, w1)).To(BeFalse(), "it may have lost this service only")
		t.Connected(now, w2, false)
		Expect(t.Witness(after(900*time.Millisecond), w1)).To(BeTrue())
		Expect(t.Witness(after(time.Second), w1)).To(BeFalse())
		t.Connected(after(2*time.Second), w2, false)
		lose(t, after(2*time.Second), w3)
		Expect(t.Witness(after(2*time.Second), w1)).To(BeFalse())
	})

	It("does not avoid a worker that a witness finds down, so that it counts as such", func() {
		t := newTable(1, 0)
		t.Block(now, w1)
		t.Down(now, w1)
		Expect(t.Blocked(now, w1)).To(BeZero())
		Expect(t.IsDown(after(time.Second), w1)).To(BeTrue())
		Expect(t.IsDown(after(2*time.Second), w1)).To(BeFalse())
	})

	DescribeTable("asks a host again after a time that depends on its reason", func(r reacher.Reason, wait, until time.Duration, others bool) {
		t := newTable(1, 0)
		t.Declined(now, "a-0", w1, r, wait)
		Expect(t.Plan(after(until-time.Millisecond), w1).Helpers).To(BeEmpty())
		Expect(t.Plan(after(until-time.Millisecond), w2).Helpers).To(HaveLen(map[bool]int{true: 1, false: 0}[others]))
		Expect(t.Plan(after(until), w1).Helpers).To(HaveLen(1))
	},
		Entry("it can't connect either", reacher.Unreached, time.Duration(0), 2*time.Second, true),
		Entry("the worker wants no requests from it", reacher.Resting, 5*time.Second, 5*time.Second, true),
		Entry("it is full", reacher.Full, time.Duration(0), 500*time.Millisecond, false),
		Entry("it does not answer", reacher.Silent, time.Duration(0), 2*time.Second, false),
		Entry("it stops", reacher.Stopping, time.Duration(0), 10*time.Second, false),
		Entry("it states the longest time", reacher.Resting, time.Duration(math.MaxInt64), time.Minute, true),
		Entry("it states a negative time", reacher.Resting, time.Duration(math.MinInt64), time.Second, true),
		Entry("it states a reason of its own", reacher.Reason("\xff").Known(), time.Duration(0), time.Second, true),
	)

	It("does not ask a host again that does not know tunnels, until it has restarted", func() {
		t := newTable(1, 0)
		t.Declined(now, "a-0", w1, reacher.Foreign, 0)
		Expect(t.Plan(after(time.Hour), w1).Helpers).To(BeEmpty())
		t.SetHosts("h-0", "a", []reacher.Host{{Name: "a-0", Zone: "a", Incarnation: 2}})
		Expect(t.Plan(after(time.Hour), w1).Helpers).To(HaveLen(1))
	})

	It("prefers hosts with fewer connections through them", func() {
		t := newTable(3, 0)
		first := t.Plan(now, w1).Helpers[0].Name
		for range 4 {
			t.Opened(first)
		}
		Expect(names(t.Plan(now, w1).Helpers)[2]).To(Equal(first))
		t.Released(first)
		Expect(names(t.Plan(now, w1).Helpers)[0]).To(Equal(first))
	})

	It("probes a suspected worker twice a second, also if it was just connected to", func() {
		t := newTable(1, 0)
		t.Connected(now, w1, false)
		t.Suspect(now, w1)
		Expect(t.Due(now, 8)).To(ConsistOf(w1))
		t.Suspect(after(499*time.Millisecond), w1)
		Expect(t.Due(after(499*time.Millisecond), 8)).To(BeEmpty())
		t.Suspect(after(500*time.Millisecond), w1)
		Expect(t.Due(after(500*time.Millisecond), 8)).To(ConsistOf(w1))
	})

	// Guards against a cut host that never probes its workers, as its sends connect for a moment and break.
	It("probes a suspected worker also if it is connected to in the meantime, unless a connection lasts", func() {
		t := newTable(1, 0)
		t.Suspect(now, w1)
		t.Connected(after(time.Millisecond), w1, false)
		Expect(t.Due(after(50*time.Millisecond), 8)).To(Equal([]string{w1}))
		t.Suspect(after(time.Second), w1)
		t.Connected(after(time.Second+time.Millisecond), w1, true)
		Expect(t.Due(after(time.Second+50*time.Millisecond), 8)).To(BeEmpty())
	})

	It("spreads the connections of many hosts that lost their links over the others", func() {
		const cut, left = 28, 56 // of 84 hosts in three zones
		load := map[string]int{}
		for c := range cut {
			t := &reacher.Table{}
			var workers []reacher.Worker
			for w := range 54 {
				workers = append(workers, reacher.Worker{Address: fmt.Sprintf("10.0.1.%d:80", w)})
			}
			t.SetWorkers(workers)
			var hosts []reacher.Host
			for h := range left {
				hosts = append(hosts, reacher.Host{Name: fmt.Sprint("h-", h), Zone: fmt.Sprint("z-", h%2)})
			}
			t.SetHosts(fmt.Sprint("cut-", c), "z-2", hosts)
			for _, w := range workers {
				load[t.Plan(now, w.Address).Helpers[0].Name]++
			}
		}
		mean := float64(cut*54) / left
		for name, n := range load {
			Expect(float64(n)).To(BeNumerically("<", 2*mean), name)
		}
		Expect(load).To(HaveLen(left))
	})
})
