package runner_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
)

// Guards against callers of the product's own interface who are refused as their host has lost
// its links to the backend servers that a dispatcher grants it, while other hosts reach them.
var _ = DescribeTable("A host of the own interface that is cut from the backend servers serves its callers",
	func(path, body string, m faker.LinkMode) {
		t := newFixture("e-1", "e-2")
		var links []*faker.Link
		t.start("h-1", "a", func(h *loader.Host) { links = t.link(h) })
		t.start("h-2", "a", nil)
		t.start("h-3", "b", nil)
		Eventually(t.settled(3)).WithTimeout(20 * time.Second).Should(Succeed())
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		status, text, _, err := post(client, t.hosts["h-1"].listen, path, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK), text)
		for _, l := range links {
			l.Set(m, 0)
		}
		time.Sleep(3 * time.Second) // by then it is noticed, by the platform's stableMs
		served, all := 0, 0
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); all++ {
			if status, _, _, err := post(client, t.hosts["h-1"].listen, path, body); err == nil && status == http.StatusOK {
				served++
			}
		}
		Expect(float64(served)/float64(all)).To(BeNumerically(">=", 2.0/3), "of %d", all)
	},
	Entry("streams, no answer to handshakes", chatPath, chat(5), faker.Unreachable),
	Entry("calls, no answer to handshakes", "/services/app/quote", "{}", faker.Unreachable),
	Entry("calls, connections refused", "/services/app/quote", "{}", faker.RefuseAll),
)

// link makes a host reach each backend server through a link of its own.
func (t *fixture) link(h *loader.Host) []*faker.Link {
	var links []*faker.Link
	addresses := []string{t.app}
	for _, a := range t.engines {
		addresses = append(addresses, a)
	}
	for _, address := range addresses {
		l, closeLink, err := faker.NewLink(freeAddress(), address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeLink)
		links = append(links, l)
		h.Translate = append(h.Translate, loader.Translation{Own: address, Here: l.Address()})
	}
	return links
}
