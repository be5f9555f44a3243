// Package limiter holds organisations to limits that count over all hosts.
//
// One host owns each organisation's limit. It lends parts of it, with an expiry,
// to the entries that ask: to each as much as it is asked for there. An entry
// that hears nothing from the owner goes on with an even part, the limit by the
// number of hosts. So a message pair a second for each organisation and entry
// that is active is all it costs, and an idle one costs nothing.
//
// What holds, with R the limit: the loans in use never come to more than R, as
// the owner counts a loan for longer than its entry uses it, and a new owner
// lends nothing until the loans of the one before are over. Entries that hear
// nothing add at most R/hosts each. So the sum is R while the owner is reached,
// never over 2R, and R again one expiry after the owner was lost.
//
// Everything is pure: time comes in as an argument.
package limiter

import "time"

// Intervals of borrowing.
const (
	LoanTerm   = 2 * time.Second        // of a loan
	askEvery   = time.Second            // between asks of an active entry
	askSoon    = 100 * time.Millisecond // between its first two
	idleAfter  = 10 * time.Second       // an entry forgets what it knew
	burstTime  = time.Second            // of a rate that may come at once
	leastAfter = 50 * time.Millisecond  // to come back
	mostAfter  = 30 * time.Second
)

// reserve is the part of a limit that only loans up to an even part may use, so
// that traffic which moves to an entry needn't wait for the loans of others to
// end. Where every host has a loan there is none.
const reserve = 0.1

// Rates is requests and tokens a second.
type Rates struct {
	Requests float64
	Tokens   float64
}

func (r Rates) each(f func(float64) float64) Rates { return Rates{f(r.Requests), f(r.Tokens)} }

func both(a, b Rates, f func(a, b float64) float64) Rates {
	return Rates{f(a.Requests, b.Requests), f(a.Tokens, b.Tokens)}
}

func larger(a, b float64) float64  { return max(a, b) }
func smaller(a, b float64) float64 { return min(a, b) }
func plus(a, b float64) float64    { return a + b }
