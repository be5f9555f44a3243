package dispatcher_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/messenger"
)

// decisions returns the decisions among outputs, without times, which may
// differ by a rounding.
func decisions(out []dispatcher.Output) []string {
	var all []string
	for _, o := range out {
		switch m := o.Message.(type) {
		case messenger.Grant:
			all = append(all, fmt.Sprint("grant ", m.Request, " ", m.Worker, " ", m.Order))
		case messenger.Refuse:
			all = append(all, fmt.Sprint("refuse ", m.Request, " ", m.Reason))
		case messenger.Preempt:
			all = append(all, fmt.Sprint("preempt ", m.Request))
		}
	}
	return all
}

// waits returns the expected waits that outputs report to the entries.
func waits(out []dispatcher.Output) []time.Duration {
	var all []time.Duration
	for _, o := range out {
		switch m := o.Message.(type) {
		case messenger.Grant:
			all = append(all, m.Wait)
		case messenger.Refuse:
			all = append(all, m.Wait)
		}
	}
	return all
}

// dispatcherPair is a dispatcher that is ticked in every interval and one that
// is ticked only when Next says. Both get the same messages.
type dispatcherPair struct {
	t               *rapid.T
	now             time.Time
	always, whenDue *dispatcher.Dispatcher
	asked           int
	held            []messenger.Grant
}

func (p *dispatcherPair) step() {
	p.now = p.now.Add(dispatcher.TickInterval)
	var out []dispatcher.Output
	if at, ok := p.whenDue.Next(); ok && !p.now.Before(at) {
		out = p.whenDue.Tick(p.now)
	}
	p.compare(p.always.Tick(p.now), out)
}

func (p *dispatcherPair) handle(m messenger.Message) {
	p.compare(p.always.Handle(p.now, "a", m), p.whenDue.Handle(p.now, "a", m))
}

func (p *dispatcherPair) compare(always, whenDue []dispatcher.Output) {
	if a, b := decisions(always), decisions(whenDue); !slices.Equal(a, b) {
		p.t.Fatalf("at %v: always ticked %v, ticked when due %v", p.now.Sub(ready), a, b)
	}
	a, b := waits(always), waits(whenDue)
	for i := range a {
		if diff := (a[i] - b[i]).Abs(); diff > time.Millisecond {
			p.t.Fatalf("at %v: expected wait %v if always ticked, %v if ticked when due", p.now.Sub(ready), a[i], b[i])
		}
	}
	p.held = append(p.held, only[messenger.Grant](always)...)
}

func (p *dispatcherPair) ask() {
	p.asked++
	class := rapid.SampledFrom([]string{"check", "summary", "letter"}).Draw(p.t, "class")
	a := ask(fmt.Sprint("r", p.asked), class)
	a.Organisation = rapid.SampledFrom([]string{"o", "p"}).Draw(p.t, "organisation")
	p.handle(a)
}

// end gives the oldest place back or loses its Done, in which case only the
// lease ends it.
func (p *dispatcherPair) end() {
	if len(p.held) == 0 {
		return
	}
	g := p.held[0]
	p.held = p.held[1:]
	if rapid.IntRange(0, 9).Draw(p.t, "lost") > 0 {
		p.handle(done(g))
	}
}

// Hosts tick a dispatcher only when Next says, which takes a fraction of the
// processor time. If Next left out an event, refusals and grants would be late,
// or be based on means from before a pause.
var _ = Describe("Dispatcher ticked when due", func() {
	It("makes the same decisions at the same times as one that is always ticked", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := &dispatcherPair{t: t, now: ready, always: started(2, 2), whenDue: started(2, 2)}
			for range rapid.IntRange(30, 150).Draw(t, "events") {
				pause := rapid.SampledFrom([]int{0, 0, 0, 0, 1, 1, 3, 20, 60, 1500}).Draw(t, "steps")
				for range pause {
					w.step()
				}
				if rapid.IntRange(0, 2).Draw(t, "event") > 0 {
					w.ask()
				} else {
					w.end()
				}
			}
		})
	})

	// A Done is lost and the lease expires between two ticks: a request that
	// arrives then must get the place without waiting for the next tick.
	It("reclaims an expired place for a request that arrives before the next tick", func() {
		d := started(1, 1)
		first := ask("r1", "letter")
		Expect(only[messenger.Grant](d.Handle(ready, "a", first))).To(HaveLen(1))
		Expect(d.Tick(ready.Add(24900 * time.Millisecond))).To(BeEmpty())
		Expect(only[messenger.Grant](d.Handle(ready.Add(25*time.Second), "a", ask("r2", "letter")))).To(HaveLen(1))
	})

	DescribeTable("reports when the next tick is due",
		func(asks int, expected time.Duration, due bool) {
			d := started(1, 1)
			for i := range asks {
				d.Handle(ready, "a", ask(fmt.Sprint("r", i), "summary"))
			}
			at, ok := d.Next()
			Expect(ok).To(Equal(due))
			if due {
				Expect(at).To(Equal(ready.Add(expected)))
			}
		},
		Entry("never while idle", 0, time.Duration(0), false),
		Entry("after the reclaim interval while a place is in use", 1, 250*time.Millisecond, true),
		Entry("after the tick interval while a request waits", 2, dispatcher.TickInterval, true),
	)
})
