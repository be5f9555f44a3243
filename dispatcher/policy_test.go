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

// busy is a dispatcher that has seen calls of each class take hold, checks a
// second at most, and is idle.
func busy(slots int, hold time.Duration) (*dispatcher.Dispatcher, time.Time) {
	d, now := started(1, slots), ready
	for i := range 60 {
		for _, class := range names {
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

// fillWith asks for a class until every place is in use.
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

var _ = Describe("The top tier", func() {
	// A ferry is in, all places are on trip plans that take half a minute, and a
	// family waits for its quote. The place that is asked back is the one with
	// most left to do.
	It("gets a lower tier's place back when it would be late without", func() {
		d, now := busy(2, 20*time.Second)
		fillWith(d, now, "letter", 2, nil)
		d.Handle(now.Add(time.Second), "a", messenger.Progress{Request: "letter-0", Attempt: 1, Tokens: 15})
		asked := only[messenger.Preempt](d.Handle(now.Add(time.Second), "a", ask("one", "check")))
		Expect(asked).To(HaveLen(1))
		Expect(asked[0].Request).To(Equal("letter-1"))
		Expect(d.Tick(now.Add(1100*time.Millisecond))).To(BeEmpty(), "one place is enough")
		out := d.Handle(now.Add(1200*time.Millisecond), "a", messenger.Done{Request: "letter-1", Attempt: 1})
		Expect(only[messenger.Grant](out)).To(ConsistOf(HaveField("Request", "one")))
	})

	// The dispatcher has just begun, and has seen no place come free, when trip plans
	// take them all. Checks waited for the plans' end, past their deadlines.
	It("gets a place back in time from a dispatcher that has seen none come free", func() {
		d, now := started(1, 2), ready
		fillWith(d, now, "letter", 2, nil)
		Expect(d.Handle(now, "a", ask("one", "check"))).To(BeEmpty())
		Expect(only[messenger.Preempt](d.Tick(now.Add(600 * time.Millisecond)))).To(HaveLen(1))
	})

	It("waits where a place comes in time anyway", func() {
		d, now := busy(2, 20*time.Millisecond)
		fillWith(d, now, "letter", 2, nil)
		Expect(d.Handle(now, "a", ask("one", "check"))).To(BeEmpty())
	})

	// A findings letter that is stopped half way and begun again would be sent
	// twice: calls that must not be repeated keep their places.
	It("never takes the place of a call that must not be repeated", func() {
		d, now := busy(2, 20*time.Second)
		fillWith(d, now, "letter", 2, func(a *messenger.Ask) { a.NonPreemptible = true })
		Expect(d.Handle(now, "a", ask("one", "check"))).To(BeEmpty())
	})

	// A check failed on a worker and may not go there again. Taking a letter's
	// place on that worker helps nobody: the letter would get it back at once.
	It("takes no place that it can't use", func() {
		d, now := busy(2, 20*time.Second)
		d.Configure(cellOf(2, 2), classes())
		d.SetLeaving(map[string]bool{"w1": true})
		fillWith(d, now, "letter", 2, nil)
		a := ask("one", "check")
		a.Exclude = []string{"w0"}
		Expect(d.Handle(now, "a", a)).To(BeEmpty())
	})

	It("is granted before all others, whichever came first", func() {
		d, now := busy(1, 20*time.Millisecond)
		fillWith(d, now, "summary", 1, nil)
		for i, class := range []string{"letter", "summary", "check"} {
			d.Handle(now, "a", ask(fmt.Sprintf("late-%d", i), class))
		}
		out := d.Handle(now, "a", messenger.Done{Request: "summary-0", Attempt: 1})
		Expect(only[messenger.Grant](out)).To(ConsistOf(HaveField("Class", "check")))
	})
})

var _ = Describe("A starving class", func() {
	// Checks hold all places and more of them wait; a summary and a letter have
	// waited for longer than their patience.
	wave := func(due time.Duration) []messenger.Grant {
		d, now := busy(3, 60*time.Millisecond)
		fillWith(d, now, "check", 3, func(a *messenger.Ask) { a.Deadline = time.Minute })
		for _, class := range names[1:] {
			d.Handle(now, "a", ask("one-"+class, class))
		}
		now = now.Add(patience + time.Second)
		for i := range 3 {
			a := ask(fmt.Sprintf("next-%d", i), "check")
			a.Waited = time.Second - due // of the second in which it should start
			d.Handle(now, "a", a)
		}
		var granted []messenger.Grant
		for i := range 3 {
			out := d.Handle(now, "a", messenger.Done{Request: fmt.Sprintf("check-%d", i), Attempt: 1})
			granted = append(granted, only[messenger.Grant](out)...)
		}
		return granted
	}

	It("gets one place of the cell, and only one, where the checks can spare it", func() {
		granted := wave(time.Second)
		Expect(granted).To(HaveLen(3))
		Expect(granted[0].Class).NotTo(Equal("check"))
		Expect(granted[1:]).To(HaveEach(HaveField("Class", "check")))
	})

	It("gets none where a check would be late for it", func() {
		granted := wave(50 * time.Millisecond)
		Expect(granted[0].Class).To(Equal("check"))
	})

	// One place, and summaries without end. In tier order the letter never comes.
	It("takes turns with the others under their shares", func() {
		d, now := busy(1, time.Second)
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
	// The queue is longer than a passenger will wait. Told at once and truly when
	// to come back, callers neither hang nor all return together.
	It("refuses at once what would wait too long, the lower tier first, with a spread time to come back", func() {
		d, now := busy(1, time.Second)
		fillWith(d, now, "check", 1, nil)
		refused := map[string][]time.Duration{}
		for i := range 40 {
			for _, class := range []string{"summary", "check"} {
				for _, r := range only[messenger.Refuse](d.Handle(now, "a", ask(fmt.Sprintf("%s-x%d", class, i), class))) {
					Expect(r.Reason).To(Equal(dispatcher.ReasonOverload))
					refused[class] = append(refused[class], r.After)
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

	// A request waits until it can't be answered in time any more. Begun then, it
	// would only be cut off and its tokens thrown away.
	It("refuses a waiting request before its deadline, not after", Label(prover.Cell(prover.Queued, prover.Slow)), func() {
		d, now := busy(1, time.Second)
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

	// One organisation sends everything it has. The others' requests would stand
	// behind hundreds of its own.
	It("serves organisations alike, however much one of them asks for", func() {
		d, now := busy(1, 20*time.Millisecond)
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
