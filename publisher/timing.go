package publisher

import "time"

// Timing is how long a Tracker waits for what. Zero fields take the defaults of
// withDefaults.
type Timing struct {
	Confirm time.Duration // without word from platform or peer, before unready
	Poll    time.Duration // between reads of the platform, behind the watch
	Gather  time.Duration // a fresh host waits that long for the highest generation
	Fetch   time.Duration // for one source to answer, before the next is asked
	Tick    time.Duration // between looks at what is due
	// Current says that the platform's answers are never older than what a host may
	// have: it loses nothing, and is not restored from backups. A fresh host need not
	// hear a peer as well.
	Current bool
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
	if t.Confirm == 0 {
		t.Confirm = defaultConfirm
	}
	if t.Poll == 0 {
		t.Poll = t.Confirm / 2
	}
	if t.Gather == 0 {
		t.Gather = defaultGather
	}
	if t.Fetch == 0 {
		t.Fetch = defaultFetch
	}
	if t.Tick == 0 {
		t.Tick = defaultTick
	}
	return t
}
