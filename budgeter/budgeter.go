// Package budgeter keeps the retry budget that all hosts of a fleet share for a service: in any
// span of time, the repeats of all hosts together stay within a ratio of the service's requests
// plus a slack.
//
// Each process has a part of the budget. It is what its own requests allow and, once it has run
// for longer than a span, an even part of the slack. A Ledger charges the part with all that the
// process sends or lends, so that the bound holds by what each process knows of itself: it needs
// no agreement, no owner, no store, and no message to arrive. A process that has used up its part
// borrows from others, which charge their own parts before they reply.
//
// The package does no I/O and reads no clock: callers pass the time in.
package budgeter

import (
	"cmp"
	"time"
)

// Policy is the bound on the repeats of a service over all hosts.
type Policy struct {
	Ratio float64       // repeats for each request
	Slack float64       // repeats beyond that
	Span  time.Duration // sliding time over which repeats are counted
}

const (
	// grantedShare is the part of the bound that is granted. The rest is for sends that arrive
	// later than expected.
	grantedShare = 0.99
	// reserveShare is the part of a host's budget that one kind of repeats leaves to the others.
	reserveShare = 0.06
	// rosterDelay is the time within which all hosts know of a new one.
	rosterDelay = 2 * time.Second
	// sizeMemory is for how long a host divides the slack by the largest roster that it had. A
	// host that is cut off sees the others leave its roster, though they go on elsewhere.
	sizeMemory = 15 * time.Minute
	// idleSpans is the number of spans without a request after which a service is forgotten: more
	// than what is charged and counted lasts.
	idleSpans = 4
	// minSharing is the number of hosts that a host assumes while it knows no other.
	minSharing = 8
)

// Claim is a repeat that asks for budget.
type Claim struct {
	Tier       int  // urgency of its route; 0 is the most urgent
	Begun      bool // its caller has a part of the answer, which stays broken without it
	LastChance bool // its caller could not come back in time if it were refused
}

// kind identifies claims that are limited together.
type kind struct {
	tier  int
	begun bool
}

func (c Claim) kind() kind { return kind{tier: c.Tier, begun: c.Begun} }

// Compare orders claims by which of them gets budget first.
func (c Claim) Compare(other Claim) int {
	return cmp.Or(compareBool(c.Begun, other.Begun), compareBool(c.LastChance, other.LastChance), cmp.Compare(c.Tier, other.Tier))
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// reserveShare returns the part of the budget that a claim leaves to claims of other kinds.
func (c Claim) reserveShare() float64 {
	switch {
	case c.Begun, c.LastChance:
		return 0
	case c.Tier == 0:
		return reserveShare / 2
	}
	return reserveShare
}
