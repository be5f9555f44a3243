package runner_test

import (
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The metrics of a host", func() {
	It("count what its dispatchers granted, by class", func() {
		t := newFixture("lm1")
		h := t.start("a", "z1", nil)
		Eventually(t.settled(1)).WithTimeout(10 * time.Second).Should(Succeed())
		status, _, _, err := post(http.DefaultClient, h.listen, "/services/app/quote", "{}")
		Expect(status, err).To(Equal(http.StatusOK))
		resp, err := http.Get("http://" + h.admin + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring("\ncicadawood_dispatch_granted_total{class=\"quote\"} 1\n"))
		Expect(string(text)).To(ContainSubstring("\ncicadawood_dispatch_workers_out 0\n"))
	})
})
