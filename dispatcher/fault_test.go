package dispatcher_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/prover"
)

var _ = Describe("Dispatcher with failing entries", func() {
	// A host fails with a call on a worker. Its connection to the worker
	// breaks, so the worker is free, but no host sends the Done: without the
	// grace period the place would stay in use as long as the dispatcher runs.
	It("reclaims a failed host's places after a grace period, and drops its waiting requests immediately",
		Label(prover.Cell(prover.Granted, prover.Kill), prover.Cell(prover.Queued, prover.Kill)), func() {
			d := started(1, 1)
			Expect(only[messenger.Grant](d.Handle(ready, "a", ask("one", "check")))).To(HaveLen(1))
			d.Handle(ready, "a", ask("two", "check"))
			d.Handle(ready, "b", ask("three", "letter"))
			Expect(d.HostLost(ready, "a")).To(BeEmpty())
			Expect(d.State().Waiting).To(ConsistOf("three"))
			Expect(d.Tick(ready.Add(1900 * time.Millisecond))).To(BeEmpty())
			granted := only[messenger.Grant](d.Tick(ready.Add(2 * time.Second)))
			Expect(granted).To(HaveLen(1))
			Expect(granted[0].Request).To(Equal("three"))
		})

	// The roster loses a host that was only frozen or cut off. The host returns
	// with its call still running and claims it: the place must not be granted
	// twice.
	It("keeps a place that its host claims again within the grace period",
		Label(prover.Cell(prover.Granted, prover.Freeze), prover.Cell(prover.Granted, prover.CutBothWays)), func() {
			d := started(1, 1)
			g := only[messenger.Grant](d.Handle(ready, "a", ask("one", "summary")))[0]
			d.Handle(ready, "b", ask("two", "summary"))
			d.HostLost(ready, "a")
			repeated := ask("one", "summary")
			repeated.Attempt = 2
			d.Handle(ready.Add(time.Second), "a", messenger.Claim{Ask: repeated, Worker: g.Worker})
			Expect(d.Tick(ready.Add(3 * time.Second))).To(BeEmpty())
			Expect(d.State().Granted).To(HaveKey("one"))
		})

	// A Done is lost with its connection; its host lives on. The entry cut the
	// call off at its deadline, so the place is free after that.
	It("reclaims a place whose deadline has passed without a Done",
		Label(prover.Cell(prover.Granted, prover.Blackhole), prover.Cell(prover.Sent, prover.Blackhole)), func() {
			d := started(1, 1)
			d.Handle(ready, "a", ask("one", "check"))
			Expect(d.Tick(ready.Add(3900 * time.Millisecond))).To(BeEmpty())
			Expect(d.State().Granted).To(HaveKey("one"))
			d.Tick(ready.Add(4100 * time.Millisecond))
			Expect(d.State().Granted).To(BeEmpty())
			Expect(d.State().Classes[0].Counts).To(Equal(dispatcher.Counts{Granted: 1, Reclaimed: 1}))
		})

	// A frame is sent twice, or again on a new connection after a later one.
	// The caller has gone: an Ask that counted after its Cancel would get a
	// place that no caller uses.
	DescribeTable("leaves no request behind when messages are duplicated or reordered",
		func(order ...messenger.Message) {
			d := started(1, 1)
			for _, m := range order {
				d.Handle(ready, "a", m)
			}
			Expect(d.State().Granted).To(BeEmpty())
			Expect(d.State().Waiting).To(BeEmpty())
		},
		Entry("Cancel before Ask", Label(prover.Cell(prover.Asked, prover.Reorder)),
			messenger.Cancel{Request: "one", Attempt: 1}, ask("one", "check")),
		Entry("Ask twice, Done twice", Label(prover.Cell(prover.Granted, prover.Reorder)),
			ask("one", "check"), ask("one", "check"), messenger.Done{Request: "one", Attempt: 1}, messenger.Done{Request: "one", Attempt: 1}),
		Entry("Done before Claim", Label(prover.Cell(prover.RoleTaken, prover.Reorder)),
			messenger.Done{Request: "one", Attempt: 1}, messenger.Claim{Ask: ask("one", "check"), Worker: "w0"}),
		Entry("Ask after Done", Label(prover.Cell(prover.Sent, prover.Reorder)),
			ask("one", "check"), messenger.Done{Request: "one", Attempt: 1}, ask("one", "check")),
	)

	// The Grant is lost on its way and the entry asks again with a newer
	// attempt. A second place for the request would stay in use indefinitely.
	It("repeats a lost grant on the same place",
		Label(prover.Cell(prover.Granted, prover.CutOneWay)), func() {
			d := started(2, 1)
			first := only[messenger.Grant](d.Handle(ready, "a", ask("one", "check")))[0]
			repeated := ask("one", "check")
			repeated.Attempt = 2
			second := only[messenger.Grant](d.Handle(ready, "a", repeated))[0]
			Expect(second.Worker).To(Equal(first.Worker))
			Expect(second.Attempt).To(Equal(uint64(2)))
			Expect(d.State().Granted).To(HaveLen(1))
			d.Handle(ready, "a", done(first)) // gives the first grant back as outdated
			Expect(d.State().Granted).To(HaveLen(1))
		})
})

var _ = Describe("New dispatcher of a cell", func() {
	// A dispatcher's host fails while its workers are full. The next dispatcher
	// doesn't know the grants in use: granting immediately, it would give every
	// worker twice what it can take.
	It("grants nothing until the claims have arrived, and then only free places",
		Label(prover.Cell(prover.RoleTaken, prover.Kill), prover.Pair(prover.RoleTaken, prover.Kill, prover.Queued, prover.Kill)), func() {
			d := dispatcher.New(cellOf(1, 2), 1, classes(), dispatcher.Options{})
			Expect(d.Handle(epochStart, "a", ask("one", "check"))).To(BeEmpty())
			d.Handle(epochStart.Add(100*time.Millisecond), "b", messenger.Claim{Ask: ask("two", "summary"), Worker: "w0"})
			d.Handle(epochStart.Add(100*time.Millisecond), "b", messenger.Claim{Ask: ask("three", "summary"), Worker: "w0"})
			Expect(d.Tick(epochStart.Add(400 * time.Millisecond))).To(BeEmpty())
			out := d.Handle(epochStart.Add(500*time.Millisecond), "b", messenger.Done{Request: "two", Attempt: 1})
			Expect(only[messenger.Grant](out)).To(HaveLen(1))
		})

	// The previous dispatcher was frozen, its successor has granted places, and
	// the previous one returns. Entries refuse the older epoch, so the
	// successor's must be higher even if its clock is behind.
	It("raises its epoch, and with it the order of its grants, above any that an entry has seen",
		Label(prover.Cell(prover.RoleTaken, prover.Freeze)), func() {
			d := started(1, 4)
			before := only[messenger.Grant](d.Handle(ready, "a", ask("one", "check")))[0]
			seen := ask("two", "check")
			seen.Epoch = before.Epoch + 5
			after := only[messenger.Grant](d.Handle(ready, "a", seen))[0]
			Expect(after.Epoch).To(BeNumerically(">", seen.Epoch))
			Expect(after.Order).To(BeNumerically(">", before.Order))
		})
})
