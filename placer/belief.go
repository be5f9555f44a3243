package placer

import (
	"cmp"
	"slices"
	"time"
)

// WorkerState is what a host believes of one worker, for operators.
type WorkerState struct {
	Worker   string        `json:"worker"`
	Service  string        `json:"service"`
	Address  string        `json:"address"`
	Zone     string        `json:"zone"`
	Instance string        `json:"born,omitempty"`
	Flights  int           `json:"flights"` // requests there, of all hosts
	Reading  int           `json:"reading"` // of these, how many have had no first event
	Hold     int           `json:"hold"`    // tokens that they take up
	Kept     int           `json:"kept"`    // tokens of prompt parts that it is believed to keep
	Queue    time.Duration `json:"queue"`   // until it has read what was sent to it
	Avoided  time.Duration `json:"avoided"` // what it counts for its failures
	Rate     float64       `json:"rate"`    // tokens of prompts that it reads in a millisecond

	Limit float64 `json:"limit,omitempty"` // requests a second that it says it takes from all hosts
}

// WorkerStates is what the view holds of each worker, by service and name.
func (v *View) WorkerStates(now time.Time) []WorkerState {
	out := make([]WorkerState, 0, len(v.workers))
	for _, w := range v.workers {
		b := WorkerState{
			Worker: w.Name, Service: w.Service, Address: w.Address, Zone: w.Zone, Instance: w.Instance,
			Flights: len(w.flights), Reading: w.reading, Hold: w.hold, Kept: w.parts.tokens,
			Queue: milliseconds(w.line.before(now, lastRank) + w.others(now, Request{}).overdue), Avoided: milliseconds(w.avoided(now)), Limit: w.limit.rate,
		}
		if w.CacheTokens > 0 {
			b.Rate = chunk / w.readTime(chunk, chunk)
		}
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b WorkerState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Worker, b.Worker))
	})
	return out
}
