package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

// Guards against requests for a worker that refused one and stated for how long it wants no
// other from this host.
var _ = Describe("A worker that wants no requests for a time", func() {
	now := time.Unix(1000, 0)
	workers := []placer.Worker{
		{Name: "a", Service: "s", Slots: 8, Incarnation: "1"},
		{Name: "b", Service: "s", Slots: 8, Incarnation: "1"},
		{Name: "c", Service: "other", Slots: 8},
	}
	var (
		view     *placer.View
		backoffs *placer.Backoffs
		lastID   uint64
	)
	BeforeEach(func() {
		view, backoffs = placer.New(""), &placer.Backoffs{}
		view.SetWorkers(now, workers)
	})
	request := func(at time.Time, service string, exclude ...string) placer.Request {
		return placer.Request{
			Service: service, Left: time.Minute, Target: time.Second, Exclude: exclude, Backoffs: view.Backoffs(at, service, backoffs),
		}
	}
	// place returns the worker of a request, or the reason and the time of its refusal.
	place := func(at time.Time, r placer.Request) (string, time.Duration) {
		lastID++
		choice, refusal := view.Place(at, lastID, r)
		if refusal != nil {
			return refusal.Reason, refusal.RetryAfter
		}
		view.Ended(at, lastID, placer.Answered)
		return choice.Worker.Name, 0
	}
	placedAt := func(at time.Time) string {
		worker, _ := place(at, request(at, "s"))
		return worker
	}

	It("gets none until the time is over", func() {
		Expect(placedAt(now)).To(Equal("a"))
		Expect(backoffs.Report(now, workers[0], 3*time.Second)).To(BeTrue())
		for _, after := range []time.Duration{0, time.Second, 2999 * time.Millisecond} {
			Expect(placedAt(now.Add(after))).To(Equal("b"), "%s", after)
		}
		Expect(placedAt(now.Add(3 * time.Second))).To(Equal("a"))
	})

	It("keeps the longer of two times", func() {
		backoffs.Report(now, workers[0], 3*time.Second)
		Expect(backoffs.Report(now.Add(time.Second), workers[0], time.Second)).To(BeFalse())
		Expect(backoffs.Left(now.Add(2*time.Second), workers[0])).To(Equal(time.Second))
		backoffs.Report(now.Add(2*time.Second), workers[0], 4*time.Second)
		Expect(backoffs.Left(now.Add(2*time.Second), workers[0])).To(Equal(4 * time.Second))
	})

	It("gets requests after a restart under its name", func() {
		backoffs.Report(now, workers[0], time.Hour)
		restarted := workers[0]
		restarted.Incarnation = "2"
		view.SetWorkers(now, []placer.Worker{restarted, workers[1]})
		Expect(placedAt(now)).To(Equal("a"))
	})

	It("keeps its time if it is missing from the list of workers for a while", func() {
		backoffs.Report(now, workers[0], 3*time.Second)
		view.SetWorkers(now, workers[1:])
		view.SetWorkers(now, workers)
		Expect(placedAt(now.Add(time.Second))).To(Equal("b"))
	})

	It("is not used for a request that others had already", func() {
		backoffs.Report(now, workers[0], 3*time.Second)
		reason, retryAfter := place(now, request(now, "s", "b"))
		Expect(reason).To(Equal("no_workers"))
		Expect(retryAfter).To(BeNumerically("<", time.Second), "b may accept the next request")
	})

	It("tells callers when to come back, if all workers of the service do", func() {
		backoffs.Report(now, workers[0], 3*time.Second)
		backoffs.Report(now, workers[1], 2*time.Second)
		reason, retryAfter := place(now, request(now, "s"))
		Expect(reason).To(Equal("backoff"))
		Expect(retryAfter).To(Equal(2 * time.Second))
		worker, _ := place(now, request(now, "other"))
		Expect(worker).To(Equal("c"))
	})

	It("is forgotten when the time is over", func() {
		backoffs.Report(now, workers[0], 3*time.Second)
		backoffs.Sweep(now.Add(3 * time.Second))
		Expect(view.Backoffs(now, "s", backoffs)).To(BeEmpty())
	})
})
