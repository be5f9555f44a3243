package publisher

import "time"

// Timing holds the timeouts and intervals of a Tracker. Zero fields take the defaults set
// by withDefaults.
type Timing struct {
	ConfirmTimeout time.Duration // time without confirmation by the platform or a peer after which the host becomes unready
	PollInterval   time.Duration // interval of reads of the platform, in addition to the watch
	GatherTimeout  time.Duration // maximum time in which a new host looks for the highest generation
	FetchTimeout   time.Duration // time that one source has to answer before the next is asked
	TickInterval   time.Duration // interval of Tick inputs
	// AlwaysCurrent states that the platform's answers are never older than the
	// configuration that a host may have in force: it loses no writes and is not restored
	// from backups. A new host then need not wait for a peer's answer.
	AlwaysCurrent bool
}

const (
	defaultConfirm = 10 * time.Second
	defaultGather  = time.Second
	defaultFetch   = time.Second
	defaultTick    = 250 * time.Millisecond
	// firstRetryDelay is the pause after the first failed read. It doubles with each further
	// failure, up to Timing.PollInterval.
	firstRetryDelay = 500 * time.Millisecond
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
