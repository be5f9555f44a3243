package observer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// leavingRetention is how long a leaving process without an entry is remembered. Its entry may
// expire while it can't reach the source, and be written again afterwards.
const leavingRetention = 10 * time.Minute

// Process identifies one process of a worker.
type Process struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"` // as in the worker's entry
}

// ReportLeaving records that a worker's process reported itself as leaving. That is final: only
// another process under the name gets requests again, whatever its entry states. ReportLeaving
// reports whether it is news.
func (d *Directory) ReportLeaving(now time.Time, p Process) bool {
	if d.IsLeaving(p) {
		return false
	}
	if d.leaving == nil {
		d.leaving = map[Process]time.Time{}
	}
	d.leaving[p] = now
	return true
}

// IsLeaving reports whether a process reported itself as leaving.
func (d *Directory) IsLeaving(p Process) bool {
	_, ok := d.leaving[p]
	return ok
}

// Leaving returns the processes that reported themselves as leaving, in order.
func (d *Directory) Leaving() []Process {
	return slices.SortedFunc(maps.Keys(d.leaving), func(a, b Process) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// sweepLeaving forgets the leaving processes that had no entry for leavingRetention.
func (d *Directory) sweepLeaving(now time.Time) {
	for p, listedAt := range d.leaving {
		if r := d.entries[p.Name]; r != nil && r.process() == p {
			d.leaving[p] = now
			continue
		}
		if now.Sub(listedAt) >= leavingRetention {
			delete(d.leaving, p)
		}
	}
}

// process returns the process that wrote the entry.
func (e Entry) process() Process { return Process{Name: e.Name, Incarnation: e.Incarnation} }
