package publisher

import "time"

// Status is the state of a Follower, as shown to operators.
type Status struct {
	Generation uint64 `json:"generation"` // in force; 0 for none
	Newer      uint64 `json:"newer"`      // announced by a peer and not in force; 0 for none
	Rejected   uint64 `json:"rejected"`   // newest one that can't be used; 0 for none
	Reason     string `json:"reason"`     // why it can't be used
	Platform   bool   `json:"platform"`   // answered the last read
	Confirmed  string `json:"confirmed"`  // time since the last confirmation, as a duration
	Size       int    `json:"size"`       // packed, in bytes
}

// Status returns the tracker's state.
func (t *Tracker) Status(now time.Time) Status {
	s := Status{Generation: t.generation, Rejected: t.rejected, Platform: t.platformUp, Size: len(t.active.packed)}
	if t.announced.Generation > t.generation {
		s.Newer = t.announced.Generation
	}
	if t.rejection != nil {
		s.Reason = t.rejection.Error()
	}
	if !t.confirmedAt.IsZero() {
		s.Confirmed = now.Sub(t.confirmedAt).Round(time.Millisecond).String()
	}
	return s
}
