// Package observer knows which backend servers are there and which of them are
// leaving. Three sources say so, each late in its own way: the platform's host
// list, the worker's own load report, and its refusal of a call.
//
// Observer is pure: time comes in as an argument. Client is the adapter that
// reads lists and reports over HTTP.
package observer

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/loader"
)

const (
	// refusalHold is how long a refusal alone keeps new work away. A load report
	// may be older than the refusal, so none ends it sooner.
	refusalHold = 3 * time.Second
	// silentHold is how long a worker that the host list lost is kept after its
	// last answer: the list may be late or wrong.
	silentHold = 10 * time.Second
	// unseenHold is the same for a worker that this host does not ask itself.
	unseenHold = time.Minute
)

// Report is a worker's load report.
type Report struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// Listing is one backend server in the platform's host list.
type Listing struct {
	Service string `json:"service"`
	Name    string `json:"name"`
	Address string `json:"address"` // IP:port
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
}

// key names a worker.
type key struct{ service, name string }

// worker is what is known of one backend server.
type worker struct {
	loader.Worker
	fixed    bool // named by the folder
	missing  time.Time
	answered time.Time // its last answer to this host; zero before the first
	refused  time.Time
	listed   bool // as leaving, in the host list
	reported bool // itself as leaving
	report   Report
}

// present says whether the worker may get new work. Whichever source says first
// that it leaves is believed, and each must take its own word back.
func (w *worker) present(now time.Time) bool {
	return !w.listed && !w.reported && (w.refused.IsZero() || now.Sub(w.refused) >= refusalHold)
}

// Observer is the workers of all services. The zero Observer knows none. It is
// not safe for concurrent use: the control goroutine owns it.
type Observer struct {
	services map[string]loader.Service
	workers  map[key]*worker
}

// Configure takes the services of a new configuration.
func (o *Observer) Configure(services map[string]loader.Service) {
	o.services = services
	old := o.workers
	o.workers = map[key]*worker{}
	for name, s := range services {
		for _, w := range s.Workers {
			k := key{name, w.Name}
			o.workers[k] = &worker{Worker: w, fixed: true}
			if x := old[k]; x != nil && x.Address == w.Address {
				*o.workers[k] = *x
				o.workers[k].Worker, o.workers[k].fixed = w, true
			}
		}
	}
	for k, x := range old {
		if o.services[k.service].Hosts && !x.fixed && o.workers[k] == nil {
			o.workers[k] = x
		}
	}
}

// Listed takes the whole host list. A worker that it lost is kept while it
// answers: only a list that says "leaving" takes work away.
func (o *Observer) Listed(now time.Time, list []Listing) {
	seen := map[key]bool{}
	for _, l := range list {
		k := key{l.Service, l.Name}
		if !o.services[l.Service].Hosts {
			continue
		}
		seen[k] = true
		w := loader.Worker{Name: l.Name, Address: l.Address, Zone: l.Zone, Slots: l.Slots}
		x := o.workers[k]
		if x == nil || (!x.fixed && x.Worker != w) {
			x = &worker{Worker: w}
			o.workers[k] = x
		}
		x.listed, x.missing = l.Leaving, time.Time{}
	}
	for k, x := range o.workers {
		if !seen[k] && o.services[k.service].Hosts && x.missing.IsZero() {
			x.missing = now
		}
	}
}

// Reported takes a worker's load report, and says whether that changes which
// workers may get new work.
func (o *Observer) Reported(now time.Time, address string, r Report) (changed bool) {
	for _, x := range o.at(address) {
		changed = changed || x.reported != r.Leaving
		x.answered, x.report, x.reported = now, r, r.Leaving
	}
	return changed
}

// Refused takes that a worker answered a call with "not run".
func (o *Observer) Refused(now time.Time, address string) {
	for _, x := range o.at(address) {
		x.refused = now
	}
}

func (o *Observer) at(address string) []*worker {
	var out []*worker
	for _, x := range o.workers {
		if x.Address == address {
			out = append(out, x)
		}
	}
	return out
}

// Sweep forgets workers that the host list lost and that do not answer. It says
// whether there were any.
func (o *Observer) Sweep(now time.Time) bool {
	before := len(o.workers)
	maps.DeleteFunc(o.workers, func(_ key, x *worker) bool {
		if x.fixed || x.missing.IsZero() {
			return false
		}
		if x.answered.IsZero() {
			return now.Sub(x.missing) >= unseenHold
		}
		return now.Sub(x.missing) >= silentHold && now.Sub(x.answered) >= silentHold
	})
	return len(o.workers) != before
}

// Services is the configured services with every known worker, leaving ones
// included: which worker is in which cell must not change when one leaves.
func (o *Observer) Services() map[string]loader.Service {
	out := maps.Clone(o.services)
	for name, s := range out {
		s.Workers = nil
		for k, x := range o.workers {
			if k.service == name {
				s.Workers = append(s.Workers, x.Worker)
			}
		}
		slices.SortFunc(s.Workers, func(a, b loader.Worker) int { return cmp.Compare(a.Name, b.Name) })
		out[name] = s
	}
	return out
}

// Available is a cell with only the workers that may get new work.
func (o *Observer) Available(now time.Time, c dispatcher.Cell) dispatcher.Cell {
	c.Workers = slices.DeleteFunc(slices.Clone(c.Workers), func(w loader.Worker) bool {
		x := o.workers[key{c.Service, w.Name}]
		return x == nil || !x.present(now)
	})
	return c
}

// State is what is known of one worker, for operators.
type State struct {
	Service   string `json:"service"`
	Name      string `json:"name"`
	Address   string `json:"address"`
	Available bool   `json:"present"`
	Reason    string `json:"why,omitempty"` // it gets nothing new: list, report or refusal
	Report    Report `json:"report"`
}

// States is the state of every worker, in order.
func (o *Observer) States(now time.Time) []State {
	out := slices.AppendSeq([]State{}, o.All(now))
	Sort(out)
	return out
}

// Sort puts states in the order of their services and names.
func Sort(states []State) {
	slices.SortFunc(states, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
}

// All is the state of every worker, in no order. Each host goes over all workers
// of the fleet, so this allocates nothing.
func (o *Observer) All(now time.Time) iter.Seq[State] {
	return func(yield func(State) bool) {
		for k, x := range o.workers {
			if !yield(x.state(now, k)) {
				return
			}
		}
	}
}

func (w *worker) state(now time.Time, k key) State {
	s := State{Service: k.service, Name: k.name, Address: w.Address, Available: w.present(now), Report: w.report}
	switch {
	case s.Available:
	case w.reported:
		s.Reason = "report"
	case w.listed:
		s.Reason = "list"
	default:
		s.Reason = "refusal"
	}
	return s
}
