package runner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/runner"
)

// serviceOwnedBy returns a service whose cell is owned by a host of the roster.
func serviceOwnedBy(r registrar.Roster, host string) string {
	for i := 0; ; i++ {
		service := fmt.Sprint("service", i)
		if owner, _ := r.Owner(service + "/0"); owner.Name == host {
			return service
		}
	}
}

// readyKeeper returns a host's keeper that has read its log, which is empty.
func readyKeeper(now time.Time, c runner.Control) *keeper.Keeper {
	k := c.Keeper(0)
	k.Handle(now, keeper.LoadRequested{})
	for _, o := range k.Handle(now, keeper.HeadRead{Result: keeper.Missing}) {
		if w, ok := o.(keeper.WriteHead); ok {
			k.Handle(now, keeper.HeadWritten{Stamp: w.Head.Stamp, Version: 1, Result: keeper.Done})
		}
	}
	return k
}

var _ = Describe("A host that rejoins", func() {
	// Guards against a place that is granted twice. A host freezes, is declared dead and
	// rejoins; its stream still runs on a worker, but the dispatcher has reclaimed the
	// place. The host must claim it again.
	It("registers its calls again with an owner that reclaimed them", Label(prover.Cell(prover.Granted, prover.Freeze)), func() {
		now := time.Unix(1000, 0)
		first := registrar.NewRoster(registrar.Record{Name: "a", Incarnation: 1}, registrar.Record{Name: "b", Control: "b", Incarnation: 1})
		service := serviceOwnedBy(first, "b")
		var asks []messenger.Ask
		var claims []messenger.Claim
		c := runner.NewControl("a", func(_ string, m messenger.Message) {
			switch m := m.(type) {
			case messenger.Ask:
				asks = append(asks, m)
			case messenger.Claim:
				claims = append(claims, m)
			}
		})
		c.Configure(now, &loader.Folder{
			Classes:  map[string]loader.Class{"chat": {AnswerTarget: loader.Duration(time.Minute)}},
			Services: map[string]loader.Service{service: {Kind: loader.KindEngine, Workers: []loader.Worker{{Name: "w", Address: "w", Slots: 4}}}},
		})
		c.SetRoster(now, first)
		answer := c.Ask(now, service, messenger.Ask{Request: "r", Class: "chat", Deadline: time.Minute})
		Expect(asks).To(HaveLen(1))
		c.Deliver(now, "b", messenger.Grant{Request: "r", Attempt: asks[0].Attempt, Cell: service + "/0", Worker: "w", Epoch: 1, Class: "chat"})
		got, ok := answer()
		Expect(ok && got.Refusal == nil).To(BeTrue())
		c.SetRoster(now, registrar.NewRoster(registrar.Record{Name: "b", Control: "b", Incarnation: 1}))
		Expect(claims).To(BeEmpty(), "the owner is the same as before")
		c.SetRoster(now, registrar.NewRoster(registrar.Record{Name: "a", Incarnation: 2}, registrar.Record{Name: "b", Control: "b", Incarnation: 1}))
		Expect(claims).To(HaveLen(1))
		Expect(claims[0].Worker).To(Equal("w"))
	})

	// Guards against a keeper that answers from an outdated log: its host froze, another
	// one took its partition and ran calls, and the host rejoined.
	It("has its keepers discard their logs", func() {
		now := time.Unix(1000, 0)
		c := runner.NewControl("a", func(string, messenger.Message) {})
		c.SetRoster(now, registrar.NewRoster(registrar.Record{Name: "a", Incarnation: 1}))
		k := readyKeeper(now, c)
		Expect(k.Summary().Ready).To(BeTrue())
		c.SetRoster(now, registrar.NewRoster(registrar.Record{Name: "a", Incarnation: 1}))
		Expect(k.Summary().Ready).To(BeTrue())
		c.SetRoster(now, registrar.NewRoster(registrar.Record{Name: "a", Incarnation: 2}))
		Expect(k.Summary().Ready).To(BeFalse())
	})
})

// Guards against a late tick when nothing is in progress but a refusal that waits for the
// head, or a store that was down: the caller would be answered "unknown", or the partition
// would be ready long after the store.
var _ = DescribeTable("Keepers are ticked soon", func(last keeper.Input) {
	now := time.Unix(1000, 0)
	c := runner.NewControl("a", func(string, messenger.Message) {})
	k := readyKeeper(now, c)
	call := keeper.Call{ID: keeper.NewID("o", "s", "k"), Request: "r", From: "e", Deadline: now.Add(time.Minute)}
	k.Handle(now, keeper.CallReceived{Call: call})
	k.Handle(now, keeper.Unplaced{ID: call.ID, Attempt: 1})
	if last != nil {
		k.Handle(now, last)
	}
	c.Tick(now)
	Expect(c.Next()).To(BeTemporally("<=", now.Add(20*time.Millisecond)))
},
	Entry("a refusal waits for the head", nil),
	Entry("the store is down", keeper.HeadRead{Result: keeper.Down}),
)
