package retrier_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadawood/cicadawood/retrier"
)

// A service fails under load. Every host repeats as many calls as it may, without
// communicating with others; together they must stay within the service's budget in any
// window.
var _ = Describe("Window", func() {
	It("keeps all hosts together within the policy, in any window", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			p := retrier.WindowPolicy{Ratio: 0.2, Slack: float64(rapid.IntRange(0, 60).Draw(t, "slack")), Span: 10 * time.Second}
			hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
			windows := make([]retrier.Window, hosts)
			now := start
			type event struct {
				at     time.Time
				repeat bool
			}
			var seen []event
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				w := &windows[rapid.IntRange(0, hosts-1).Draw(t, "host")]
				if rapid.IntRange(0, 2).Draw(t, "what") == 0 {
					w.RecordFirst(now, p)
					seen = append(seen, event{now, false})
					continue
				}
				if w.Take(now, p, hosts) {
					seen = append(seen, event{now, true})
				}
				// First tries of the previous window count, too.
				repeats, firsts := 0, 0
				for _, e := range seen {
					if now.Sub(e.at) < p.Span && e.repeat {
						repeats++
					}
					if now.Sub(e.at) < 2*p.Span && !e.repeat {
						firsts++
					}
				}
				if float64(repeats) > p.Ratio*float64(firsts)+p.Slack {
					t.Fatalf("%d repeats for %d first tries", repeats, firsts)
				}
			}
		})
	})

	It("allows its share again when the window has passed", func() {
		p := retrier.WindowPolicy{Slack: 20, Span: 10 * time.Second}
		var w retrier.Window
		n := 0
		for w.Take(start, p, 2) {
			n++
		}
		Expect(n).To(Equal(8)) // 0.8 of half of 20
		Expect(w.Take(start.Add(9*time.Second), p, 2)).To(BeFalse())
		Expect(w.Take(start.Add(11*time.Second), p, 2)).To(BeTrue())
	})
})
