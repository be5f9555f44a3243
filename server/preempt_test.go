package server_test

import (
	"bufio"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/server"
)

// A validity check needs the place of a trip plan. The plan's engine call is
// cancelled, the plan asks again, and goes on where it was: its caller sees one
// answer with a pause.
var _ = Describe("preemption", func() {
	DescribeTable("of a request whose answer can go on",
		func(at int, streamed bool) {
			s := stood(options{resume: true})
			s.faults.Plan([]faker.Fault{
				{Kind: faker.Trip, At: at, Hook: func(string) { s.places.preemptLast() }},
				{Kind: faker.Silent, At: at}, // so that the answer can't end first
			})
			g := s.json
			if streamed {
				g = s.stream
			}
			Expect(g().whole()).To(Succeed())
			Expect(s.places.asks).To(HaveLen(2))
			Expect(s.places.released[0].Failed).To(BeFalse(), "the worker is not to blame")
			Expect(s.places.asks[1].Request).NotTo(Equal(s.places.asks[0].Request), "what is under way for the old place can't meet the new")
			Expect(s.places.asks[1].Exclude).To(BeEmpty())
		},
		Entry("before it began", faker.AtHead, true),
		Entry("before its first token", 0, true),
		Entry("in its middle", 5, true),
		Entry("after its last token", faker.AtEnd, true),
		Entry("in one piece", faker.AtHead, false),
	)

	It("leaves a stream alone that has begun and can't be resumed", func() {
		s := stood(options{})
		s.faults.Plan([]faker.Fault{{Kind: faker.Trip, At: 5, Hook: func(string) { s.places.preemptLast() }}})
		Expect(s.stream().whole()).To(Succeed())
		Expect(s.places.asks).To(HaveLen(1))
		Expect(s.places.asks[0].NonPreemptible).To(BeTrue(), "the dispatcher is told beforehand")
	})

	It("leaves a call alone that must not be repeated", func() {
		s := stood(options{resume: true})
		s.faults.Plan([]faker.Fault{{Kind: faker.Late, Delay: silence, At: faker.AtHead, Hook: func(string) { s.places.preemptLast() }}})
		Expect(s.send(s.request(context.Background(), "/services/desk/holds", "{}")).status).To(Equal(http.StatusOK))
		Expect(s.places.asks).To(HaveLen(1))
	})
})

// A caller closes its connection half way: the engine must stop at once, and the
// place goes back, or the batch fills with answers that nobody reads.
var _ = Describe("a caller that leaves", func() {
	It("ends its engine call", Label(prover.Cell(prover.Mid, prover.CutBoth), prover.Cell(prover.Acked, prover.Kill)), func() {
		s := stood(options{resume: true})
		ctx, leave := context.WithCancel(context.Background())
		s.faults.Plan([]faker.Fault{{Kind: faker.Silent, At: 3}})
		resp, err := s.client.Do(s.request(ctx, "/v1/chat/completions", completionBody(true)))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		_, err = bufio.NewReader(resp.Body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(s.engine[0].Busy()).To(BeNumerically("<=", 1))
		leave()
		Eventually(func() int { _, released := s.places.counts(); return released }).Should(Equal(1))
		Eventually(func() int { return s.engine[0].Busy() + s.engine[1].Busy() + s.engine[2].Busy() }).Should(BeZero())
		Consistently(func() int { asked, _ := s.places.counts(); return asked }, 2*silence).Should(Equal(1), "nothing is retried for nobody")
	})

	It("gives up its place in the queue", Label(prover.Cell(prover.Queued, prover.CutBoth), prover.Cell(prover.Queued, prover.Kill)), func() {
		s := stood(options{})
		s.places.hold = make(chan struct{})
		ctx, leave := context.WithCancel(context.Background())
		over := make(chan got, 1)
		go func() { over <- s.send(s.request(ctx, "/v1/chat/completions", completionBody(true))) }()
		Eventually(func() int { asked, _ := s.places.counts(); return asked }).Should(Equal(1))
		leave()
		Eventually(over).Should(Receive())
		Eventually(s.server.InFlight).Should(BeZero())
		Expect(s.calls.Counts()).To(BeEmpty())
	})

	// A caller that takes nothing holds its place, its engine's slot and its
	// buffers, until the bound on a stalled caller ends it.
	It("that stops reading is cut off within its bound", Label(prover.Cell(prover.Acked, prover.Silence), prover.Cell(prover.Acked, prover.Slow), prover.Cell(prover.Acked, prover.Freeze)), func() {
		s := stood(options{
			limits: func(l *loader.Limits) { l.Stall = loader.Duration(silence) },
			// The worker has the whole time: a second try would hide which bound ended the call.
			silence: 10 * time.Second, target: 10 * time.Second,
		})
		r := s.request(context.Background(), "/services/desk/log?size=16777216", "")
		_, err := s.client.Do(r)
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.server.InFlight, 10*time.Second).Should(BeZero())
		Expect(s.places.released).To(HaveLen(1))
	})
})

