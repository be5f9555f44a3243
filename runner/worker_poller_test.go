package runner_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/registrar"
)

var _ = Describe("A backend server that is leaving", func() {
	// Guards against requests sent to a backend server that is about to be replaced: they
	// would be cut off with it. Within a few seconds of one source reporting that it leaves,
	// it must get nothing new, through any host, and keep the requests that it has.
	DescribeTable("gets nothing new",
		func(announce func(t *fixture)) {
			t := newFixture("lm1", "lm2")
			t.platform.Hosts.Set([]faker.ListedHost{}, 0)
			a, b := t.start("a", "z1", nil), t.start("b", "z2", nil)
			Eventually(t.settled(2)).WithTimeout(10 * time.Second).Should(Succeed())
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			send := func(h *runningHost) int {
				status, _, _, err := post(client, h.listen, chatPath, chat(2))
				Expect(err).NotTo(HaveOccurred())
				return status
			}
			Eventually(func() int { send(a); return len(t.counters["lm1"].Counts()) }).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
			announce(t)
			unavailable := func() bool {
				send(b) // only the host that sent a request sees a refusal
				owner, _ := registrar.NewRoster(a.state().Roster...).Owner("lm/0")
				for _, w := range t.hosts[owner.Name].state().Workers {
					if w.Name == "lm1" {
						return !w.Available
					}
				}
				return false
			}
			Eventually(unavailable).WithTimeout(10 * time.Second).Should(BeTrue())
			before := len(t.counters["lm1"].Counts())
			for range 10 {
				Expect(send(a)).To(Equal(http.StatusOK))
				Expect(send(b)).To(Equal(http.StatusOK))
			}
			Expect(t.counters["lm1"].Counts()).To(HaveLen(before))
		},
		Entry("by the host list", func(t *fixture) { t.list("lm1") }),
		Entry("by its report and its refusal", func(t *fixture) { t.postLeave("lm1") }),
		Entry("by its report and its refusal, with the platform down", Label(prover.Pair(prover.Granted, prover.StoreDown, prover.Granted, prover.LateHostList)), func(t *fixture) {
			t.platform.SetFaults(faker.Faults{Down: true})
			t.postLeave("lm1")
		}),
		Entry("by its report, with a host list that is late", Label(prover.Cell(prover.Granted, prover.LateHostList), prover.Cell(prover.Sent, prover.LateHostList)), func(t *fixture) {
			t.list()
			t.postLeave("lm1")
		}),
	)
})

// list sets the host list: both engines are live, except those that are leaving.
func (t *fixture) list(leaving ...string) {
	var hosts []faker.ListedHost
	for name, address := range t.engines {
		h := faker.ListedHost{Service: "lm", Name: name, Address: address, Zone: "a", Slots: 16}
		for _, l := range leaving {
			h.Leaving = h.Leaving || l == name
		}
		hosts = append(hosts, h)
	}
	t.platform.Hosts.Set(hosts, 0)
}

func (t *fixture) postLeave(engine string) {
	resp, err := http.Post("http://"+t.engines[engine]+"/leave", "", nil)
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
}
