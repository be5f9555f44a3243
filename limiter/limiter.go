// Package limiter enforces organisations' rate limits over all hosts.
//
// One host owns each organisation's limit. It lends parts of it, with an
// expiry, to the entries that ask, according to the demand at each. An entry
// without an answer from the owner uses an even part: the limit divided by the
// number of hosts. The cost is one pair of messages a second for each active
// organisation and entry, and nothing for idle ones.
//
// With R the limit, the loans in use never add up to more than R: the owner
// counts a loan for longer than its entry uses it, and a new owner lends
// nothing until the loans of the previous one have expired. Entries without an
// answer add at most R/hosts each. The sum is therefore at most R while the
// owner can be reached, never more than 2R, and R again one loan term after the
// owner was lost.
//
// The package does no I/O and reads no clock: callers pass the time in.
package limiter

import "time"

// Intervals of borrowing, and bounds for requests.
const (
	LoanTerm           = 2 * time.Second        // how long an entry may use a loan
	requestInterval    = time.Second            // between the loan requests of an active entry
	secondRequestDelay = 100 * time.Millisecond // between its first two: the first is sent before its demand is known
	idleTimeout        = 10 * time.Second       // without requests, after which an entry may drop a gate
	burstDuration      = time.Second            // of the rate that may be used at once
	minRetryAfter      = 50 * time.Millisecond  // minimum retry time of a refused request
	maxRetryAfter      = 30 * time.Second       // maximum of the same
)

// reserveFraction is the fraction of a limit that is lent only up to an even
// part for each entry, so that traffic which moves to another entry needn't
// wait for the loans of others to expire. There is no reserve once every host
// has a loan.
const reserveFraction = 0.1

// Rates is a number of requests and of tokens per second.
type Rates struct {
	Requests float64
	Tokens   float64
}

func (r Rates) apply(f func(float64) float64) Rates { return Rates{f(r.Requests), f(r.Tokens)} }

func combine(a, b Rates, f func(a, b float64) float64) Rates {
	return Rates{f(a.Requests, b.Requests), f(a.Tokens, b.Tokens)}
}

func larger(a, b float64) float64  { return max(a, b) }
func smaller(a, b float64) float64 { return min(a, b) }
func plus(a, b float64) float64    { return a + b }
