package keeper_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/keeper"
)

// The keeper has reached its maximum of one operation in flight, which waits for its place.
// Each spec feeds it inputs one by one. The actions of another keeper meanwhile show in the
// head that it reads.
var _ = Describe("A refusal held until the head is confirmed", func() {
	var k *keeper.Keeper
	var now time.Time
	first := keeper.Call{ID: keeper.NewID("o", "s", "k0"), Hash: keeper.Hash([]byte("a")), Request: "r0", From: "e"}
	second := keeper.Call{ID: keeper.NewID("o", "s", "k1"), Request: "r1", From: "e"}
	ownHead := keeper.HeadRead{Version: 1, Result: keeper.Done}
	otherHead := keeper.HeadRead{Head: keeper.Head{Epoch: 2, Stamp: keeper.Stamp{Keeper: "b"}}, Version: 2, Result: keeper.Done}

	// verdictOn returns the verdict on a request among the outputs, if any.
	verdictOn := func(out []keeper.Output, request string) keeper.Verdict {
		for _, o := range out {
			if r, ok := o.(keeper.Reply); ok && r.Request == request {
				return r.Verdict
			}
		}
		return keeper.Verdict{}
	}
	write := func(out []keeper.Output) keeper.WriteHead {
		for _, o := range out {
			if w, ok := o.(keeper.WriteHead); ok {
				return w
			}
		}
		return keeper.WriteHead{}
	}

	BeforeEach(func() {
		now = time.Unix(1_800_000_000, 0)
		first.Deadline, second.Deadline = now.Add(time.Second), now.Add(time.Minute)
		k = keeper.New("a", 1, keeper.Settings{MaxOperations: 1})
		k.Handle(now, keeper.CallReceived{Call: first})
		seal := write(k.Handle(now, keeper.HeadRead{Result: keeper.Missing}))
		Expect(k.Handle(now, keeper.HeadWritten{Stamp: seal.Head.Stamp, Version: 1, Result: keeper.Done})).To(ContainElement(HaveField("Attempt", 1)))
	})

	// The write of the head began before the call arrived. A successor may have sealed the
	// log and run the key between the two, so the write confirms nothing about the call.
	It("is not confirmed by a write that began before the call", func() {
		intent := write(k.Handle(now, keeper.Placed{ID: first.ID, Attempt: 1}))
		Expect(verdictOn(k.Handle(now, keeper.CallReceived{Call: second}), "r1").Kind).To(BeZero())
		out := k.Handle(now, keeper.HeadWritten{Stamp: intent.Head.Stamp, Version: 2, Result: keeper.Done})
		Expect(verdictOn(out, "r1").Kind).To(BeZero())
		Expect(out).To(ContainElement(keeper.ReadHead{}))
		out = k.Handle(now, keeper.HeadRead{Head: intent.Head, Version: 2, Result: keeper.Done})
		Expect(verdictOn(out, "r1").Kind).To(Equal(keeper.KindNotRun))
	})

	// The store hangs. The caller is asked to repeat the call after 200 ms, without a "not run".
	It("becomes unknown when the head is not confirmed in time", func() {
		Expect(k.Handle(now, keeper.CallReceived{Call: second})).To(ContainElement(keeper.ReadHead{}))
		now = now.Add(200 * time.Millisecond)
		v := verdictOn(k.Handle(now, keeper.Ticked{}), "r1")
		Expect(v.Kind).To(Equal(keeper.KindUnknown))
		Expect(v.RetryAfter).To(BeNumerically(">", 0))
	})

	// No place is granted before the call's deadline, and meanwhile another keeper has sealed
	// the log and may have run the key.
	It("is not sent as not run at the deadline of a call without a place", func() {
		now = now.Add(time.Second)
		out := k.Handle(now, keeper.Ticked{})
		Expect(verdictOn(out, "r0").Kind).To(BeZero())
		Expect(out).To(ContainElement(keeper.ReadHead{}))
		Expect(verdictOn(k.Handle(now, otherHead), "r0").Kind).To(Equal(keeper.KindMoved))
	})

	// A key arrives with another body while it waits for its place. Under the keeper that has
	// sealed the log, the call with the other body may have run.
	It("is not sent as reused for a key that is not in the log", func() {
		other := first
		other.Hash, other.Request = keeper.Hash([]byte("b")), "r2"
		Expect(verdictOn(k.Handle(now, keeper.CallReceived{Call: other}), "r2").Kind).To(BeZero())
		Expect(verdictOn(k.Handle(now, otherHead), "r2").Kind).To(Equal(keeper.KindMoved))
	})

	// The host was declared dead while its keeper read the head. The result of that read is
	// outdated: the head must be read again, but not before that read ends.
	It("reads the head again after a rejoin, one call at a time", func() {
		Expect(k.Handle(now, keeper.CallReceived{Call: second})).To(ContainElement(keeper.ReadHead{}))
		Expect(verdictOn(k.Handle(now, keeper.Rejoined{}), "r1").Kind).To(Equal(keeper.KindMoved))
		Expect(k.Handle(now, keeper.LoadRequested{})).NotTo(ContainElement(keeper.ReadHead{}))
		out := k.Handle(now, ownHead)
		Expect(write(out).Match).To(BeZero())
		Expect(out).To(ContainElement(keeper.ReadHead{}))
		Expect(write(k.Handle(now, otherHead)).Match).To(BeEquivalentTo(2))
	})
})
