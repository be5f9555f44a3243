package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

// Guards against several hosts filling an engine's last slot at the same time, so that streams
// are preempted.
var _ = Describe("Hosts that decide at the same time", func() {
	It("fill no engine beyond its slots before they learn of each other", func() {
		const hosts, slots = 3, 24
		names := []string{"e-1", "e-2", "e-3", "e-4"}
		workers := engines(names...)
		for i := range workers {
			workers[i].Slots = slots
		}
		var views []*placer.View
		for i := range hosts {
			v := placer.New("a")
			v.SetDeciders(hosts, i)
			v.SetWorkers(start, workers)
			for id := range uint64(len(names) * (slots - 1)) {
				f := placer.Flight{ID: 100 + id, Worker: names[id%4], Hold: 800, Output: 300, Left: 9 * time.Second}
				v.Receive(start, "other", f)
				v.Begun(start, f.ID)
			}
			views = append(views, v)
		}
		taken := map[string]int{}
		placed := 0
		for i, v := range views {
			for id := range uint64(8) {
				chat := placer.Request{Service: "lm", Prompt: 800, Output: 300, Left: 10 * time.Second, FirstEventTimeout: 2 * time.Second, Target: 300 * time.Millisecond}
				if c, refusal := v.Place(start, 1000*uint64(i+1)+id, chat); refusal == nil {
					taken[c.Worker.Name]++
					placed++
				}
			}
		}
		Expect(placed).To(Equal(len(names)), "each last slot belongs to a host")
		for _, n := range taken {
			Expect(n).To(Equal(1))
		}
	})
})
