package budgeter

import (
	"math"
	"time"
)

// earlierWeight is the weight of the requests of the window before. They allow repeats at once, and
// those of the window itself as they come, which are all that a new process knows.
const earlierWeight = 0.4

const (
	spanSteps = 100             // steps of a span
	ringSteps = 2*spanSteps + 2 // steps that are kept
)

// Ledger is the account of one process for one service: the requests that it received, and the
// repeats that it sent or lent. The zero Ledger is empty.
type Ledger struct {
	startedAt time.Time // of step 0
	step      int64     // newest step
	requests  [ringSteps]float64
	charges   [ringSteps]float64 // repeats, by when they had arrived
	open      float64            // repeats that may arrive from now on
}

// slide advances the ledger to now. Steps follow the monotonic clock, so that a change of the
// time of day forgets nothing.
func (l *Ledger) slide(now time.Time, p Policy) {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	step := int64(now.Sub(l.startedAt) / l.stepOf(p))
	for range min(step-l.step, ringSteps) {
		l.step++
		newest := index(l.step)
		l.requests[newest], l.charges[newest] = 0, 0
	}
	l.step = max(l.step, step)
}

// stepOf returns the length of a step.
func (l *Ledger) stepOf(p Policy) time.Duration { return max(p.Span/spanSteps, 1) }

func index(step int64) int64 { return ((step % ringSteps) + ringSteps) % ringSteps }

// RecordRequest records a request of a caller.
func (l *Ledger) RecordRequest(now time.Time, p Policy) {
	l.slide(now, p)
	l.requests[index(l.step)]++
}

// ForgetRequests drops the requests that were counted: their times are no longer known.
func (l *Ledger) ForgetRequests() { l.requests = [ringSteps]float64{} }

// Open counts repeats that may arrive at any time from now on: in each window, until they are settled.
func (l *Ledger) Open(amount float64) { l.open += amount }

// Cancel settles open repeats that do not arrive.
func (l *Ledger) Cancel(amount float64) { l.open = max(0, l.open-amount) }

// Settle counts open repeats that have arrived by now.
func (l *Ledger) Settle(now time.Time, amount float64, p Policy) {
	l.slide(now, p)
	l.Cancel(amount)
	l.charges[index(l.step)] += amount
}

// Available returns how many repeats may be opened now, with a part of the slack.
//
// The bound holds for windows that begin anywhere. For each that may contain such a send, what has
// arrived in it and what is open stay within what is allowed for a weighted mean of the requests in the
// window and in the one before it. The bound counts whichever of the two has more, over all hosts. The
// means of all hosts add up to no more than that, wherever callers move between hosts; if each host took
// the one that has more there, they could add up to twice as much.
func (l *Ledger) Available(now time.Time, p Policy, slack float64) float64 {
	l.slide(now, p)
	available, charged := math.Inf(1), l.open
	sums := l.requestSums()
	for begin := l.step + 1; begin >= l.step-spanSteps; begin-- {
		if begin <= l.step {
			charged += l.charges[index(begin)]
		}
		available = min(available, grantedShare*(p.Ratio*sums.around(begin)+slack)-charged)
	}
	return max(available, 0)
}

// Capacity returns the repeats that a whole span allows, as of now.
func (l *Ledger) Capacity(now time.Time, p Policy, slack float64) float64 {
	return grantedShare * (p.Ratio*l.Requests(now, p) + slack)
}

// Requests returns the number of requests in the last span.
func (l *Ledger) Requests(now time.Time, p Policy) float64 {
	l.slide(now, p)
	return l.requestSums().within(l.step-spanSteps+1, l.step)
}

// Charged returns the repeats that arrived in the last span, and those that are open.
func (l *Ledger) Charged(now time.Time, p Policy) float64 {
	l.slide(now, p)
	sum := l.open
	for step := l.step - spanSteps + 1; step <= l.step; step++ {
		sum += l.charges[index(step)]
	}
	return sum
}

// requestSums are running sums of the requests over the steps of two spans.
type requestSums struct {
	first int64 // step before the first one
	sums  [2*spanSteps + 1]float64
}

func (l *Ledger) requestSums() *requestSums {
	s := &requestSums{first: l.step - 2*spanSteps}
	for i := int64(1); i < int64(len(s.sums)); i++ {
		s.sums[i] = s.sums[i-1] + l.requests[index(s.first+i)]
	}
	return s
}

// around returns the requests for which repeats are allowed now in a window that begins within a
// step. A window that a send of now falls into holds all requests until now. A request of the step
// itself is in that window or in the one before it.
func (s *requestSums) around(begin int64) float64 {
	before := s.within(begin+1-spanSteps, begin-1)
	during := s.within(begin+1, s.last())
	either := s.within(begin, begin)
	return earlierWeight*before + (1-earlierWeight)*during + min(earlierWeight, 1-earlierWeight)*either
}

// last returns the newest step.
func (s *requestSums) last() int64 { return s.first + int64(len(s.sums)) - 1 }

// within returns the requests of the steps from first to last; none where last is before first.
func (s *requestSums) within(first, last int64) float64 {
	at := func(step int64) float64 { return s.sums[min(max(step-s.first, 0), int64(len(s.sums)-1))] }
	return max(0, at(last)-at(first-1))
}
