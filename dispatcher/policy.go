package dispatcher

import "time"

// Policy switches mechanisms off, to measure the effect of each. The zero
// value, which hosts use, has all of them on.
type Policy struct {
	NoShare    bool // no guaranteed places: strict tiers
	NoPreempt  bool
	NoEstimate bool // every request is assumed to cost its class's mean
	NoFairness bool // earliest deadline first, regardless of the organisation
	NoRefusal  bool // refuse only requests that are already late
	NoPostpone bool // requests that missed their targets keep their turn in the top tier too
	NoBreaker  bool
	Exact      bool // Ask.Output is the exact length of the output
}

// Options are the settings of a Dispatcher.
type Options struct {
	Policy Policy
	Seed   uint64 // of the jitter in Retry-After
}

const (
	// claimWindow is how long a new dispatcher waits for claims before it
	// grants: an earlier grant could overfill a worker that is already full.
	claimWindow = 300 * time.Millisecond
	// orphanGrace is how long a failed host's grants stay in use: a host that
	// was only unreachable claims them again within this time.
	orphanGrace = 2 * time.Second
	// grantLease is how long a grant stays in use without a sign of its entry.
	// Without it, a lost Done would keep the place in use until the deadline.
	grantLease = 25 * time.Second
	// starvationTime is how long a class waits with no place in use before it
	// is starving and may get one ahead of the top tier.
	starvationTime = 5 * time.Second
	// spareFactor is how many times the expected wait for the next place the
	// slack of the top tier's first request must exceed before a starving class
	// goes ahead of it.
	spareFactor = 2
	// topTierMargin is the fraction of its slack for which a request of the top
	// tier may expect to wait and still be admitted. The rest absorbs a place
	// granted to a starving class.
	topTierMargin = 0.4
	// lowerTierMargin is the same for the other tiers, whose answers vary more
	// in length.
	lowerTierMargin = 0.6
	// fairQuantum is the step, in served tokens, within which organisations
	// count as equally served and the earlier deadline decides.
	fairQuantum = 256
	// minRetryAfter is the minimum time after which a refused caller is asked
	// to retry.
	minRetryAfter = 100 * time.Millisecond
)
