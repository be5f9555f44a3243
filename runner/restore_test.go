package runner_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Hosts whose store was restored from an older snapshot", func() {
	answerOf := func(h *runningHost, id string) func() (string, error) {
		return func() (string, error) {
			status, body, err := keyedHold(h, id)
			if status != http.StatusOK {
				return "", err
			}
			return body, err
		}
	}

	// Guards against a host that starts with another layout of keys, where a repeated key
	// reaches a keeper that does not know it.
	It("write the layout of keys again", func() {
		t := newFixture("e1")
		snapshot := t.platform.Revision()
		t.start("a", "z1", nil)
		Eventually(t.settled(1)).WithTimeout(20 * time.Second).Should(Succeed())
		Eventually(func() []string { return t.platform.Names("once") }).WithTimeout(5 * time.Second).Should(ContainElement("layout"))
		t.platform.RestoreTo(snapshot, time.Hour)
		Expect(t.platform.Names("once")).NotTo(ContainElement("layout"))
		Eventually(func() []string { return t.platform.Names("once") }).WithTimeout(5 * time.Second).Should(ContainElement("layout"))
	})

	// Guards against a hold that is booked twice: its record was lost in the restore, and
	// the hosts that knew it have left since.
	It("do not run a hold again that ran just before", func() {
		t := newFixture("e1")
		a, b := t.start("a", "z1", nil), t.start("b", "z2", nil)
		Eventually(t.settled(2)).WithTimeout(20 * time.Second).Should(Succeed())
		Eventually(answerOf(a, "early")).WithTimeout(20 * time.Second).ShouldNot(BeEmpty())
		time.Sleep(4 * time.Second) // all logs are loaded by then
		first, err := answerOf(a, "late")()
		Expect(err).NotTo(HaveOccurred())
		Expect(first).NotTo(BeEmpty())
		t.platform.Restore(500*time.Millisecond, time.Hour)
		for _, h := range []*runningHost{a, b} {
			Eventually(func() int { return h.logs.FilterMessage("store came back from an older copy").Len() }).WithTimeout(5 * time.Second).Should(Equal(1))
		}
		Eventually(answerOf(b, "new")).WithTimeout(10 * time.Second).ShouldNot(BeEmpty())
		time.Sleep(time.Second)
		for _, h := range []*runningHost{a, b} {
			h.term()
			Eventually(h.done).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
		}
		c := t.start("c", "z1", nil)
		Eventually(answerOf(c, "late")).WithTimeout(20 * time.Second).Should(Equal(first))
		Eventually(answerOf(c, "early")).WithTimeout(5 * time.Second).ShouldNot(BeEmpty())
		for id, n := range t.holds.Counts() {
			Expect(n).To(Equal(1), id)
		}
	})
})
