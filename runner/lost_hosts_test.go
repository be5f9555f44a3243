package runner_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/resumer"
	"github.com/cicadawood/cicadawood/runner"
	"github.com/cicadawood/cicadawood/storer"
)

// Guards against two hosts that were cut off together and agree on a version, while the others use another one.
var _ = DescribeTable("A stream that nobody knows while the store is silent", func(hosts []string, want resumer.Result) {
	now := time.Now()
	var asks []messenger.OriginRequest
	x := runner.NewSelectorOf(now, loader.Host{Name: "h", Zone: "z"}, nil, func(_ string, m messenger.Message) {
		if r, ok := m.(messenger.OriginRequest); ok {
			asks = append(asks, r)
		}
	})
	x.StoreAnswered(now, now, true, relayer.Update{Upto: 2, Changed: []storer.Object{workerEvent(2, "a", "1", "v1")}})
	rosterOf := func(names ...string) registrar.Roster {
		var list []registrar.Record
		for _, n := range append(names, "h") {
			list = append(list, registrar.Record{Name: n, Control: n, Incarnation: 1})
		}
		return registrar.NewRoster(list...)
	}
	all := []string{"w-1", "w-2", "w-3", "w-4"}
	x.SetRoster(now, rosterOf(all...))
	for _, n := range all {
		x.Receive(now, n, messenger.OriginRequest{Reply: n})
	}
	x.SetRoster(now, rosterOf(hosts...))
	x.SetListReader(func(storer.Version) (relayer.Update, error) { return relayer.Update{}, errors.New("no answer") })
	answer := x.TakeUp(time.Now(), resumer.TakenUp{Stream: resumer.KeyOf("o", "try-1"), Services: []string{"s"}})
	Eventually(func() []messenger.OriginRequest {
		x.HandlePosted()
		return asks
	}, time.Second, time.Millisecond).Should(HaveLen(len(hosts)))
	history := messenger.SoftwareHistory{Service: "s", Software: []string{"version v1"}, Complete: true, Fresh: true}
	for _, n := range hosts {
		x.Receive(time.Now(), n, messenger.OriginReply{Unknown: asks[0].Keys, Histories: []messenger.SoftwareHistory{history}})
	}
	Eventually(func() <-chan resumer.Answer {
		x.HandlePosted()
		return answer
	}, time.Second, time.Millisecond).Should(Receive(HaveField("Result", want)))
},
	Entry("goes on if most hosts agree", []string{"w-1", "w-2", "w-3"}, resumer.OneVersion),
	Entry("is refused if those that agree have lost most hosts", []string{"w-1"}, resumer.Unknown),
	Entry("is refused if half of the hosts are lost", []string{"w-1", "w-2"}, resumer.Unknown),
)
