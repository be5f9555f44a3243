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

// answer is how one request ended.
type answer struct {
	status int
	text   string
	err    error
}

// stream sends a chat through a host and returns its answer when it ends; it
// waits until the host has the request in flight.
func stream(h *running, tokens int) <-chan answer {
	out := make(chan answer, 1)
	go func() {
		status, text, _, err := post(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, h.listen, chatPath, chat(tokens))
		out <- answer{status, text, err}
	}()
	Eventually(func() int64 { return h.state().Inflight }).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
	return out
}

var _ = Describe("A host that is told to stop", func() {
	// Story: an operator replaces a host while a passenger's chat streams through
	// it, and the balancer still sends a few requests. All must end whole.
	DescribeTable("cuts nothing",
		func(faults faker.Faults) {
			t := newFixture("lm1", "lm2")
			a := t.start("a", "z1", nil)
			t.start("b", "z2", nil)
			Eventually(t.settled(2)).WithTimeout(10 * time.Second).Should(Succeed())
			client := &http.Client{Transport: &http.Transport{}}
			status, _, closes, err := post(client, a.listen, "/services/app/quote", "{}")
			Expect(status, closes, err).To(Equal(http.StatusOK))
			Expect(closes).To(BeFalse())
			going := stream(a, 150)
			t.platform.SetFaults(faults)
			a.term()
			Eventually(a.ready).WithTimeout(5 * time.Second).Should(BeFalse())
			status, _, closes, err = post(client, a.listen, "/services/app/quote", "{}")
			Expect(err).NotTo(HaveOccurred(), "a request on a connection kept alive")
			Expect(status).To(Equal(http.StatusOK))
			Expect(closes).To(BeTrue(), "the connection ends with the answer")
			var end answer
			Eventually(going).WithTimeout(20 * time.Second).Should(Receive(&end))
			Expect(end.err).NotTo(HaveOccurred())
			Expect(strings.TrimSpace(end.text)).To(HaveSuffix("[DONE]"))
			Eventually(a.done).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
			Expect(a.logs.FilterMessage("left").All()[0].ContextMap()).To(HaveKeyWithValue("cut", int64(0)))
			Eventually(func() int { return len(t.hosts["b"].state().Roster) }).WithTimeout(5 * time.Second).Should(Equal(1))
			Expect(t.hosts["b"].state().Membership.Deaths).To(BeZero(), "leaving is no death")
		},
		Entry("alone", faker.Faults{}),
		Entry("while the platform is down", Label(prover.Cell(prover.Draining, prover.StoreDown)), faker.Faults{Down: true}),
		Entry("while the platform is slow", Label(prover.Cell(prover.Draining, prover.StoreSlow)), faker.Faults{Delay: 300 * time.Millisecond}),
		Entry("while the platform loses replies", Label(prover.Cell(prover.Draining, prover.LostReply)), faker.Faults{Lose: 4}),
	)

	// Story: a skipper's holds come through one host and are run by another, which is
	// told to stop meanwhile. Each must be answered, and have run once.
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
		kept := 0
		for _, k := range a.state().Keepers {
			kept += k.Operations
		}
		Expect(kept).To(BeNumerically(">", 0), "operations that the leaving host runs")
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

	// Story: a stream never ends, and the operator has no more time. A second signal,
	// or the drain limit, ends the host, and it says what it cut.
	DescribeTable("ends when hurried, and says what it cut",
		func(limit time.Duration, hurry func(h *running)) {
			model := faker.DefaultModel()
			model.SlowFactor = 1000 // a token takes longer than the test
			t := newFixtureOf(model, time.Millisecond, "lm1")
			a := t.start("a", "z1", func(s *loader.Host) { s.Limits.Drain = loader.Duration(limit) })
			Eventually(t.settled(1)).WithTimeout(10 * time.Second).Should(Succeed())
			going := stream(a, 100000)
			a.term()
			hurry(a)
			Eventually(a.done).WithTimeout(20 * time.Second).Should(Receive(MatchError(runner.ErrCut)))
			var end answer
			Eventually(going).WithTimeout(5 * time.Second).Should(Receive(&end))
			Expect(strings.TrimSpace(end.text)).NotTo(HaveSuffix("[DONE]"))
			Expect(a.logs.FilterMessage("left").All()[0].ContextMap()).To(And(
				HaveKeyWithValue("cut", int64(1)), HaveKeyWithValue("requests", HaveLen(1))))
		},
		Entry("by a second signal", time.Minute, func(h *running) { close(h.hurry) }),
		Entry("by the drain limit", 300*time.Millisecond, func(*running) {}),
	)

	// Story: every host is replaced, one after the other, while callers go on. Not
	// one of them may see a broken connection, a refusal or a cut stream.
	It("rolling replacement of all hosts under load cuts nothing", Label(prover.Cell(prover.HandedOver, prover.Slow), prover.Cell(prover.Drained, prover.Slow)), func() {
		t := newFixture("lm1", "lm2", "lm3")
		for i := range 3 {
			t.start(fmt.Sprint("old", i), fmt.Sprint("z", i), nil)
		}
		Eventually(t.settled(3)).WithTimeout(10 * time.Second).Should(Succeed())
		b := &balancer{t: t}
		b.look()
		stop := make(chan struct{})
		type result struct {
			bad   []string
			whole int
		}
		results := make(chan result, 1)
		go func() {
			bad, whole := b.traffic(stop)
			results <- result{bad, whole}
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
		Expect(r.bad).To(BeEmpty())
		Expect(r.whole).To(BeNumerically(">", 50))
	})
})
