package runner_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/router"
	"github.com/cicadawood/cicadawood/runner"
)

// sent is a message that a host sent.
type sent struct {
	to string
	m  messenger.Message
}

var _ = Describe("A host of a fleet with deciders", func() {
	const hosts = 20
	var (
		now     time.Time
		roster  registrar.Roster
		names   []string // the deciders, then the other hosts
		out     []sent
		quote   = placer.Request{Service: "desk", Left: time.Second, Target: 300 * time.Millisecond}
		workers = []placer.Worker{{Name: "d-1", Service: "desk", Zone: "z", Slots: 8}, {Name: "d-2", Service: "desk", Zone: "z", Slots: 8}}
	)
	newHost := func(name string, r registrar.Roster) runner.Selector {
		c := runner.NewSelector(name, workers, func(to string, m messenger.Message) { out = append(out, sent{to, m}) })
		c.SetRoster(now, r)
		return c
	}
	lastRequest := func() (sent, messenger.PlacementRequest) {
		Expect(out).NotTo(BeEmpty())
		last := out[len(out)-1]
		return last, last.m.(messenger.PlacementRequest)
	}
	BeforeEach(func() {
		now, out, names = time.Now(), nil, nil
		var records []registrar.Record
		for i := range hosts {
			n := fmt.Sprintf("h-%02d", i)
			records = append(records, registrar.Record{Name: n, Zone: "z", Control: n})
		}
		roster = registrar.NewRoster(records...)
		for _, h := range roster.Owners("decide", hosts) {
			names = append(names, h.Name)
		}
	})

	It("asks a decider and uses its reply", func() {
		c := newHost(names[10], roster)
		got := c.Ask(now, quote)
		to, s := lastRequest()
		Expect(names[:3]).To(ContainElement(to.to))
		Expect(got).NotTo(Receive())
		c.Receive(now, to.to, messenger.PlacementReply{ID: s.ID, Flight: 7, Worker: "d-2"})
		Eventually(got).Should(Receive(Equal("d-2 by " + to.to)))
		got = c.Ask(now, quote)
		to, s = lastRequest()
		c.Receive(now, to.to, messenger.PlacementReply{ID: s.ID, Reason: "overload", RetryAfter: time.Second})
		Eventually(got).Should(Receive(Equal("refused overload")))
	})

	// Guards against a process that ends as it counts the reason of another host's refusal.
	DescribeTable("counts a reason that no version has as unknown", func(reason string) {
		c := newHost(names[10], roster)
		got := c.Ask(now, quote)
		to, s := lastRequest()
		c.Receive(now, to.to, messenger.PlacementReply{ID: s.ID, Reason: reason, RetryAfter: time.Second})
		Eventually(got).Should(Receive(Equal("refused unknown")))
	},
		Entry("that is no UTF-8", "\xff"),
		Entry("of 10 KB", strings.Repeat("x", 10_000)),
	)

	It("decides for itself in a small fleet, and if it is a decider", func() {
		small := registrar.NewRoster(roster.Hosts()[:16]...)
		Eventually(newHost("h-03", small).Ask(now, quote)).Should(Receive(HaveSuffix(" by ")))
		Eventually(newHost(names[1], roster).Ask(now, quote)).Should(Receive(HaveSuffix(" by ")))
	})

	// A decider was killed and its failure is not detected yet: each request that asks it
	// would wait in vain.
	It("asks another decider if one does not reply, and finally decides by its own view", func() {
		c := newHost(names[10], roster)
		got := c.Ask(now, quote)
		asked := map[string]bool{}
		for range 3 {
			to, s := lastRequest()
			asked[to.to] = true
			c.DeciderTimedOut(now, s.ID)
		}
		Expect(asked).To(HaveLen(3))
		Eventually(got).Should(Receive(HaveSuffix(" by ")))
		before := len(out)
		Eventually(c.Ask(now, quote)).Should(Receive(HaveSuffix(" by ")), "no decider is asked again immediately")
		Expect(out).To(HaveLen(before))
		c.Ask(now.Add(2*time.Second), quote)
		Expect(len(out)).To(BeNumerically(">", before), "but after the backoff")
	})

	// Guards against a host with a slow link that treats its deciders as failed, and decides
	// by itself without knowing what others send.
	It("asks a decider again whose reply was late, with a longer timeout", func() {
		c := newHost(names[10], roster)
		c.Ask(now, quote)
		requestIDs := map[string]uint64{}
		for range 3 {
			to, s := lastRequest()
			requestIDs[to.to] = s.ID
			c.DeciderTimedOut(now, s.ID)
		}
		minTimeout := c.DeciderTimeout()
		for name, id := range requestIDs {
			c.Receive(now.Add(90*time.Millisecond), name, messenger.PlacementReply{ID: id, Reason: "slots", RetryAfter: time.Second})
		}
		Expect(c.DeciderTimeout()).To(And(BeNumerically(">", minTimeout), BeNumerically("<=", 200*time.Millisecond)))
		before := len(out)
		got := c.Ask(now.Add(100*time.Millisecond), quote)
		Expect(out).To(HaveLen(before + 1))
		to, s := lastRequest()
		c.Receive(now.Add(103*time.Millisecond), to.to, messenger.PlacementReply{ID: s.ID, Flight: 9, Worker: "d-2"})
		Eventually(got).Should(Receive(Equal("d-2 by " + to.to)))
	})

	// A reply arrives after its request was placed elsewhere. All listeners count its place
	// as taken, and would do so for as long as the request could have lasted.
	It("gives back a place that arrives too late", func() {
		c := newHost(names[10], roster)
		c.Ask(now, quote)
		to, s := lastRequest()
		c.DeciderTimedOut(now, s.ID)
		c.Receive(now, to.to, messenger.PlacementReply{ID: s.ID, Flight: 7, Worker: "d-2"})
		out = nil
		c.SendUpdate()
		Expect(out).To(HaveLen(5), "the deciders and the two hosts next in order")
		for _, x := range out {
			Expect(names[:5]).To(ContainElement(x.to))
			Expect(x.m.(messenger.FlightUpdate).Ended).To(Equal([]messenger.FlightEnd{{ID: 7, Outcome: int(placer.Canceled)}}))
		}
	})

	// A host is killed with requests under way. The workers drop them, so the deciders must
	// stop counting them.
	It("counts the requests of a host until that host is gone", func() {
		c := newHost(names[0], roster)
		for id := range uint64(4) {
			c.Receive(now, names[10], messenger.PlacementRequest{ID: id, Reply: names[10], Service: "desk", Left: time.Minute})
		}
		c.SendUpdate()
		update := out[len(out)-1].m.(messenger.FlightUpdate)
		Expect(update.Sent).To(HaveLen(4))
		other := newHost(names[1], roster)
		other.Receive(now, names[0], update)
		for _, x := range []runner.Selector{c, other} {
			Expect(x.Flights(now, "d-1") + x.Flights(now, "d-2")).To(Equal(4))
			var rest []registrar.Record
			for _, h := range roster.Hosts() {
				if h.Name != names[10] {
					rest = append(rest, h)
				}
			}
			x.SetRoster(now, registrar.NewRoster(rest...))
			Expect(x.Flights(now, "d-1") + x.Flights(now, "d-2")).To(BeZero())
		}
	})

	// Guards against idle workers that seem full: short requests arrive faster than their
	// ends are reported, sixteen within the usual delay of an update, and the next caller
	// is refused although two workers are idle. So the end of a request to a worker that is
	// at least half full is reported without that delay.
	It("reports the end of a request immediately if its worker was half full", func() {
		const shortDelay = 5 * time.Millisecond
		small := newHost("h-03", registrar.NewRoster(roster.Hosts()[:16]...))
		decider := newHost(names[0], roster)
		for _, c := range []runner.Selector{small, decider} {
			var places []router.Placement
			for range 8 { // half the slots of both
				p, ok := c.Place(now, quote)
				Expect(ok).To(BeTrue())
				places = append(places, p)
			}
			c.SendUpdate()
			c.End(now, places[0])
			Expect(c.UpdateDelay(now)).To(BeNumerically(">", shortDelay), "the worker had room")
			c.End(now, places[7])
			Expect(c.UpdateDelay(now)).To(BeNumerically("<", shortDelay))
		}
		// The decider reports to the host that asked that the worker is half full.
		decider.Receive(now, names[10], messenger.PlacementRequest{ID: 1, Reply: names[10], Service: "desk", Left: time.Minute})
		Expect(out[len(out)-1].m.(messenger.PlacementReply).HalfFull).To(BeTrue())
	})

	// Guards against parts of a request that are lost on the way to the decider, which would
	// then decide without them.
	It("passes on every field of a request", func() {
		c := newHost(names[10], roster)
		ask := placer.Request{
			Service: "desk", Zone: "z", Parts: []placer.Part{{Key: 1, Tokens: 20}, {Key: 2, Tokens: 30}}, Prompt: 60, Output: 70, Expected: 65,
			Rank: 4, Tier: 2, Left: time.Second, FirstEventTimeout: 900 * time.Millisecond, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond,
			Exclude: []string{"d-1"},
		}
		c.Ask(now, ask)
		_, s := lastRequest()
		Expect(runner.RequestOf(s)).To(Equal(ask))
	})
})
