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

// When a higher tier preempts a place, the engine call is cancelled, the request asks
// for another place and resumes there: its caller sees one answer with a pause.
var _ = Describe("preemption", func() {
	DescribeTable("of a request whose answer can be resumed",
		func(at int, streamed bool) {
			s := startFixture(options{resume: true})
			s.faults.Plan([]faker.Fault{
				{Kind: faker.CallHook, At: at, Hook: func(string) { s.allocator.preemptLast() }},
				{Kind: faker.Silent, At: at}, // keeps the answer from ending first
			})
			g := s.json
			if streamed {
				g = s.stream
			}
			Expect(g().checkComplete()).To(Succeed())
			Expect(s.allocator.asks).To(HaveLen(2))
			Expect(s.allocator.released[0].Failed).To(BeFalse(), "the worker is not at fault")
			Expect(s.allocator.asks[1].Request).NotTo(Equal(s.allocator.asks[0].Request), "messages for the old place can't be taken for the new one")
			Expect(s.allocator.asks[1].Exclude).To(BeEmpty())
		},
		Entry("before it starts", faker.AtHead, true),
		Entry("before its first token", 0, true),
		Entry("in its middle", 5, true),
		Entry("after its last token", faker.AtEnd, true),
		Entry("without streaming", faker.AtHead, false),
	)

	It("does not affect a stream that has begun and can't be resumed", func() {
		s := startFixture(options{})
		s.faults.Plan([]faker.Fault{{Kind: faker.CallHook, At: 5, Hook: func(string) { s.allocator.preemptLast() }}})
		Expect(s.stream().checkComplete()).To(Succeed())
		Expect(s.allocator.asks).To(HaveLen(1))
		Expect(s.allocator.asks[0].NonPreemptible).To(BeTrue(), "the dispatcher is informed beforehand")
	})

	It("does not affect a call that must not be repeated", func() {
		s := startFixture(options{resume: true})
		s.faults.Plan([]faker.Fault{{Kind: faker.Delayed, Delay: silence, At: faker.AtHead, Hook: func(string) { s.allocator.preemptLast() }}})
		Expect(s.send(s.request(context.Background(), "/services/desk/holds", "{}")).status).To(Equal(http.StatusOK))
		Expect(s.allocator.asks).To(HaveLen(1))
	})
})

// Guards against engines generating answers for callers that have disconnected: the
// engine call must be cancelled immediately and its place released.
var _ = Describe("a caller that disconnects", func() {
	It("has its engine call cancelled", Label(prover.Cell(prover.MidStream, prover.CutBothWays), prover.Cell(prover.Acked, prover.Kill)), func() {
		s := startFixture(options{resume: true})
		ctx, leave := context.WithCancel(context.Background())
		s.faults.Plan([]faker.Fault{{Kind: faker.Silent, At: 3}})
		resp, err := s.client.Do(s.request(ctx, "/v1/chat/completions", completionBody(true)))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		_, err = bufio.NewReader(resp.Body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(s.engine[0].ActiveSequences()).To(BeNumerically("<=", 1))
		leave()
		Eventually(func() int { _, released := s.allocator.counts(); return released }).Should(Equal(1))
		Eventually(func() int {
			return s.engine[0].ActiveSequences() + s.engine[1].ActiveSequences() + s.engine[2].ActiveSequences()
		}).Should(BeZero())
		Consistently(func() int { asked, _ := s.allocator.counts(); return asked }, 2*silence).Should(Equal(1), "there is no retry after the caller has disconnected")
	})

	It("loses its place in the queue", Label(prover.Cell(prover.Queued, prover.CutBothWays), prover.Cell(prover.Queued, prover.Kill)), func() {
		s := startFixture(options{})
		s.allocator.gate = make(chan struct{})
		ctx, leave := context.WithCancel(context.Background())
		ended := make(chan response, 1)
		go func() { ended <- s.send(s.request(ctx, "/v1/chat/completions", completionBody(true))) }()
		Eventually(func() int { asked, _ := s.allocator.counts(); return asked }).Should(Equal(1))
		leave()
		Eventually(ended).Should(Receive())
		Eventually(s.server.InFlight).Should(BeZero())
		Expect(s.calls.Counts()).To(BeEmpty())
	})

	// A caller that stops reading occupies its place, its engine's slot and its buffers
	// until the write time-out ends it.
	It("that stops reading is disconnected after the write time-out", Label(prover.Cell(prover.Acked, prover.Blackhole), prover.Cell(prover.Acked, prover.Slow), prover.Cell(prover.Acked, prover.Freeze)), func() {
		s := startFixture(options{
			limits: func(l *loader.Limits) { l.WriteTimeout = loader.Duration(silence) },
			// Time-outs of the worker are long: a second try would hide which time-out
			// ended the call.
			silence: 10 * time.Second, target: 10 * time.Second,
		})
		r := s.request(context.Background(), "/services/desk/log?size=16777216", "")
		_, err := s.client.Do(r)
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.server.InFlight, 10*time.Second).Should(BeZero())
		Expect(s.allocator.released).To(HaveLen(1))
	})
})

