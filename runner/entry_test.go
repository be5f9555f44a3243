package runner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/prover"
)

// sentBy is the messages of one type that are on their way.
func sentBy[M messenger.Message](w *hosts) []M {
	var found []M
	for _, f := range w.frames {
		if m, ok := f.message.(M); ok {
			found = append(found, m)
		}
	}
	return found
}

var _ = Describe("An entry", func() {
	// The host that dispatched froze; another took over and granted; the first
	// comes back and grants what it still has in its queue. Whoever takes both
	// holds two places and gives one back.
	DescribeTable("takes one grant, of the newest dispatcher, and gives all others back",
		func(change func(g *messenger.Grant)) {
			w := newHosts("a", "b")
			first := hold(w, 10*time.Millisecond)
			e := first.host
			c := w.ask(e)
			g := messenger.Grant{
				Request: c.id, Cell: cell, Worker: "w0", Attempt: sentBy[messenger.Ask](w)[0].Attempt,
				Epoch: first.place.Fence, Class: "check",
			}
			change(&g)
			w.frames = nil
			e.control.Deliver(w.now, w.owner().name, g)
			Expect(sentBy[messenger.Done](w)).To(ConsistOf(HaveField("Request", g.Request)))
			_, answered := c.poll()
			Expect(answered).To(BeFalse())
		},
		Entry("an older epoch", Label(prover.Cell(prover.Granted, prover.Freeze)), func(g *messenger.Grant) { g.Epoch-- }),
		Entry("an earlier attempt", Label(prover.Cell(prover.Granted, prover.Reorder)), func(g *messenger.Grant) { g.Attempt-- }),
		Entry("a worker it does not know", func(g *messenger.Grant) { g.Worker = "w9" }),
		Entry("a request it does not have", func(g *messenger.Grant) { g.Request = "r99" }),
	)

	// The caller hangs up while its request waits.
	It("withdraws the ask of a caller that went away", func() {
		w := newHosts("a", "b")
		c := w.ask(w.entry())
		w.run(10 * time.Millisecond)
		w.frames = nil
		d := w.ask(c.host)
		d.host.control.Leave(w.now, d.id)
		Expect(sentBy[messenger.Cancel](w)).To(ConsistOf(HaveField("Request", d.id)))
	})

	// A long answer takes most of a minute. A place that is not renewed would be
	// given to another meanwhile.
	It("keeps its place while it says so", func() {
		w := newHosts("a", "b")
		c := hold(w, 10*time.Millisecond)
		c.until = w.now.Add(time.Minute)
		w.run(50 * time.Second)
		Expect(w.owner().control.State().Cells[0].Granted).To(HaveKey(c.id))
	})

	// Its Ask was lost with a connection that shows no error.
	It("asks again when nobody answers", Label(prover.Cell(prover.Asked, prover.Blackhole)), func() {
		w := newHosts("a", "b")
		c := w.ask(w.entry())
		w.frames = nil
		w.run(2 * time.Second)
		Expect(c.place).To(BeNil())
		w.run(time.Second)
		Expect(c.place).NotTo(BeNil())
	})

	// A host was given another's cell and still has the old one's queue: it would
	// go on granting from it beside the new owner.
	It("ends its dispatcher of a cell that has another owner", func() {
		w := newHosts("a", "b", "c")
		hold(w, 10*time.Millisecond)
		old := w.owner()
		old.left = true
		w.roster()
		Expect(old.control.State().Cells).To(BeEmpty())
	})

	// A dispatcher's host dies while a call holds a place.
	It("claims its place from the next dispatcher", Label(prover.Cell(prover.Sent, prover.Kill)), func() {
		w := newHosts("a", "b", "c")
		c := hold(w, 10*time.Millisecond)
		old := w.owner()
		old.dead, old.left = true, true
		w.frames = nil
		w.roster()
		w.run(10 * time.Millisecond)
		state := w.owner().control.State()
		Expect(state.Cells).To(HaveLen(1))
		Expect(state.Cells[0].Granted).To(HaveKeyWithValue(c.id, "w0"))
	})
})
