package dispatcher

import "slices"

// State is a copy of a dispatcher's state, for dumps.
type State struct {
	Cell    string            `json:"cell"`
	Epoch   uint64            `json:"epoch"`
	Waiting []string          `json:"waiting"`
	Granted map[string]string `json:"granted"` // worker by request
	Classes []ClassState      `json:"classes"`
	Workers []WorkerState     `json:"workers"`
	Out     []string          `json:"out"` // workers that the breaker took out of use
}

// ClassState is the state of one class's queue.
type ClassState struct {
	Name    string  `json:"name"`
	Waiting int     `json:"waiting"`
	Held    int     `json:"held"`   // places in use
	Share   int     `json:"share"`  // places guaranteed
	Wait    float64 `json:"wait_s"` // seconds, expected of a request that arrives now
	Counts
}

// WorkerState is the use of one worker's slots.
type WorkerState struct {
	Name    string `json:"name"`
	Slots   int    `json:"slots"`
	Used    int    `json:"used"`
	Leaving bool   `json:"leaving"`
}

// State returns a copy of the dispatcher's state.
func (d *Dispatcher) State() State {
	s := State{Cell: d.cell.Name, Epoch: d.epoch, Waiting: []string{}, Granted: map[string]string{}, Out: d.breaker.Ejected()}
	for id := range d.waiting {
		s.Waiting = append(s.Waiting, id)
	}
	slices.Sort(s.Waiting)
	for id, g := range d.grants {
		s.Granted[id] = g.worker
	}
	for _, k := range d.classesByTier {
		s.Classes = append(s.Classes, ClassState{Name: k.name, Waiting: k.waiting, Held: k.used, Share: d.share(k), Wait: d.expectedWait(k, nil).Seconds(), Counts: k.counts})
	}
	for _, p := range d.workers {
		s.Workers = append(s.Workers, WorkerState{Name: p.name, Slots: p.slots, Used: p.used, Leaving: d.leaving[p.name]})
	}
	return s
}