// Callers decide by this whether to send a request again: "no" must be true for every
// try.
var _ = Describe("whether it ran", func() {
	refuseRetries := func(n int) error {
		if n == 0 {
			return nil
		}
		return server.Refusal{Reason: "queue", RetryAfter: 3 * time.Second}
	}
	DescribeTable("is reported with a refusal",
		func(plan []faker.Fault, refusal func(int) error, code, run string) {
			s := startFixture(options{resume: true})
			s.allocator.refusal = refusal
			s.faults.Plan(plan)
			g := s.stream()
			Expect(g.checkMarkedBroken()).To(Succeed())
			Expect(g.code).To(Equal(code))
			Expect(g.run).To(Equal(run))
			Expect(g.after).To(BeNumerically(">=", 3*time.Second), "not before the stated time")
			Expect(g.after).To(BeNumerically("<=", 4500*time.Millisecond), "plus jitter of up to half of it")
		},
		Entry("before any try", Label(prover.Cell(prover.Queued, prover.Slow)), nil, func(int) error { return server.Refusal{Reason: "queue", RetryAfter: 3 * time.Second} }, "queue", "no"),
		Entry("after a try that was refused", []faker.Fault{{Kind: faker.Refuse}}, refuseRetries, "queue", "no"),
		Entry("after a try that crashed", []faker.Fault{{Kind: faker.Crash, At: faker.AtHead}}, refuseRetries, "queue", "unknown"),
		Entry("after part of the answer was passed on", []faker.Fault{{Kind: faker.Crash, At: 3}}, refuseRetries, "queue", "unknown"),
	)

	It("is no at a deadline in the queue", Label(prover.Cell(prover.Queued, prover.Blackhole), prover.Cell(prover.Asked, prover.Kill), prover.Cell(prover.Asked, prover.Blackhole)), func() {
		s := startFixture(options{})
		s.allocator.gate = make(chan struct{})
		r := s.request(context.Background(), "/v1/chat/completions", completionBody(true))
		r.Header.Set("Cicadawood-Deadline", "50")
		g := s.send(r)
		Expect(g.code).To(Equal("deadline"))
		Expect(g.run).To(Equal("no"))
		Expect(g.header.Get("Cicadawood-Class")).To(Equal("chat"))
		Expect(s.calls.Counts()).To(BeEmpty())
	})

	// The worker fails between its grant and the call.
	DescribeTable("of a place whose worker can't be reached",
		func(fail func(s *fixture)) {
			s := startFixture(options{})
			fail(s)
			Expect(s.stream().checkComplete()).To(Succeed())
			Expect(s.allocator.released[0].Failed).To(BeTrue())
			Expect(s.allocator.asks[1].Exclude).To(ConsistOf("w0"))
		},
		Entry("crashed", Label(prover.Cell(prover.Granted, prover.Kill), prover.Cell(prover.Granted, prover.CutBothWays)), func(s *fixture) { s.links["w0"].Set(faker.Cut, 0) }),
		Entry("receiving nothing", Label(prover.Cell(prover.Granted, prover.CutOneWay), prover.Cell(prover.Granted, prover.Blackhole), prover.Cell(prover.Granted, prover.Freeze)), func(s *fixture) { s.links["w0"].Set(faker.BackwardOnly, 0) }),
	)

	// A middlebox drops the open connections; the worker is healthy.
	It("does not blame a worker for a dropped connection", func() {
		s := startFixture(options{})
		var hit atomic.Int32
		s.faults.Plan(s.workerFaults(prover.Blackhole, faker.AtHead, &hit))
		Expect(s.stream().checkComplete()).To(Succeed())
		Expect(s.allocator.asks).To(HaveLen(1), "a new connection to the same worker was tried")
		Expect(s.allocator.released[0].Failed).To(BeFalse())
	})

	// The middlebox drops all connections, including idle ones, which further tries
	// would otherwise use one after the other.
	It("does not reuse other connections after one was dropped", Label(prover.Cell(prover.Granted, prover.Blackhole)), func() {
		s := startFixture(options{})
		s.allocator.workers = s.workers[:1]
		Expect(inParallel(3, func(int) error { return s.stream().checkComplete() })).To(Succeed())
		s.links["w0"].Set(faker.SilenceOpen, 0)
		Expect(s.stream().checkComplete()).To(Succeed())
		Expect(s.allocator.asks).To(HaveLen(4))
		Expect(s.allocator.released[3].Failed).To(BeFalse())
	})

	It("treats a rejected fencing number as not run, and acquires a new place", func() {
		s := startFixture(options{})
		s.engine[0].SetFencing(true)
		s.allocator.granted = func(p *server.Place) {
			if p.Worker.Name == "w0" {
				p.Fence += 10
			}
		}
		for range 4 {
			Expect(s.stream().checkComplete()).To(Succeed())
			s.allocator.granted = nil
		}
		Expect(s.allocator.released).To(HaveLen(5), "one was rejected and requested again")
		for _, u := range s.allocator.released {
			Expect(u.Failed).To(BeFalse())
		}
	})
})
