package faker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// FaultKind is one way in which a backend server fails its calls.
type FaultKind string

// Kinds of fault.
const (
	Crash      FaultKind = "crash"   // drops the connection
	Silent     FaultKind = "silent"  // sends nothing more and keeps the connection
	Truncated  FaultKind = "short"   // ends the answer early, cleanly where the framing allows
	Mismatched FaultKind = "crossed" // continues as the answer to another request
	Delayed    FaultKind = "late"    // waits for Delay, then continues
	CallHook   FaultKind = "trip"    // only calls Hook; the answer continues
	Refuse     FaultKind = "refuse"  // refuses the call and reports that it was not run
)

// Points of an answer other than a number of tokens.
const (
	AtHead = -1 // before the answer's head
	AtEnd  = -2 // after the last token, before the finish reason
	AtDone = -3 // before the end mark [DONE]
)

// Fault is a fault that occurs in calls at a point of their answer.
type Fault struct {
	Kind  FaultKind     `json:"kind"`
	At    int           `json:"at"`    // after this many tokens of the answer, or AtHead, AtEnd or AtDone
	Times int           `json:"times"` // calls that it affects; 0 means all
	Delay time.Duration `json:"delay"` // of Delayed, in nanoseconds

	// Hook is called with the backend server's name when the fault occurs.
	Hook func(server string) `json:"-"`
}

// FaultInjector holds the faults in force at one or several backend servers. The zero
// value has none.
type FaultInjector struct {
	mu      sync.Mutex
	list    []Fault
	planned [][]Fault
}

// Plan sets the faults of the next calls, one list per call that reaches the point of one of its
// faults, in addition to those of Set.
func (f *FaultInjector) Plan(calls ...[]Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planned = calls
}

// Set replaces the faults in force.
func (f *FaultInjector) Set(list ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append([]Fault(nil), list...)
}

// ServeHTTP replaces the faults in force by a JSON list of faults.
func (f *FaultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var list []Fault
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, fmt.Sprintf("faults: %v", err), http.StatusBadRequest)
		return
	}
	f.Set(list...)
	w.WriteHeader(http.StatusNoContent)
}

// forCall returns the faults of the call that begins now.
func (f *FaultInjector) forCall() *callFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &callFaults{injector: f, list: append([]Fault(nil), f.list...)}
	remaining := f.list[:0]
	for _, x := range f.list {
		if x.Times == 1 {
			continue
		}
		if x.Times > 1 {
			x.Times--
		}
		remaining = append(remaining, x)
	}
	f.list = remaining
	h.take(f.nextPlanned(func(x Fault) bool { return x.Kind == Refuse }))
	return h
}

// takePlanned is nextPlanned for a point of an answer.
func (f *FaultInjector) takePlanned(point int) []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nextPlanned(func(x Fault) bool { return x.At == point })
}

// nextPlanned removes and returns the next planned list, if one of its faults occurs now.
func (f *FaultInjector) nextPlanned(occurs func(Fault) bool) []Fault {
	if len(f.planned) == 0 || !slices.ContainsFunc(f.planned[0], occurs) {
		return nil
	}
	next := f.planned[0]
	f.planned = f.planned[1:]
	return next
}

// callFaults are the faults of one call. It takes a planned list when it reaches one of its points:
// that of a call which its caller gave up before is left to the next one.
type callFaults struct {
	injector *FaultInjector
	list     []Fault
	took     bool // a planned list, which is in list
}

// take adds a planned list, if there is one.
func (h *callFaults) take(planned []Fault) {
	h.took = planned != nil
	h.list = append(h.list, planned...)
}

// apply applies the faults at a point of the answer. It returns the id with which the
// answer continues, and false if the answer ends here.
func (h *callFaults) apply(ctx context.Context, server string, point int, id string) (string, bool) {
	if !h.took && ctx.Err() == nil {
		h.take(h.injector.takePlanned(point))
	}
	for _, f := range h.list {
		if f.At != point {
			continue
		}
		if f.Hook != nil {
			f.Hook(server)
		}
		switch f.Kind {
		case Crash:
			panic(http.ErrAbortHandler)
		case Silent:
			<-ctx.Done()
			return id, false
		case Truncated:
			return id, false
		case Mismatched:
			id = otherID(id)
		case Delayed:
			select {
			case <-ctx.Done():
			case <-time.After(f.Delay):
			}
		}
	}
	return id, true
}

func (h *callFaults) refused() bool {
	for _, f := range h.list {
		if f.Kind == Refuse {
			return true
		}
	}
	return false
}

// otherID returns a different id of the same form.
func otherID(id string) string {
	head, tail := "", []byte(id)
	if i := strings.LastIndexByte(id, '-'); i >= 0 {
		head, tail = id[:i+1], tail[i+1:]
	}
	for i, c := range tail {
		tail[i] = c ^ 1 // digits to digits, a-f to a-f or a backquote
	}
	return head + strings.ReplaceAll(string(tail), "`", "f")
}
