package dispatcher

import "time"

// Policy switches mechanisms off, to measure what each is worth. The zero value
// has all of them on; hosts use that.
type Policy struct {
	NoShare    bool // no guaranteed places: strict tiers
	NoPreempt  bool
	NoEstimate bool // every request is taken to cost its class's mean
	NoFairness bool // earliest deadline first, whoever asks
	NoRefusal  bool // refuse only what is late already
	NoPostpone bool // what missed its targets keeps its turn in the top tier too
	NoBreaker  bool
	Exact      bool // Ask.Output is the output's true length
}

// Options of a Dispatcher.
type Options struct {
	Policy Policy
	Seed   uint64 // of the jitter in Retry-After
}

const (
	// gatherTime is how long a new dispatcher waits for claims before it grants:
	// a grant before them could fill a worker that is full already.
	gatherTime = 300 * time.Millisecond
	// orphanGrace is how long a dead host's grants stay in use: a host that is
	// only unreachable claims them again within it.
	orphanGrace = 2 * time.Second
	// grantLease is how long a grant stays in use without a sign of its entry. A
	// Done that was lost would else keep the place until the deadline.
	grantLease = 25 * time.Second
	// patience is how long a class waits with no place in use before it is
	// starving and may get one ahead of the top tier.
	patience = 5 * time.Second
	// spareFactor is how many times the wait for the next place the top tier's
	// first request must be able to spare before a starving class goes ahead.
	spareFactor = 2
	// admitMargin is the part of its slack that the top tier may expect to wait
	// when it is admitted. The rest absorbs a starving class's place.
	admitMargin = 0.4
	// lowerMargin is the same for the other tiers, whose answers' lengths vary more.
	lowerMargin = 0.6
	// fairQuantum is the served tokens within which organisations count as even,
	// so that the earlier deadline decides.
	fairQuantum = 256
	// shortestAfter is the least time a refused caller is told to stay away.
	shortestAfter = 100 * time.Millisecond
)
