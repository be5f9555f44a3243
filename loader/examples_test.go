package loader_test

import (
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
)

// deployment is the expected content of an example.
type deployment struct {
	dir           string
	zones         []string
	zoneLatency   time.Duration
	clientLatency time.Duration
	workers       map[string]int
	classes       []string
	hostCount     int
}

var _ = DescribeTable("The examples describe the two deployments completely",
	func(d deployment) {
		files, err := loader.ReadFiles(d.dir)
		Expect(err).NotTo(HaveOccurred())
		f, err := files.Parse()
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Zones).To(HaveLen(len(d.zones)))
		for _, z := range d.zones {
			Expect(f.Zones[z].Clients.Std()).To(Equal(d.clientLatency))
			Expect(f.Zones[z].Latency).To(HaveLen(len(d.zones) - 1))
			for _, l := range f.Zones[z].Latency {
				Expect(l.Std()).To(Equal(d.zoneLatency))
			}
		}
		Expect(f.Services).To(HaveLen(len(d.workers)))
		for name, n := range d.workers {
			Expect(f.Services[name].Workers).To(HaveLen(n), name)
		}
		Expect(f.Classes).To(HaveLen(len(d.classes)))
		for _, c := range d.classes {
			Expect(f.Classes).To(HaveKey(c))
		}
		Expect(f.Organisations).To(HaveLen(10))
		hosts, err := filepath.Glob(filepath.Join(d.dir, "hosts", "*.jsonc"))
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts).To(HaveLen(d.hostCount))
		for _, path := range hosts {
			h, err := loader.ReadHost(path)
			Expect(err).NotTo(HaveOccurred())
			Expect(d.zones).To(ContainElement(h.Zone))
			Expect(h.Peers).To(HaveLen(3))
			Expect(h.Peers).NotTo(ContainElement(h.Control))
		}
	},
	Entry("Wodnik", deployment{
		dir: "../examples/wodnik", zones: []string{"gdansk-a", "gdansk-b", "gdynia", "sopot"},
		zoneLatency: 1500 * time.Microsecond, clientLatency: 3 * time.Millisecond,
		workers: map[string]int{"cicada-lm": 12, "booking-app": 4},
		classes: []string{"quote", "hold", "chat", "plan"}, hostCount: 9,
	}),
	Entry("Krilo", deployment{
		dir: "../examples/krilo", zones: []string{"mladost-hall", "lozenets-hall", "druzhba-hall"},
		zoneLatency: time.Millisecond, clientLatency: time.Millisecond,
		workers: map[string]int{"drafting-models": 9, "crew-status": 3},
		classes: []string{"check", "summary", "letter"}, hostCount: 8,
	}),
)
