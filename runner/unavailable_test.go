package runner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/observer"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/runner"
)

// Guards against requests for a worker that told this host to send it none, because a decider
// that does not know picked it.
var _ = Describe("A host whose deciders don't know what a worker told it", func() {
	var (
		now     time.Time
		out     []sent
		host    runner.Selector
		quote   = placer.Request{Service: "desk", Left: time.Second, Target: 300 * time.Millisecond}
		workers = []observer.Entry{}
	)
	for _, name := range []string{"d-1", "d-2"} {
		workers = append(workers, observer.Entry{Listing: observer.Listing{Service: "desk", Name: name, Address: "127.0.0.1:1", Zone: "z", Slots: 8}})
	}
	worker := func(name string) placer.Worker { return placer.Worker{Name: name, Service: "desk"} }
	BeforeEach(func() {
		now, out = time.Now(), nil
		var records []registrar.Record
		for i := range 20 {
			n := fmt.Sprintf("h-%02d", i)
			records = append(records, registrar.Record{Name: n, Zone: "z", Control: n})
		}
		roster := registrar.NewRoster(records...)
		host = runner.NewSelector(roster.Owners("decide", 20)[10].Name, nil, func(to string, m messenger.Message) { out = append(out, sent{to, m}) })
		host.SetRoster(now, roster)
		host.List(now, workers)
	})
	// reply has the decider that was asked last pick a worker.
	reply := func(worker string) {
		last := out[len(out)-1]
		host.Receive(now, last.to, messenger.PlacementReply{ID: last.m.(messenger.PlacementRequest).ID, Flight: 7, Worker: worker})
	}

	It("asks them to leave out a worker that wants no requests for a time", func() {
		host.ReportBackoff(now, worker("d-1"), 3*time.Second)
		host.Ask(now, quote)
		Expect(out[len(out)-1].m.(messenger.PlacementRequest).Exclude).To(Equal([]string{"d-1"}))
		host.Ask(now.Add(3*time.Second), quote)
		Expect(out[len(out)-1].m.(messenger.PlacementRequest).Exclude).To(BeEmpty())
	})

	It("does not use their choice of a worker that came to want none meanwhile", func() {
		got := host.Ask(now, quote)
		host.ReportBackoff(now, worker("d-1"), 3*time.Second)
		reply("d-1")
		Eventually(got).Should(Receive(Equal("d-2 by ")))
	})

	It("refuses by itself if all workers want none", func() {
		host.ReportBackoff(now, worker("d-1"), 3*time.Second)
		host.ReportBackoff(now, worker("d-2"), 3*time.Second)
		Eventually(host.Ask(now, quote)).Should(Receive(Equal("refused backoff")))
		Expect(out).To(BeEmpty())
	})

	It("does not use their choice of a leaving worker, and tells them again", func() {
		host.ReportLeaving(now, observer.Process{Name: "d-1"})
		Expect(out).To(HaveLen(5), "the deciders and the two hosts next in order")
		got := host.Ask(now, quote)
		reply("d-1")
		Eventually(got).Should(Receive(Equal("d-2 by ")))
		told := 0
		for _, x := range out[6:] {
			if m, ok := x.m.(messenger.LeavingWorkers); ok {
				Expect(m.Processes).To(Equal([]messenger.WorkerProcess{{Worker: "d-1"}}))
				told++
			}
		}
		Expect(told).To(Equal(5))
	})

	It("uses no leaving worker of which another host tells it", func() {
		host.Receive(now, "h-01", messenger.LeavingWorkers{Processes: []messenger.WorkerProcess{{Worker: "d-1"}}})
		got := host.Ask(now, quote)
		reply("d-1")
		Eventually(got).Should(Receive(Equal("d-2 by ")))
	})
})
