package publisher

import "time"

// Timing is how long a Tracker waits for what. Zero fields take the defaults of
// withDefaults.
type Timing struct {
	ConfirmTimeout time.Duration // without word from platform or peer, before unready
	PollInterval   time.Duration // between reads of the platform, behind the watch
	GatherTimeout  time.Duration // a fresh host waits that long for the highest generation
	FetchTimeout   time.Duration // for one source to answer, before the next is asked
	TickInterval   time.Duration // between looks at what is due
	// AlwaysCurrent says that the platform's answers are never older than what a host may
	// have: it loses nothing, and is not restored from backups. A fresh host need not
	// hear a peer as well.
	AlwaysCurrent bool
}

const (
	defaultConfirm = 10 * time.Second
	defaultGather  = time.Second
	defaultFetch   = time.Second
	defaultTick    = 250 * time.Millisecond
	// firstRetry is the pause after the first failed read; it doubles with each
	// failure up to Timing.Poll.
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
