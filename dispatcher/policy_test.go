package dispatcher_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/prover"
)

// withHistory returns an idle dispatcher that has seen calls of each class hold
// a place for the given time (checks for a second at most), and the time after
// these.
func withHistory(slots int, hold time.Duration) (*dispatcher.Dispatcher, time.Time) {
	d, now := started(1, slots), ready
	for i := range 60 {
		for _, class := range classNames {
			g := only[messenger.Grant](d.Handle(now, "a", ask(fmt.Sprintf("past-%s-%d", class, i), class)))[0]
			if class == "check" {
				now = now.Add(min(hold, time.Second))
			} else {
				now = now.Add(hold)
			}
			d.Handle(now, "a", done(g))
		}
	}
	d.Tick(now)
	return d, now
}

// fillWith asks for places of a class until all n are in use.
func fillWith(d *dispatcher.Dispatcher, now time.Time, class string, n int, change func(*messenger.Ask)) {
	for i := range n {
		a := ask(fmt.Sprintf("%s-%d", class, i), class)
		if change != nil {
			change(&a)
		}
		d.Handle(now, "a", a)
	}
	Expect(d.State().Granted).To(HaveLen(n))
}

var _ = Describe("Top tier", func() {
	// All places are used by requests of a lower tier that take long when a
	// check arrives. The place to be asked back is the one with the most work
	// left.
	It("gets a lower tier's place back if it would otherwise be late", func() {
		d, now := withHistory(2, 20*time.Second)
		fillWith(d, now, "letter", 2, nil)
		d.Handle(now.Add(time.Second), "a", messenger.Progress{Request: "letter-0", Attempt: 1, Tokens: 15})
		asked := only[messenger.Preempt](d.Handle(now.Add(time.Second), "a", ask("one", "check")))
		Expect(asked).To(HaveLen(1))
		Expect(asked[0].Request).To(Equal("letter-1"))
		Expect(d.Tick(now.Add(1100*time.Millisecond))).To(BeEmpty(), "one place is enough")
		out := d.Handle(now.Add(1200*time.Millisecond), "a", messenger.Done{Request: "letter-1", Attempt: 1})
		Expect(only[messenger.Grant](out)).To(ConsistOf(HaveField("Request", "one")))
	})

	// A dispatcher that has seen no place become free yet gives all places to
	// long letters. If it expected a free place at any moment, checks would
	// wait for the letters' end, past their deadlines.
	It("gets a place back in time from a dispatcher that has seen none become free", func() {
		d, now := started(1, 2), ready
		fillWith(d, now, "letter", 2, nil)
		Expect(d.Handle(now, "a", ask("one", "check"))).To(BeEmpty())
		Expect(only[messenger.Preempt](d.Tick(now.Add(600 * time.Millisecond)))).To(HaveLen(1))
	})

	It("preempts nothing if a place becomes free in time anyway", func() {
		d, now := withHistory(2, 20*time.Millisecond)
		fillWith(d, now, "letter", 2, nil)
		Expect(d.Handle(now, "a", ask("one", "check"))).To(BeEmpty())
	})

	// A call that must not be repeated can't be stopped and started again: it
	// might take effect twice.
	It("never preempts a call that must not be repeated", func() {
		d, now := withHistory(2, 20*time.Second)
		fillWith(d, now, "letter", 2, func(a *messenger.Ask) { a.NonPreemptible = true })
		Expect(d.Handle(now, "a", ask("one", "check"))).To(BeEmpty())
	})

	// A check failed on one worker and may not go there again; the other worker is
	// leaving. Preempting a letter would gain nothing: the letter would get its
	// place back immediately.
	It("preempts no place that it can't use", func() {
		d, now := withHistory(2, 20*time.Second)
		d.Configure(cellOf(2, 2), classes())
		d.SetLeaving(map[string]bool{"w1": true})
		fillWith(d, now, "letter", 2, nil)
		a := ask("one", "check")
		a.Exclude = []string{"w0"}
		Expect(d.Handle(now, "a", a)).To(BeEmpty())
	})

	It("is granted before all other tiers, whichever request arrived first", func() {
		d, now := withHistory(1, 20*time.Millisecond)
		fillWith(d, now, "summary", 1, nil)
		for i, class := range []string{"letter", "summary", "check"} {
			d.Handle(now, "a", ask(fmt.Sprintf("late-%d", i), class))
		}
		out := d.Handle(now, "a", messenger.Done{Request: "summary-0", Attempt: 1})
		Expect(only[messenger.Grant](out)).To(ConsistOf(HaveField("Class", "check")))
	})
})

