package retrier

import "time"

// buckets is how many steps a Window's time slides in.
const buckets = 50

// WindowPolicy bounds repeats over all hosts: in any Span, Ratio of the first tries
// and Slack more.
type WindowPolicy struct {
	Ratio float64
	Slack float64
	Span  time.Duration
}

// windowShare is the part of a WindowPolicy that is used: the counts of a sliding
// window that others keep do not begin when these do.
const windowShare = 0.8

// Window counts one host's first tries and repeats of a service, and allows
// repeats within the host's even share of a WindowPolicy. The shares of all hosts
// add up to no more than the policy, with no word between them. The zero Window is
// empty.
type Window struct {
	firsts, repeats [buckets]int
	at              int64 // the newest step
}

// RecordFirst counts a first try.
func (w *Window) RecordFirst(now time.Time, p WindowPolicy) {
	w.slide(now, p)
	w.firsts[w.at%buckets]++
}

// Take counts a repeat, if the share of one of so many hosts allows it.
func (w *Window) Take(now time.Time, p WindowPolicy, hosts int) bool {
	w.slide(now, p)
	allowed := windowShare * (p.Ratio*float64(sum(w.firsts)) + p.Slack/float64(max(hosts, 1)))
	if float64(sum(w.repeats)+1) > allowed {
		return false
	}
	w.repeats[w.at%buckets]++
	return true
}

// slide forgets what is older than the span.
func (w *Window) slide(now time.Time, p WindowPolicy) {
	step := now.UnixNano() / max(int64(p.Span)/buckets, 1)
	if step-w.at >= buckets {
		w.firsts, w.repeats, w.at = [buckets]int{}, [buckets]int{}, step
	}
	for w.at < step {
		w.at++
		w.firsts[w.at%buckets], w.repeats[w.at%buckets] = 0, 0
	}
}

func sum(counts [buckets]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
