package placer

import "time"

const (
	// minSilence is for how long a worker is avoided that did not answer in time, and
	// maxSilence is the longest such time if it still does not when it is tried again.
	minSilence = 300 * time.Millisecond
	maxSilence = 4 * time.Second
)

// silence is for how long a worker is avoided that does not answer in time. A worker may be
// silent for a while and go on, so that time begins short, doubles while the silence lasts,
// and ends with the first sign of life. The zero silence is that of a worker that answers.
type silence struct {
	last  time.Duration // length of the last time
	until time.Time
	ended time.Time // when the worker last answered after being silent
}

// note records a request that the worker did not answer in time. Those that were sent before
// the worker was first avoided count as one.
func (s *silence) note(now time.Time) {
	if s.avoided(now) {
		return
	}
	s.last = min(max(2*s.last, minSilence), maxSilence)
	s.until = now.Add(s.last)
}

// end records a sign of life.
func (s *silence) end(now time.Time) {
	if s.last > 0 {
		*s = silence{ended: now}
	}
}

// covers reports whether a request sent at a time may have waited for a silence to end: its
// time to the first event says nothing about the worker's speed.
func (s *silence) covers(sentAt time.Time) bool { return sentAt.Before(s.ended) }

func (s *silence) avoided(now time.Time) bool { return now.Before(s.until) }
