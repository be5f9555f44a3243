package runner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/prover"
)

// inTransit returns the messages of one type that are in transit.
func inTransit[M messenger.Message](w *cluster) []M {
	var found []M
	for _, f := range w.frames {
		if m, ok := f.message.(M); ok {
			found = append(found, m)
		}
	}
	return found
}

var _ = Describe("An entry", func() {
	// Guards against an entry that accepts two grants, holds two places and returns only
	// one. The host that dispatched froze and another took over and granted; the first
	// resumes and grants what is still in its queue.
	DescribeTable("accepts one grant, of the newest dispatcher, and returns all others",
		func(change func(g *messenger.Grant)) {
			w := newCluster("a", "b")
			first := holdPlace(w, 10*time.Millisecond)
			e := first.host
			c := w.ask(e)
			g := messenger.Grant{
				Request: c.id, Cell: cell, Worker: "w0", Attempt: inTransit[messenger.Ask](w)[0].Attempt,
				Epoch: first.place.Fence, Class: "check",
			}
			change(&g)
			w.frames = nil
			e.control.Deliver(w.now, w.owner().name, g)
			Expect(inTransit[messenger.Done](w)).To(ConsistOf(HaveField("Request", g.Request)))
			_, answered := c.poll()
			Expect(answered).To(BeFalse())
		},
		Entry("an older epoch", Label(prover.Cell(prover.Granted, prover.Freeze)), func(g *messenger.Grant) { g.Epoch-- }),
		Entry("an earlier attempt", Label(prover.Cell(prover.Granted, prover.Reorder)), func(g *messenger.Grant) { g.Attempt-- }),
		Entry("a worker it does not know", func(g *messenger.Grant) { g.Worker = "w9" }),
		Entry("a request it does not have", func(g *messenger.Grant) { g.Request = "r99" }),
	)

	// The caller disconnects while its request waits.
	It("withdraws the ask of a caller that went away", func() {
		w := newCluster("a", "b")
		c := w.ask(w.entry())
		w.advance(10 * time.Millisecond)
		w.frames = nil
		d := w.ask(c.host)
		d.host.control.Cancel(w.now, d.id)
		Expect(inTransit[messenger.Cancel](w)).To(ConsistOf(HaveField("Request", d.id)))
	})

	// Guards against a place that is granted to another call during an answer of most of a
	// minute, because it was not renewed.
	It("keeps its place while it renews it", func() {
		w := newCluster("a", "b")
		c := holdPlace(w, 10*time.Millisecond)
		c.runsUntil = w.now.Add(time.Minute)
		w.advance(50 * time.Second)
		Expect(w.owner().control.State().Cells[0].Granted).To(HaveKey(c.id))
	})

	// Its Ask was lost with a connection that shows no error.
	It("asks again when nobody answers", Label(prover.Cell(prover.Asked, prover.Blackhole)), func() {
		w := newCluster("a", "b")
		c := w.ask(w.entry())
		w.frames = nil
		w.advance(2 * time.Second)
		Expect(c.place).To(BeNil())
		w.advance(time.Second)
		Expect(c.place).NotTo(BeNil())
	})

	// Guards against a host that goes on granting from its old queue beside the new owner
	// of the cell.
	It("ends its dispatcher of a cell that has another owner", func() {
		w := newCluster("a", "b", "c")
		holdPlace(w, 10*time.Millisecond)
		old := w.owner()
		old.removed = true
		w.roster()
		Expect(old.control.State().Cells).To(BeEmpty())
	})

	// The dispatcher's host fails while a call holds a place.
	It("claims its place from the next dispatcher", Label(prover.Cell(prover.Sent, prover.Kill)), func() {
		w := newCluster("a", "b", "c")
		c := holdPlace(w, 10*time.Millisecond)
		old := w.owner()
		old.crashed, old.removed = true, true
		w.frames = nil
		w.roster()
		w.advance(10 * time.Millisecond)
		state := w.owner().control.State()
		Expect(state.Cells).To(HaveLen(1))
		Expect(state.Cells[0].Granted).To(HaveKeyWithValue(c.id, "w0"))
	})
})
