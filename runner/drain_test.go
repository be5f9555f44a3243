package runner_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/runner"
)

// answer is the outcome of one request.
type answer struct {
	status int
	text   string
	err    error
}

// stream sends a chat through a host and returns a channel for its answer. It returns when
// the host has the request in flight.
func stream(h *runningHost, tokens int) <-chan answer {
	out := make(chan answer, 1)
	go func() {
		status, text, _, err := post(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, h.listen, chatPath, chat(tokens))
		out <- answer{status, text, err}
	}()
	Eventually(func() int64 { return h.state().Inflight }).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
	return out
}

var _ = Describe("A host that shuts down", func() {
	// Guards against a host that is replaced and aborts a stream, or fails a request that
	// the balancer still sends to it.
	DescribeTable("aborts nothing",
		func(faults faker.Faults) {
			t := newFixture("lm1", "lm2")
			a := t.start("a", "z1", nil)
			t.start("b", "z2", nil)
			Eventually(t.settled(2)).WithTimeout(10 * time.Second).Should(Succeed())
			client := &http.Client{Transport: &http.Transport{}}
			status, _, closes, err := post(client, a.listen, "/services/app/quote", "{}")
			Expect(status, closes, err).To(Equal(http.StatusOK))
			Expect(closes).To(BeFalse())
			inFlight := stream(a, 150)
			t.platform.SetFaults(faults)
			a.term()
			Eventually(a.ready).WithTimeout(5 * time.Second).Should(BeFalse())
			status, _, closes, err = post(client, a.listen, "/services/app/quote", "{}")
			Expect(err).NotTo(HaveOccurred(), "a request on a reused connection")
			Expect(status).To(Equal(http.StatusOK))
			Expect(closes).To(BeTrue(), "the connection ends with the answer")
			var end answer
			Eventually(inFlight).WithTimeout(20 * time.Second).Should(Receive(&end))
			Expect(end.err).NotTo(HaveOccurred())
			Expect(strings.TrimSpace(end.text)).To(HaveSuffix("[DONE]"))
			Eventually(a.done).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
			Expect(a.logs.FilterMessage("left").All()[0].ContextMap()).To(HaveKeyWithValue("cut", int64(0)))
			Eventually(func() int { return len(t.hosts["b"].state().Roster) }).WithTimeout(5 * time.Second).Should(Equal(1))
			Expect(t.hosts["b"].state().Membership.Deaths).To(BeZero(), "leaving is not a failure")
		},
		Entry("alone", faker.Faults{}),
		Entry("while the platform is down", Label(prover.Cell(prover.Draining, prover.StoreDown)), faker.Faults{Down: true}),
		Entry("while the platform is slow", Label(prover.Cell(prover.Draining, prover.StoreSlow)), faker.Faults{Delay: 300 * time.Millisecond}),
		Entry("while the platform loses replies", Label(prover.Cell(prover.Draining, prover.LostReply)), faker.Faults{Lose: 4}),
	)

	// Guards against at-most-once calls that are lost or run twice when the host that runs
	// them for another one shuts down.
	It("finishes what it runs for other hosts", Label(prover.Cell(prover.Draining, prover.Slow)), func() {
		const holds = 12
		t := newFixtureOf(faker.DefaultModel(), 3*time.Second, "lm1")
		a, b := t.start("a", "z1", nil), t.start("b", "z2", nil)
		Eventually(t.settled(2)).WithTimeout(10 * time.Second).Should(Succeed())
		answers := make(chan answer, holds)
		for i := range holds {
			go func() {
				status, text, _, err := post(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, b.listen, fmt.Sprint("/services/app/holds/", i), "{}")
				answers <- answer{status, text, err}
			}()
		}
		Eventually(t.holds.Counts).WithTimeout(10 * time.Second).Should(HaveLen(holds))
		operations := 0
		for _, k := range a.state().Keepers {
			operations += k.Operations
		}
		Expect(operations).To(BeNumerically(">", 0), "operations that the leaving host runs")
		a.term()
		Eventually(a.done).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
		for range holds {
			var end answer
			Eventually(answers).WithTimeout(20 * time.Second).Should(Receive(&end))
			Expect(end.err).NotTo(HaveOccurred())
			Expect(end.status).To(Equal(http.StatusOK), end.text)
		}
		Expect(t.holds.Counts()).To(HaveEach(1))
	})

	// Guards against a shutdown that waits forever for a stream that does not end. A second
	// signal, or the drain limit, ends the host, and it reports the requests that it
	// aborted.
	DescribeTable("ends when told to, and reports what it aborted",
		func(limit time.Duration, trigger func(h *runningHost)) {
			model := faker.DefaultModel()
			model.SlowFactor = 1000 // a token takes longer than the test
			t := newFixtureOf(model, time.Millisecond, "lm1")
			a := t.start("a", "z1", func(s *loader.Host) { s.Limits.DrainTimeout = loader.Duration(limit) })
			Eventually(t.settled(1)).WithTimeout(10 * time.Second).Should(Succeed())
			inFlight := stream(a, 100000)
			a.term()
			trigger(a)
			Eventually(a.done).WithTimeout(20 * time.Second).Should(Receive(MatchError(runner.ErrAborted)))
			var end answer
			Eventually(inFlight).WithTimeout(5 * time.Second).Should(Receive(&end))
			Expect(strings.TrimSpace(end.text)).NotTo(HaveSuffix("[DONE]"))
			Expect(a.logs.FilterMessage("left").All()[0].ContextMap()).To(And(
				HaveKeyWithValue("cut", int64(1)), HaveKeyWithValue("requests", HaveLen(1))))
		},
		Entry("by a second signal", time.Minute, func(h *runningHost) { close(h.abort) }),
		Entry("by the drain limit", 300*time.Millisecond, func(*runningHost) {}),
	)

	// Guards against broken connections, refusals and cut streams at callers while every
	// host is replaced, one after the other.
	It("rolling replacement of all hosts under load aborts nothing", Label(prover.Cell(prover.RoleHandedOver, prover.Slow), prover.Cell(prover.Drained, prover.Slow)), func() {
		t := newFixture("lm1", "lm2", "lm3")
		for i := range 3 {
			t.start(fmt.Sprint("old", i), fmt.Sprint("z", i), nil)
		}
		Eventually(t.settled(3)).WithTimeout(10 * time.Second).Should(Succeed())
		b := &balancer{t: t}
		b.refresh()
		stop := make(chan struct{})
		type result struct {
			failures []string
			complete int
		}
		results := make(chan result, 1)
		go func() {
			failures, complete := b.traffic(stop)
			results <- result{failures, complete}
		}()
		for i := range 3 {
			h := t.start(fmt.Sprint("new", i), fmt.Sprint("z", i), nil)
			Eventually(h.ready).WithTimeout(10 * time.Second).Should(BeTrue())
			old := t.hosts[fmt.Sprint("old", i)]
			old.term()
			Eventually(func() int { return len(old.done) }).WithTimeout(20 * time.Second).Should(Equal(1))
			Expect(<-old.done).To(Succeed())
			old.done <- nil // keeps it marked as ended
		}
		close(stop)
		var r result
		Eventually(results).WithTimeout(20 * time.Second).Should(Receive(&r))
		Expect(r.failures).To(BeEmpty())
		Expect(r.complete).To(BeNumerically(">", 50))
	})
})
