package runner_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a host that answers nothing any more, as it goes through partitions without end.
var _ = DescribeTable("A layout of keys that can't be used is read again, and costs no other request", func(spec string) {
	t := newFixture("e1")
	t.platform.PutRaw("once", "layout", spec)
	h := t.start("a", "z1", nil)
	Eventually(t.settled(1)).WithTimeout(20 * time.Second).Should(Succeed())
	Eventually(func() int { return h.logs.FilterMessage("layout").Len() }).WithTimeout(5 * time.Second).Should(BeNumerically(">", 1))
	status, _, _, err := post(http.DefaultClient, h.listen, "/v1/chat/completions", chat(2))
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK))
	t.platform.Delete("once", "layout")
	Eventually(func() int { status, _, _ := keyedHold(h, "k"); return status }).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
},
	Entry("too many partitions", `{"partitions":4097}`),
	Entry("a negative number", `{"partitions":-1}`),
	Entry("a number of 20 digits", `{"partitions":99999999999999999999}`),
	Entry("no value", `"%"`),
)
