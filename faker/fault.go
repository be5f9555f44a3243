package faker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
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
	Mismatched FaultKind = "crossed" // goes on with the answer of another request
	Delayed    FaultKind = "late"    // waits for Delay first
	CallHook   FaultKind = "trip"    // calls Hook; the answer goes on
	Refuse     FaultKind = "refuse"  // refuses, and says that the call was not run
)

// Points of an answer, beside a number of tokens.
const (
	AtHead = -1 // before the answer's head
	AtEnd  = -2 // after the last token, before the engine says why it ends
	AtDone = -3 // before the end mark
)

// Fault hits calls at a point of their answer.
type Fault struct {
	Kind  FaultKind     `json:"kind"`
	At    int           `json:"at"`    // after this many tokens of the answer, AtHead, AtEnd or AtMark
	Times int           `json:"times"` // calls it hits; 0 is all
	Delay time.Duration `json:"delay"` // of Late, in nanoseconds

	// Hook is called with the backend server's name where the fault hits.
	Hook func(server string) `json:"-"`
}

// FaultInjector is the faults in force at one backend server. The zero value has none.
type FaultInjector struct {
	mu   sync.Mutex
	list []Fault
	plan [][]Fault
}

// Plan gives the next calls their faults one by one, beside those of Set.
func (f *FaultInjector) Plan(calls ...[]Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan = calls
}

// Set replaces the faults in force.
func (f *FaultInjector) Set(list ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append([]Fault(nil), list...)
}

// ServeHTTP takes a JSON list of faults.
func (f *FaultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var list []Fault
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, fmt.Sprintf("faults: %v", err), http.StatusBadRequest)
		return
	}
	f.Set(list...)
	w.WriteHeader(http.StatusNoContent)
}

// next is the faults that hit the call which begins now.
func (f *FaultInjector) next() hits {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := append(hits(nil), f.list...)
	if len(f.plan) > 0 {
		now = append(now, f.plan[0]...)
		f.plan = f.plan[1:]
	}
	kept := f.list[:0]
	for _, x := range f.list {
		if x.Times == 1 {
			continue
		}
		if x.Times > 1 {
			x.Times--
		}
		kept = append(kept, x)
	}
	f.list = kept
	return now
}

// hits is the faults of one call.
type hits []Fault

// at does what a point of the answer has in store. It returns the id that the
// answer goes on with, and false where the answer ends here.
func (h hits) at(ctx context.Context, server string, point int, id string) (string, bool) {
	for _, f := range h {
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

func (h hits) refused() bool {
	for _, f := range h {
		if f.Kind == Refuse {
			return true
		}
	}
	return false
}

// otherID is the id of another request: of the same form, and not the same.
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