// What the caller is told of whether its request ran decides whether it sends it
// again: "no" must be true for every try.
var _ = Describe("whether it ran", func() {
	full := func(n int) error {
		if n == 0 {
			return nil
		}
		return server.Refusal{Reason: "queue", After: 3 * time.Second}
	}
	DescribeTable("is told of a refusal",
		func(plan []faker.Fault, refusal func(int) error, code, run string) {
			s := stood(options{resume: true})
			s.places.refusal = refusal
			s.faults.Plan(plan)
			g := s.stream()
			Expect(g.marked()).To(Succeed())
			Expect(g.code).To(Equal(code))
			Expect(g.run).To(Equal(run))
			Expect(g.after).To(BeNumerically(">=", 3*time.Second), "not before the true time")
			Expect(g.after).To(BeNumerically("<=", 4500*time.Millisecond), "and spread over half of it")
		},
		Entry("before any try", Label(prover.Cell(prover.Queued, prover.Slow)), nil, func(int) error { return server.Refusal{Reason: "queue", After: 3 * time.Second} }, "queue", "no"),
		Entry("after a try that was refused", []faker.Fault{{Kind: faker.Refuse}}, full, "queue", "no"),
		Entry("after a try that died", []faker.Fault{{Kind: faker.Crash, At: faker.AtHead}}, full, "queue", "unknown"),
		Entry("after a beginning was passed", []faker.Fault{{Kind: faker.Crash, At: 3}}, full, "queue", "unknown"),
	)

	It("is no at the deadline in the queue", Label(prover.Cell(prover.Queued, prover.Silence), prover.Cell(prover.Asked, prover.Kill), prover.Cell(prover.Asked, prover.Silence)), func() {
		s := stood(options{})
		s.places.hold = make(chan struct{})
		r := s.request(context.Background(), "/v1/chat/completions", completionBody(true))
		r.Header.Set("Cicadawood-Deadline", "50")
		g := s.send(r)
		Expect(g.code).To(Equal("deadline"))
		Expect(g.run).To(Equal("no"))
		Expect(g.header.Get("Cicadawood-Class")).To(Equal("chat"))
		Expect(s.calls.Counts()).To(BeEmpty())
	})

	// The worker died between its grant and the call.
	DescribeTable("of a place whose worker can't be reached",
		func(fail func(s *stand)) {
			s := stood(options{})
			fail(s)
			Expect(s.stream().whole()).To(Succeed())
			Expect(s.places.released[0].Failed).To(BeTrue())
			Expect(s.places.asks[1].Exclude).To(ConsistOf("w0"))
		},
		Entry("dead", Label(prover.Cell(prover.Granted, prover.Kill), prover.Cell(prover.Granted, prover.CutBoth)), func(s *stand) { s.links["w0"].Set(faker.Cut, 0) }),
		Entry("silent towards it", Label(prover.Cell(prover.Granted, prover.CutOne), prover.Cell(prover.Granted, prover.Silence), prover.Cell(prover.Granted, prover.Freeze)), func(s *stand) { s.links["w0"].Set(faker.Backward, 0) }),
	)

	// A frozen middlebox forgot the open connections: the worker is well.
	It("blames no worker for a connection that was forgotten", func() {
		s := stood(options{})
		var hit atomic.Int32
		s.faults.Plan(s.fault(prover.Silence, faker.AtHead, &hit))
		Expect(s.stream().whole()).To(Succeed())
		Expect(s.places.asks).To(HaveLen(1), "a new connection to the same worker was tried")
		Expect(s.places.released[0].Failed).To(BeFalse())
	})

	// The middlebox forgot them all: also those that lie idle, which the next try
	// would take one after the other.
	It("tries no connection that was forgotten with another", Label(prover.Cell(prover.Granted, prover.Silence)), func() {
		s := stood(options{})
		s.places.workers = s.workers[:1]
		Expect(together(3, func(int) error { return s.stream().whole() })).To(Succeed())
		s.links["w0"].Set(faker.SilentOpen, 0)
		Expect(s.stream().whole()).To(Succeed())
		Expect(s.places.asks).To(HaveLen(4))
		Expect(s.places.released[3].Failed).To(BeFalse())
	})

	It("takes a refused fencing number for not run, and asks for a new one", func() {
		s := stood(options{})
		s.engine[0].SetFencing(true)
		s.places.granted = func(p *server.Place) {
			if p.Worker.Name == "w0" {
				p.Fence += 10
			}
		}
		for range 4 {
			Expect(s.stream().whole()).To(Succeed())
			s.places.granted = nil
		}
		Expect(s.places.released).To(HaveLen(5), "one was refused and asked again")
		for _, u := range s.places.released {
			Expect(u.Failed).To(BeFalse())
		}
	})
})
