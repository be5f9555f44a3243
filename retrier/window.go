package retrier

import "time"

// windowSteps is the number of steps into which a Window divides its span.
const windowSteps = 50

// WindowPolicy limits the repeats of all hosts together: in any Span, to Ratio of the first
// tries plus Slack.
type WindowPolicy struct {
	Ratio float64 // repeats per first try
	Slack float64 // repeats beyond that
	Span  time.Duration
}

// grantedShare is the part of a WindowPolicy that is granted. The rest is a margin, as other
// parties count over sliding windows that begin at other times.
const grantedShare = 0.8

// Window counts one host's first tries and repeats of a service, and allows repeats within
// the host's equal share of a WindowPolicy. The shares of all hosts add up to no more than
// the policy, without communication between them. The zero Window is empty.
type Window struct {
	firsts, repeats [windowSteps]int
	step            int64 // newest step counted
}

// RecordFirst records a first try.
func (w *Window) RecordFirst(now time.Time, p WindowPolicy) {
	w.slide(now, p)
	w.firsts[w.step%windowSteps]++
}

// Take records a repeat if this host's share, that of one among hosts, allows it, and reports
// whether it does.
func (w *Window) Take(now time.Time, p WindowPolicy, hosts int) bool {
	w.slide(now, p)
	allowed := grantedShare * (p.Ratio*float64(sum(w.firsts)) + p.Slack/float64(max(hosts, 1)))
	if float64(sum(w.repeats)+1) > allowed {
		return false
	}
	w.repeats[w.step%windowSteps]++
	return true
}

// Counts returns the first tries and the repeats of the last span.
func (w *Window) Counts(now time.Time, p WindowPolicy) (firsts, repeats int) {
	w.slide(now, p)
	return sum(w.firsts), sum(w.repeats)
}

// slide drops the counts that are older than the span.
func (w *Window) slide(now time.Time, p WindowPolicy) {
	step := now.UnixNano() / max(int64(p.Span)/windowSteps, 1)
	if step-w.step >= windowSteps {
		w.firsts, w.repeats, w.step = [windowSteps]int{}, [windowSteps]int{}, step
	}
	for w.step < step {
		w.step++
		w.firsts[w.step%windowSteps], w.repeats[w.step%windowSteps] = 0, 0
	}
}

func sum(counts [windowSteps]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
