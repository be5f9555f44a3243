package publisher

import "time"

// Timing holds the timeouts and intervals of a Tracker. Zero fields take the defaults set
// by withDefaults.
type Timing struct {
	ConfirmTimeout time.Duration // without confirmation by platform or peer, until the host is unready
	PollInterval   time.Duration // of reads of the platform, in addition to the watch
	GatherTimeout  time.Duration // for a new host to find the highest generation
	FetchTimeout   time.Duration // for one source to answer, until the next is asked
	TickInterval   time.Duration // of Tick inputs
	// AlwaysCurrent states that the platform's answers are never older than what a host
	// may have in force: it loses no writes and is not restored from backups. A new host
	// then need not wait for a peer's answer.
	AlwaysCurrent bool
}

const (
	defaultConfirm = 10 * time.Second
	defaultGather  = time.Second
	defaultFetch   = time.Second
	defaultTick    = 250 * time.Millisecond
	// firstRetry is the pause after the first failed read. It doubles with each further
	// failure, up to Timing.PollInterval.
	firstRetry = 500 * time.Millisecond
)

func (t Timing) withDefaults() Timing {
	if t.ConfirmTimeout == 0 {
		t.ConfirmTimeout = defaultConfirm
	}
	if t.PollInterval == 0 {
		t.PollInterval = t.ConfirmTimeout / 2
	}
	if t.GatherTimeout == 0 {
		t.GatherTimeout = defaultGather
	}
	if t.FetchTimeout == 0 {
		t.FetchTimeout = defaultFetch
	}
	if t.TickInterval == 0 {
		t.TickInterval = defaultTick
	}
	return t
}