var _ = Describe("Starving class", func() {
	// burst returns the grants of three places that become free one after the
	// other. Checks hold all places and more of them wait, each to start within
	// due; a summary and a letter have waited for longer than starvationTime.
	burst := func(due time.Duration) []messenger.Grant {
		d, now := withHistory(3, 60*time.Millisecond)
		fillWith(d, now, "check", 3, func(a *messenger.Ask) { a.Deadline = time.Minute })
		for _, class := range classNames[1:] {
			d.Handle(now, "a", ask("one-"+class, class))
		}
		now = now.Add(starvationTime + time.Second)
		for i := range 3 {
			a := ask(fmt.Sprintf("next-%d", i), "check")
			a.Waited = time.Second - due // of the second within which it should start
			d.Handle(now, "a", a)
		}
		var granted []messenger.Grant
		for i := range 3 {
			out := d.Handle(now, "a", messenger.Done{Request: fmt.Sprintf("check-%d", i), Attempt: 1})
			granted = append(granted, only[messenger.Grant](out)...)
		}
		return granted
	}

	It("gets exactly one place of the cell if the checks can spare it", func() {
		granted := burst(time.Second)
		Expect(granted).To(HaveLen(3))
		Expect(granted[0].Class).NotTo(Equal("check"))
		Expect(granted[1:]).To(HaveEach(HaveField("Class", "check")))
	})

	It("gets no place if a check would be late because of it", func() {
		granted := burst(50 * time.Millisecond)
		Expect(granted[0].Class).To(Equal("check"))
	})

	// There is one place and no end of summaries: by tiers alone, the letters
	// would never be granted.
	It("takes turns with other classes that are below their shares", func() {
		d, now := withHistory(1, time.Second)
		fillWith(d, now, "check", 1, nil)
		for i := range 5 {
			d.Handle(now, "a", ask(fmt.Sprintf("s%d", i), "summary"))
			d.Handle(now, "a", ask(fmt.Sprintf("l%d", i), "letter"))
		}
		seen, last := map[string]int{}, "check-0"
		for range 4 {
			now = now.Add(time.Second)
			g := only[messenger.Grant](d.Handle(now, "a", messenger.Done{Request: last, Attempt: 1}))
			Expect(g).To(HaveLen(1))
			last = g[0].Request
			seen[g[0].Class]++
		}
		Expect(seen).To(Equal(map[string]int{"summary": 2, "letter": 2}))
	})
})

var _ = Describe("Overload", func() {
	// The queue is longer than callers will wait. Callers that are refused
	// immediately, with a true and varied time to return, neither hang nor all
	// return together.
	It("immediately refuses requests that would wait too long, lower tiers first, with a varied retry time", func() {
		d, now := withHistory(1, time.Second)
		fillWith(d, now, "check", 1, nil)
		refused := map[string][]time.Duration{}
		for i := range 40 {
			for _, class := range []string{"summary", "check"} {
				for _, r := range only[messenger.Refuse](d.Handle(now, "a", ask(fmt.Sprintf("%s-x%d", class, i), class))) {
					Expect(r.Reason).To(Equal(dispatcher.ReasonOverload))
					refused[class] = append(refused[class], r.RetryAfter)
				}
			}
		}
		Expect(refused["summary"]).NotTo(BeEmpty())
		for _, after := range [][]time.Duration{refused["summary"], refused["check"]} {
			Expect(after[0]).To(BeNumerically(">=", 100*time.Millisecond))
			Expect(after[0]).NotTo(Equal(after[1]))
		}
		Expect(len(d.State().Waiting)).To(BeNumerically("<", 10))
	})

	// A request waits until it can no longer be answered in time. Started then,
	// it would only be cut off and its tokens wasted.
	It("refuses a waiting request before its deadline, not after", Label(prover.Cell(prover.Queued, prover.Slow)), func() {
		d, now := withHistory(1, time.Second)
		fillWith(d, now, "check", 1, nil)
		d.Handle(now, "a", ask("one", "check"))
		var refused []messenger.Refuse
		at := now
		for ; len(refused) == 0 && at.Before(now.Add(3*time.Second)); at = at.Add(20 * time.Millisecond) {
			refused = only[messenger.Refuse](d.Tick(at))
		}
		Expect(refused).To(HaveLen(1))
		Expect(at.Sub(now)).To(BeNumerically("<", 1500*time.Millisecond))
	})

	// One organisation sends many times what the others send, whose requests
	// would wait behind hundreds of its own.
	It("serves organisations equally, however many requests one of them sends", func() {
		d, now := withHistory(1, 20*time.Millisecond)
		fillWith(d, now, "letter", 1, nil)
		for i := range 60 {
			for j, organisation := range []string{"large", "large", "large", "small"} {
				a := ask(fmt.Sprintf("%s-%d-%d", organisation, i, j), "letter")
				a.Organisation = organisation
				d.Handle(now, "a", a)
			}
		}
		served := map[byte]int{}
		last := "letter-0"
		for range 100 {
			now = now.Add(20 * time.Millisecond)
			g := only[messenger.Grant](d.Handle(now, "a", messenger.Done{Request: last, Attempt: 1, Tokens: 20}))
			Expect(g).To(HaveLen(1))
			last = g[0].Request
			served[last[0]]++
		}
		Expect(served['s']).To(BeNumerically("~", served['l'], 15))
	})
})
