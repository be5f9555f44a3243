package runner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/router"
	"github.com/cicadawood/cicadawood/runner"
)

// sent is one message on its way.
type sent struct {
	to string
	m  messenger.Message
}

var _ = Describe("A host of a fleet in which a few decide", func() {
	const hosts = 20
	var (
		now     time.Time
		roster  registrar.Roster
		names   []string // the deciders, then the other hosts
		out     []sent
		quote   = placer.Request{Service: "desk", Left: time.Second, Target: 300 * time.Millisecond}
		workers = []placer.Worker{{Name: "d-1", Service: "desk", Zone: "z", Slots: 8}, {Name: "d-2", Service: "desk", Zone: "z", Slots: 8}}
	)
	choosing := func(name string, r registrar.Roster) runner.Selector {
		c := runner.NewSelector(name, workers, func(to string, m messenger.Message) { out = append(out, sent{to, m}) })
		c.SetRoster(now, r)
		return c
	}
	seek := func() (sent, messenger.PlacementRequest) {
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

	It("asks one that decides, and takes its answer", func() {
		c := choosing(names[10], roster)
		got := c.Ask(now, quote)
		to, s := seek()
		Expect(names[:3]).To(ContainElement(to.to))
		Expect(got).NotTo(Receive())
		c.Receive(now, to.to, messenger.PlacementReply{ID: s.ID, Flight: 7, Worker: "d-2"})
		Eventually(got).Should(Receive(Equal("d-2 by " + to.to)))
		got = c.Ask(now, quote)
		to, s = seek()
		c.Receive(now, to.to, messenger.PlacementReply{ID: s.ID, Reason: "overload", RetryAfter: time.Second})
		Eventually(got).Should(Receive(Equal("refused overload")))
	})

	It("decides for itself in a small fleet, and where it is one of the few", func() {
		small := registrar.NewRoster(roster.Hosts()[:16]...)
		Eventually(choosing("h-03", small).Ask(now, quote)).Should(Receive(HaveSuffix(" by ")))
		Eventually(choosing(names[1], roster).Ask(now, quote)).Should(Receive(HaveSuffix(" by ")))
	})

	// A decider is killed. Until its death is known, each request that asked it would
	// wait for nothing.
	It("asks another where one is silent, and at last decides by what it knows", func() {
		c := choosing(names[10], roster)
		got := c.Ask(now, quote)
		asked := map[string]bool{}
		for range 3 {
			to, s := seek()
			asked[to.to] = true
			c.DeciderTimedOut(now, s.ID)
		}
		Expect(asked).To(HaveLen(3))
		Eventually(got).Should(Receive(HaveSuffix(" by ")))
		before := len(out)
		Eventually(c.Ask(now, quote)).Should(Receive(HaveSuffix(" by ")), "none is asked again at once")
		Expect(out).To(HaveLen(before))
		c.Ask(now.Add(2*time.Second), quote)
		Expect(len(out)).To(BeNumerically(">", before), "but after a while")
	})

	// Guards against a host whose own link is slow deciding by itself, blind, as if the deciders
	// were dead.
	It("asks a decider again whose answer came late, and waits for it longer", func() {
		c := choosing(names[10], roster)
		c.Ask(now, quote)
		late := map[string]uint64{}
		for range 3 {
			to, s := seek()
			late[to.to] = s.ID
			c.DeciderTimedOut(now, s.ID)
		}
		least := c.DeciderTimeout()
		for name, id := range late {
			c.Receive(now.Add(90*time.Millisecond), name, messenger.PlacementReply{ID: id, Reason: "slots", RetryAfter: time.Second})
		}
		Expect(c.DeciderTimeout()).To(And(BeNumerically(">", least), BeNumerically("<=", 200*time.Millisecond)))
		before := len(out)
		got := c.Ask(now.Add(100*time.Millisecond), quote)
		Expect(out).To(HaveLen(before + 1))
		to, s := seek()
		c.Receive(now.Add(103*time.Millisecond), to.to, messenger.PlacementReply{ID: s.ID, Flight: 9, Worker: "d-2"})
		Eventually(got).Should(Receive(Equal("d-2 by " + to.to)))
	})

	// The answer comes after its request went elsewhere. The place is taken at every
	// listener, and would be for as long as the request could have lasted.
	It("gives back a place that comes too late", func() {
		c := choosing(names[10], roster)
		c.Ask(now, quote)
		to, s := seek()
		c.DeciderTimedOut(now, s.ID)
		c.Receive(now, to.to, messenger.PlacementReply{ID: s.ID, Flight: 7, Worker: "d-2"})
		out = nil
		c.Share()
		Expect(out).To(HaveLen(5), "the deciders and two that come after them")
		for _, x := range out {
			Expect(names[:5]).To(ContainElement(x.to))
			Expect(x.m.(messenger.FlightUpdate).Ended).To(Equal([]messenger.FlightEnd{{ID: 7, Outcome: int(placer.Canceled)}}))
		}
	})

	// A host is killed with requests under way. Its workers drop them; who decides must
	// not count them any longer.
	It("counts requests under the host that sends them, until it is gone", func() {
		c := choosing(names[0], roster)
		for id := range uint64(4) {
			c.Receive(now, names[10], messenger.PlacementRequest{ID: id, Reply: names[10], Service: "desk", Left: time.Minute})
		}
		c.Share()
		shared := out[len(out)-1].m.(messenger.FlightUpdate)
		Expect(shared.Sent).To(HaveLen(4))
		other := choosing(names[1], roster)
		other.Receive(now, names[0], shared)
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

	// Short requests come faster than it is told that they ended: sixteen in the time that
	// an end waits to be told with others. All slots seem taken, and the next caller is
	// refused before two idle workers. The end of what fills a worker is told at once.
	It("tells at once of the end of what was sent to a worker that fills", func() {
		const soon = 5 * time.Millisecond
		small := choosing("h-03", registrar.NewRoster(roster.Hosts()[:16]...))
		decider := choosing(names[0], roster)
		for _, c := range []runner.Selector{small, decider} {
			var places []router.Placement
			for range 8 { // half the slots of both
				p, ok := c.Place(now, quote)
				Expect(ok).To(BeTrue())
				places = append(places, p)
			}
			c.Share()
			c.End(now, places[0])
			Expect(c.ShareDelay(now)).To(BeNumerically(">", soon), "the worker had room")
			c.End(now, places[7])
			Expect(c.ShareDelay(now)).To(BeNumerically("<", soon))
		}
		// What another host sends, the decider tells it of.
		decider.Receive(now, names[10], messenger.PlacementRequest{ID: 1, Reply: names[10], Service: "desk", Left: time.Minute})
		Expect(out[len(out)-1].m.(messenger.PlacementReply).HalfFull).To(BeTrue())
	})

	// What a caller said is lost between the host that it reached and the one that decides:
	// it is judged as if it had said nothing.
	It("hands on all that a request says", func() {
		c := choosing(names[10], roster)
		ask := placer.Request{
			Service: "desk", Zone: "z", Parts: []placer.Part{{Key: 1, Tokens: 20}, {Key: 2, Tokens: 30}}, Prompt: 60, Output: 70, Expected: 65,
			Rank: 4, Tier: 2, Left: time.Second, FirstEventTimeout: 900 * time.Millisecond, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond,
			Exclude: []string{"d-1"},
		}
		c.Ask(now, ask)
		_, s := seek()
		Expect(runner.RequestOf(s)).To(Equal(ask))
	})
})
