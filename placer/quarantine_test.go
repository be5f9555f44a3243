package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/quarantiner"
)

var _ = Describe("A request that crashes workers", func() {
	const bad = quarantiner.Fingerprint(7)
	var (
		v      *placer.View
		now    time.Time
		nextID uint64
	)
	BeforeEach(func() {
		v, now, nextID = placer.New("a"), start, 0
		v.SetWorkers(now, engines("e-1", "e-2", "e-3", "e-4", "e-5", "e-6"))
	})
	advance := func() time.Time { now = now.Add(50 * time.Millisecond); return now }
	place := func(f quarantiner.Fingerprint) (placer.Choice, *placer.Refusal) {
		nextID++
		return v.Place(advance(), nextID, placer.Request{Service: "lm", Prompt: 500, Output: 50, Left: 5 * time.Second, Target: time.Second, Fingerprint: f})
	}
	send := func(f quarantiner.Fingerprint) placer.Choice {
		c, refused := place(f)
		Expect(refused).To(BeNil())
		return c
	}

	// Guards against one crash per copy when copies arrive faster than they crash workers.
	It("goes where a copy of it is, and crashes one worker at a time", func() {
		first := send(bad)
		v.Ended(advance(), first.Flight.ID, placer.Disconnected)
		second, third := send(bad), send(bad)
		Expect(second.Worker.Name).To(Equal(third.Worker.Name))
		Expect(send(bad + 1).Worker.Name).NotTo(Equal(second.Worker.Name))
	})

	It("is refused after the third crash, with a retry time, and others are not", func() {
		for range 3 {
			v.Ended(advance(), send(bad).Flight.ID, placer.Disconnected)
		}
		Expect(v.Quarantine().DrainQuarantined()).To(HaveLen(1))
		_, refused := place(bad)
		Expect(refused).NotTo(BeNil())
		Expect(refused.Reason).To(Equal("quarantine"))
		Expect(refused.RetryAfter).To(BeNumerically(">", 9*time.Minute))
		send(bad + 1)
	})

	// Guards against a view that only learned of the crashes from another host sending the
	// request on.
	It("is refused by a host that learned of the crashes from another one", func() {
		other := placer.New("b")
		other.SetWorkers(now, engines("e-1", "e-2", "e-3", "e-4", "e-5", "e-6"))
		for range 3 {
			c := send(bad)
			other.Receive(advance(), "h", c.Flight)
			v.Ended(advance(), c.Flight.ID, placer.Disconnected)
			other.Ended(now, c.Flight.ID, placer.Disconnected)
		}
		_, refused := other.Place(now, 99, placer.Request{Service: "lm", Prompt: 500, Left: 5 * time.Second, Fingerprint: bad})
		Expect(refused).NotTo(BeNil())
	})

	// Guards against refusing sound requests because a worker breaks connections or answers.
	It("is none if its worker stays alive or answers it", func() {
		for range 9 {
			c := send(bad)
			var otherWorkers []string
			for _, w := range []string{"e-1", "e-2", "e-3", "e-4", "e-5", "e-6"} {
				if w != c.Worker.Name {
					otherWorkers = append(otherWorkers, w)
				}
			}
			nextID++
			other, refused := v.Place(advance(), nextID, placer.Request{Service: "lm", Prompt: 500, Left: 5 * time.Second, Exclude: otherWorkers})
			Expect(refused).To(BeNil())
			v.Ended(advance(), c.Flight.ID, placer.Disconnected)
			advance()
			v.Begun(advance(), other.Flight.ID)
			v.Ended(now, other.Flight.ID, placer.Canceled)
		}
		for range 9 {
			v.Ended(advance(), send(bad).Flight.ID, placer.Disconnected)
			v.Ended(advance(), send(bad).Flight.ID, placer.Errored)
		}
		Expect(v.Quarantine().DrainQuarantined()).To(BeEmpty())
	})

	// Guards against late reports removing a mark, or adding one.
	It("is judged with regard to late reports of other hosts", func() {
		for range 3 {
			c := send(bad)
			nextID++
			beside := placer.Flight{ID: nextID, Worker: c.Worker.Name, Left: time.Second}
			v.Ended(advance(), c.Flight.ID, placer.Disconnected)
			v.Receive(advance(), "h", beside) // it was answered before the crash
			v.BegunAfter(now, beside.ID, 200*time.Millisecond)
			v.Ended(now, beside.ID, placer.Answered)
		}
		Expect(v.Quarantine().DrainQuarantined()).To(HaveLen(1))
		for i := range 3 { // simultaneous crashes, reported one by one
			id := uint64(1000 + i)
			v.Receive(now, "h", placer.Flight{ID: id, Worker: []string{"e-4", "e-5", "e-6"}[i], Left: time.Second, Fingerprint: bad + 1})
			now = now.Add(10 * time.Millisecond)
			v.Ended(now, id, placer.Disconnected)
		}
		Expect(v.Quarantine().DrainQuarantined()).To(BeEmpty())
	})

	It("goes to another worker than it had, as any other", func() {
		c := send(bad)
		v.Ended(advance(), c.Flight.ID, placer.Disconnected)
		d := send(bad)
		nextID++
		e, refused := v.Place(advance(), nextID, placer.Request{
			Service: "lm", Prompt: 500, Output: 50, Left: 5 * time.Second, Target: time.Second, Fingerprint: bad, Exclude: []string{c.Worker.Name, d.Worker.Name},
		})
		Expect(refused).To(BeNil())
		Expect(e.Worker.Name).NotTo(Or(Equal(c.Worker.Name), Equal(d.Worker.Name)))
	})
})
