package placer

import (
	"cmp"
	"slices"
	"time"
)

// WorkerState is a host's view of one worker, for operators.
type WorkerState struct {
	Worker      string        `json:"worker"`
	Service     string        `json:"service"`
	Address     string        `json:"address"`
	Zone        string        `json:"zone"`
	Incarnation string        `json:"born,omitempty"`
	Version     string        `json:"version,omitempty"` // of its software
	Flights     int           `json:"flights"`           // requests there, of all hosts
	Reading     int           `json:"reading"`           // of these, the ones without a first event
	Hold        int           `json:"hold"`              // tokens that they take up
	Kept        int           `json:"kept"`              // tokens of prompt parts in its cache, as estimated
	Queue       time.Duration `json:"queue"`             // time to prefill what was sent to it
	Avoided     time.Duration `json:"avoided"`           // current penalty for its failures
	Rate        float64       `json:"rate"`              // prompt tokens that it prefills per millisecond

	Brittle int `json:"brittle,omitempty"` // requests that it may turn away in a second; 0 if it does not say so

	Limit float64 `json:"limit,omitempty"` // requests per second that it accepts from all hosts
}

// WorkerStates returns the view's state of each worker, ordered by service and name.
func (v *View) WorkerStates(now time.Time) []WorkerState {
	states := make([]WorkerState, 0, len(v.workers))
	for _, w := range v.workers {
		s := WorkerState{
			Worker: w.Name, Service: w.Service, Address: w.Address, Zone: w.Zone, Incarnation: w.Incarnation, Version: w.Version,
			Flights: len(w.flights), Reading: w.awaitingFirst, Hold: w.hold, Kept: w.cache.tokens,
			Queue: milliseconds(w.queue.timeAhead(now, maxRank) + w.contention(now, Request{}).lag), Avoided: milliseconds(w.currentPenalty(now)), Limit: w.limit.rate, Brittle: w.brittle.allowed,
		}
		if w.CacheTokens > 0 {
			s.Rate = chunkTokens / w.prefillTime(chunkTokens, chunkTokens)
		}
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b WorkerState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Worker, b.Worker))
	})
	return states
}
