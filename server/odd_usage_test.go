package server_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
)

// Guards against an answer whose stated length blocks its organisation, or spoils the estimates for others.
var _ = DescribeTable("The length that an engine states counts as not stated if it is out of range",
	func(stated string) {
		l := &countingLimiter{remaining: 1}
		s := startFixture(options{limiter: l})
		engine := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"id":"x","choices":[{"text":"a"}],"usage":{"completion_tokens":%s}}`, stated)
		})
		worker := httptest.NewServer(engine)
		DeferCleanup(worker.Close)
		s.allocator.workers = []loader.Worker{{Name: "odd", Address: worker.Listener.Addr().String(), Slots: 1}}
		Expect(s.json().status).To(Equal(http.StatusOK))
		Eventually(func() int { _, released := s.allocator.counts(); return released }).Should(Equal(1))
		Expect(s.allocator.released[0].Tokens).To(BeZero())
		Expect(l.settled).To(HaveLen(1))
		Expect(l.settled[0]).To(And(BeNumerically("<=", 0), BeNumerically(">", -1000)))
	},
	Entry("the largest", "9223372036854775807"),
	Entry("the smallest", "-9223372036854775808"),
	Entry("more than any answer has", "16777217"),
)
