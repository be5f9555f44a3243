package publisher

import "time"

// Status is a follower's state, for operators.
type Status struct {
	Generation uint64 `json:"generation"` // in force; 0 for none
	Newer      uint64 `json:"newer"`      // that a peer told of and that is not in force; 0 for none
	Rejected   uint64 `json:"rejected"`   // that can't be used; 0 for none
	Reason     string `json:"reason"`     // why not
	Platform   bool   `json:"platform"`   // it answered last time
	Confirmed  string `json:"confirmed"`  // how long ago
	Size       int    `json:"size"`       // bytes packed
}

// Status is the tracker's state.
func (t *Tracker) Status(now time.Time) Status {
	s := Status{Generation: t.generation, Rejected: t.rejected, Platform: t.platform, Size: len(t.force.packed)}
	if t.wanted.Generation > t.generation {
		s.Newer = t.wanted.Generation
	}
	if t.refusal != nil {
		s.Reason = t.refusal.Error()
	}
	if !t.confirmed.IsZero() {
		s.Confirmed = now.Sub(t.confirmed).Round(time.Millisecond).String()
	}
	return s
}
