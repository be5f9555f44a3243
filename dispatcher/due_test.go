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

// told is what a decision said, without times, which may differ by a rounding.
func told(out []dispatcher.Output) []string {
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

// waits is the waits that decisions told the entries to expect.
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

// twins is a dispatcher that is ticked all the time and one that is ticked when
// it says so. Both get the same messages.
type twins struct {
	t           *rapid.T
	now         time.Time
	eager, lazy *dispatcher.Dispatcher
	asked       int
	held        []messenger.Grant
}

func (w *twins) step() {
	w.now = w.now.Add(dispatcher.TickInterval)
	var out []dispatcher.Output
	if at, ok := w.lazy.Next(); ok && !w.now.Before(at) {
		out = w.lazy.Tick(w.now)
	}
	w.compare(w.eager.Tick(w.now), out)
}

func (w *twins) handle(m messenger.Message) {
	w.compare(w.eager.Handle(w.now, "a", m), w.lazy.Handle(w.now, "a", m))
}

func (w *twins) compare(eager, lazy []dispatcher.Output) {
	if a, b := told(eager), told(lazy); !slices.Equal(a, b) {
		w.t.Fatalf("at %v: always ticked %v, ticked when due %v", w.now.Sub(ready), a, b)
	}
	a, b := waits(eager), waits(lazy)
	for i := range a {
		if diff := (a[i] - b[i]).Abs(); diff > time.Millisecond {
			w.t.Fatalf("at %v: expects a wait of %v where always ticked, of %v when due", w.now.Sub(ready), a[i], b[i])
		}
	}
	w.held = append(w.held, only[messenger.Grant](eager)...)
}

func (w *twins) ask() {
	w.asked++
	class := rapid.SampledFrom([]string{"check", "summary", "letter"}).Draw(w.t, "class")
	a := ask(fmt.Sprint("r", w.asked), class)
	a.Organisation = rapid.SampledFrom([]string{"o", "p"}).Draw(w.t, "organisation")
	w.handle(a)
}

// end gives the oldest place back, or loses its Done: then only a lease ends it.
func (w *twins) end() {
	if len(w.held) == 0 {
		return
	}
	g := w.held[0]
	w.held = w.held[1:]
	if rapid.IntRange(0, 9).Draw(w.t, "lost") > 0 {
		w.handle(done(g))
	}
}

// A host that ticks its dispatchers only when they say so uses a fraction of the
// processor time. Were a time left out of Next, a caller would see a refusal or a
// grant late, or after a pause be judged by figures from before it.
var _ = Describe("a dispatcher that is ticked when due", func() {
	It("decides what one that is always ticked does, at the same time", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := &twins{t: t, now: ready, eager: started(2, 2), lazy: started(2, 2)}
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

	// A caller waits for a place that nobody holds: its entry's Done was lost, the
	// lease ran out between two ticks, and the next tick is a while off.
	It("takes back a lapsed place for a request that comes before the next tick", func() {
		d := started(1, 1)
		first := ask("r1", "letter")
		Expect(only[messenger.Grant](d.Handle(ready, "a", first))).To(HaveLen(1))
		Expect(d.Tick(ready.Add(24900 * time.Millisecond))).To(BeEmpty())
		Expect(only[messenger.Grant](d.Handle(ready.Add(25*time.Second), "a", ask("r2", "letter")))).To(HaveLen(1))
	})

	DescribeTable("says when it is due",
		func(asks int, wanted time.Duration, due bool) {
			d := started(1, 1)
			for i := range asks {
				d.Handle(ready, "a", ask(fmt.Sprint("r", i), "summary"))
			}
			at, ok := d.Next()
			Expect(ok).To(Equal(due))
			if due {
				Expect(at).To(Equal(ready.Add(wanted)))
			}
		},
		Entry("never while it is idle", 0, time.Duration(0), false),
		Entry("for the leases while a place is in use", 1, 250*time.Millisecond, true),
		Entry("at the next tick while a request waits", 2, dispatcher.TickInterval, true),
	)
})
