package resumer

import (
	"maps"
	"slices"
	"time"
)

// maxListAge is the age of a host's list of workers up to which the host counts as knowing all
// workers: the longest usual time between two updates, and a margin.
const maxListAge = 1500 * time.Millisecond

// history is what a host knows of the software that served in each service.
type history struct {
	since     time.Time // from when on it is complete; zero before the first list
	always    bool      // it is complete from the first start of the system on
	holed     bool      // changes were missed since then, and since is later
	updatedAt time.Time // of the list
	// confirmedAt is the time up to which the list is known to hold all changes: when the call
	// of its source was sent, not when its answer arrived.
	confirmedAt time.Time
	present     map[string]map[string]Worker    // a worker of each software that is listed now, by service
	starts      map[string]Worker               // the workers that are listed now, by name
	startsAt    time.Time                       // until when the list is known to have each start of a worker
	gone        map[string]map[string]departure // of the last worker of a software, by service
}

// departure is a worker that went away.
type departure struct {
	worker Worker
	at     time.Time
}

// observe applies a complete list of workers that was current at a time.
func (h *history) observe(now, updatedAt time.Time, workers []Worker) {
	if h.since.IsZero() {
		h.since = now
	}
	h.updatedAt = updatedAt
	present := map[string]map[string]Worker{}
	h.starts = map[string]Worker{}
	for _, w := range workers {
		h.starts[w.Name] = w
		if present[w.Service] == nil {
			present[w.Service] = map[string]Worker{}
		}
		present[w.Service][w.Software()] = w
	}
	for service, list := range h.present {
		for software, w := range list {
			if _, ok := present[service][software]; !ok {
				h.leave(now, w)
			}
		}
	}
	h.present = present
}

// leave records that the last worker of a software was there.
func (h *history) leave(at time.Time, w Worker) {
	if h.gone == nil {
		h.gone = map[string]map[string]departure{}
	}
	if h.gone[w.Service] == nil {
		h.gone[w.Service] = map[string]departure{}
	}
	if at.After(h.gone[w.Service][w.Software()].at) {
		h.gone[w.Service][w.Software()] = departure{worker: w, at: at}
	}
}

// expire forgets software that went away before a time.
func (h *history) expire(before time.Time) {
	for service, list := range h.gone {
		maps.DeleteFunc(list, func(_ string, x departure) bool { return x.at.Before(before) })
		if len(list) == 0 {
			delete(h.gone, service)
		}
	}
}

// completeFor reports whether the history reaches back a time.
func (h *history) completeFor(now time.Time, d time.Duration) bool {
	return h.always && !h.holed || !h.since.IsZero() && now.Sub(h.since) >= d
}

// age returns the age of the list that the history ends with; -1 before the first list.
func (h *history) age(now time.Time) time.Duration {
	if h.updatedAt.IsZero() {
		return -1
	}
	return now.Sub(h.updatedAt)
}

// fresh reports whether the list that the history ends with is current.
func (h *history) fresh(now time.Time) bool {
	age := h.age(now)
	return age >= 0 && age <= maxListAge
}

// software returns the software that served in a service within a time, sorted.
func (h *history) software(now time.Time, service string, d time.Duration) []string {
	all := slices.Collect(maps.Keys(h.present[service]))
	for s, x := range h.gone[service] {
		if _, ok := h.present[service][s]; !ok && now.Sub(x.at) < d {
			all = append(all, s)
		}
	}
	slices.Sort(all)
	return all
}

// workerOf returns a worker of a software that served, without what other workers of it don't share.
func (h *history) workerOf(service, software string) Worker {
	w, ok := h.present[service][software]
	if !ok {
		w = h.gone[service][software].worker
	}
	if w.Version == "" {
		return w
	}
	return Worker{Service: w.Service, Version: w.Version}
}

// History is what one host knows of the software that served in a service within the longest
// life of a stream.
type History struct {
	Service  string
	Software []string
	Complete bool // it knows of all that time
	Fresh    bool // its list of workers is current
}

// MaxListAge returns the age of a host's list of workers up to which the host counts as knowing
// all workers.
func MaxListAge() time.Duration { return maxListAge }

// view returns what the history says of a service.
func (h *history) view(now time.Time, service string, d time.Duration) History {
	return History{Service: service, Software: h.software(now, service, d), Complete: h.completeFor(now, d), Fresh: h.fresh(now)}
}

// one returns whether a single software served, as far as the host knows.
func (h History) one() bool { return len(h.Software) == 1 }
