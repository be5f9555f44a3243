package runner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/runner"
)

// Guards against a host that starts, or becomes a decider, without knowing the requests
// at the workers.
var _ = Describe("A host that has just started", func() {
	workers := []placer.Worker{{Name: "d-1", Service: "desk", Zone: "z", Slots: 8}}
	quote := placer.Request{Service: "desk", Left: time.Second, Target: 300 * time.Millisecond}
	roster := func(hosts ...int) registrar.Roster {
		var records []registrar.Record
		for _, i := range hosts {
			n := fmt.Sprintf("h-%02d", i)
			records = append(records, registrar.Record{Name: n, Zone: "z", Control: n})
		}
		return registrar.NewRoster(records...)
	}
	hostNumbers := func(n int) []int {
		out := make([]int, n)
		for i := range out {
			out[i] = i
		}
		return out
	}
	// running returns how many running requests each host was notified of.
	running := func(out []sent) map[string]int {
		n := map[string]int{}
		for _, s := range out {
			if m, ok := s.m.(messenger.FlightUpdate); ok {
				n[s.to] += len(m.Running)
			}
		}
		return n
	}

	It("receives the running requests of each host of a small fleet from that host", func() {
		var out []sent
		now := time.Now()
		c := runner.NewSelector("h-00", workers, func(to string, m messenger.Message) { out = append(out, sent{to, m}) })
		c.SetRoster(now, roster(hostNumbers(4)...))
		for range 3 {
			Eventually(c.Ask(now, quote)).Should(Receive())
		}
		out = nil
		c.SetRoster(now, roster(0, 1, 2, 3, 9))
		Expect(running(out)).To(Equal(map[string]int{"h-09": 3}))
		started := runner.NewSelector("h-09", workers, func(string, messenger.Message) {})
		for _, s := range out {
			started.Receive(now, "h-00", s.m)
		}
		Expect(started.Flights(now, "d-1")).To(Equal(3))
	})

	It("receives all running requests from one earlier listener, when it becomes a listener in a large fleet", func() {
		now := time.Now()
		before := roster(hostNumbers(20)...)
		owners := before.Owners("decide", 20)
		var rest []registrar.Record
		for _, h := range before.Hosts() {
			if h.Name != owners[0].Name {
				rest = append(rest, h)
			}
		}
		senders := 0
		for _, h := range owners[1:] {
			var out []sent
			c := runner.NewSelector(h.Name, workers, func(to string, m messenger.Message) { out = append(out, sent{to, m}) })
			c.SetRoster(now, before)
			c.Receive(now, owners[0].Name, messenger.FlightUpdate{Sent: []messenger.Flight{{ID: 7, Worker: "d-1", Left: time.Second, Host: owners[9].Name}}})
			out = nil
			c.SetRoster(now, registrar.NewRoster(rest...))
			if n := running(out); len(n) > 0 {
				senders++
				Expect(n).To(Equal(map[string]int{owners[5].Name: 1}))
			}
		}
		Expect(senders).To(Equal(1))
	})
})
