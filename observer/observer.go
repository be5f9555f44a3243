// Package observer tracks which backend servers exist and which of them are leaving. It
// combines three sources, each of which may be late: the platform's host list, the worker's
// own load report, and its refusal of a call.
//
// Observer does no I/O, and the time is an argument. Client reads lists and reports over HTTP.
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
	// refusalHold is how long a refusal keeps new work away from a worker, at least. A load
	// report may be older than the refusal, so no report ends the hold early.
	refusalHold = 3 * time.Second
	// silentRetention is how long a worker that is missing from the host list is kept after
	// its last answer, because the list may be late or wrong.
	silentRetention = 10 * time.Second
	// unseenRetention is the same for a worker that this host does not ask for reports.
	unseenRetention = time.Minute
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

// key identifies a worker.
type key struct{ service, name string }

// worker is the state of one backend server.
type worker struct {
	loader.Worker
	configured      bool      // listed in the configuration
	missingSince    time.Time // zero while it is in the host list
	lastReport      time.Time // received by this host; zero before the first
	refusedUntil    time.Time // end of the hold of its refusals; zero before the first
	listedLeaving   bool      // the host list reports it as leaving
	reportedLeaving bool      // it reports itself as leaving
	report          Report
}

// available reports whether the worker may get new work. It may not as soon as any source
// reports it as leaving, and only the same source can revoke that.
func (w *worker) available(now time.Time) bool {
	return !w.listedLeaving && !w.reportedLeaving && !now.Before(w.refusedUntil)
}

// Observer is the set of workers of all services. The zero Observer has none. It is not safe
// for concurrent use: the control goroutine owns it.
type Observer struct {
	services map[string]loader.Service
	workers  map[key]*worker
}

// Configure sets the services of a new configuration.
func (o *Observer) Configure(services map[string]loader.Service) {
	o.services = services
	previous := o.workers
	o.workers = map[key]*worker{}
	for name, s := range services {
		for _, w := range s.Workers {
			k := key{name, w.Name}
			o.workers[k] = &worker{Worker: w, configured: true}
			if x := previous[k]; x != nil && x.Address == w.Address {
				*o.workers[k] = *x
				o.workers[k].Worker, o.workers[k].configured = w, true
			}
		}
	}
	for k, x := range previous {
		if o.services[k.service].UseHostList && !x.configured && o.workers[k] == nil {
			o.workers[k] = x
		}
	}
}

// Listed applies the complete host list. A worker that is missing from it is kept while it
// answers: only a list that reports it as leaving keeps new work away.
func (o *Observer) Listed(now time.Time, list []Listing) {
	seen := map[key]bool{}
	for _, l := range list {
		k := key{l.Service, l.Name}
		if !o.services[l.Service].UseHostList {
			continue
		}
		seen[k] = true
		w := loader.Worker{Name: l.Name, Address: l.Address, Zone: l.Zone, Slots: l.Slots}
		x := o.workers[k]
		if x == nil || (!x.configured && x.Worker != w) {
			x = &worker{Worker: w}
			o.workers[k] = x
		}
		x.listedLeaving, x.missingSince = l.Leaving, time.Time{}
	}
	for k, x := range o.workers {
		if !seen[k] && o.services[k.service].UseHostList && x.missingSince.IsZero() {
			x.missingSince = now
		}
	}
}

// Reported applies a worker's load report and reports whether that changes which workers may
// get new work.
func (o *Observer) Reported(now time.Time, address string, r Report) (changed bool) {
	for _, x := range o.byAddress(address) {
		changed = changed || x.reportedLeaving != r.Leaving
		x.lastReport, x.report, x.reportedLeaving = now, r, r.Leaving
	}
	return changed
}

// Refused records that a worker answered a call with "not run", and for how long it wants no
// others; 0 if it stated no time.
func (o *Observer) Refused(now time.Time, address string, retryAfter time.Duration) {
	until := now.Add(max(refusalHold, retryAfter))
	for _, x := range o.byAddress(address) {
		if until.After(x.refusedUntil) {
			x.refusedUntil = until
		}
	}
}

func (o *Observer) byAddress(address string) []*worker {
	var out []*worker
	for _, x := range o.workers {
		if x.Address == address {
			out = append(out, x)
		}
	}
	return out
}

// Sweep removes the workers that are missing from the host list and don't answer. It reports
// whether there were any.
func (o *Observer) Sweep(now time.Time) bool {
	before := len(o.workers)
	maps.DeleteFunc(o.workers, func(_ key, x *worker) bool {
		if x.configured || x.missingSince.IsZero() {
			return false
		}
		if x.lastReport.IsZero() {
			return now.Sub(x.missingSince) >= unseenRetention
		}
		return now.Sub(x.missingSince) >= silentRetention && now.Sub(x.lastReport) >= silentRetention
	})
	return len(o.workers) != before
}

// Services returns the configured services with all known workers, including leaving ones: the
// assignment of workers to cells must not change when one leaves.
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

// Available returns a cell with only those of its workers that may get new work.
func (o *Observer) Available(now time.Time, c dispatcher.Cell) dispatcher.Cell {
	c.Workers = slices.DeleteFunc(slices.Clone(c.Workers), func(w loader.Worker) bool {
		x := o.workers[key{c.Service, w.Name}]
		return x == nil || !x.available(now)
	})
	return c
}

// State describes one worker to operators.
type State struct {
	Service   string `json:"service"`
	Name      string `json:"name"`
	Address   string `json:"address"`
	Available bool   `json:"present"`
	Reason    string `json:"why,omitempty"` // why it gets no new work: list, report or refusal
	Report    Report `json:"report"`
}

// States returns the state of every worker, sorted by service and name.
func (o *Observer) States(now time.Time) []State {
	out := slices.AppendSeq([]State{}, o.All(now))
	Sort(out)
	return out
}

// Sort sorts states by service and name.
func Sort(states []State) {
	slices.SortFunc(states, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
}

// All returns the state of every worker, in no particular order. It does not allocate, because
// each host iterates over all workers of the fleet.
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
	s := State{Service: k.service, Name: k.name, Address: w.Address, Available: w.available(now), Report: w.report}
	switch {
	case s.Available:
	case w.reportedLeaving:
		s.Reason = "report"
	case w.listedLeaving:
		s.Reason = "list"
	default:
		s.Reason = "refusal"
	}
	return s
}
