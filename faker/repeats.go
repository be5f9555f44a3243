package faker

import (
	"slices"
	"sync"
	"time"
)

// RepeatLimit bounds the repeats of a service, over all hosts: in any Window, to Ratio of its
// requests plus Slack. The requests are counted in that window, in the one before it, or in the
// one half a window before it, whichever has most.
type RepeatLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Repeats counts, for one service, the requests of callers and how often they arrive at workers.
// It is safe for concurrent use. The zero value is ready.
type Repeats struct {
	mu       sync.Mutex
	requests []time.Time
	repeats  []time.Time
	arrived  map[string]bool // requests that reached a worker
}

// Requested records that a caller sent a request.
func (r *Repeats) Requested(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, at)
}

// Arrived records that a request reached a worker, also one that rejects it. Each arrival after a
// request's first is a repeat.
func (r *Repeats) Arrived(at time.Time, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.arrived == nil {
		r.arrived = map[string]bool{}
	}
	if r.arrived[request] {
		r.repeats = append(r.repeats, at)
	}
	r.arrived[request] = true
}

// Repeated records a repeat that reached a worker, where its request is not known by name.
func (r *Repeats) Repeated(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repeats = append(r.repeats, at)
}

// RepeatWindow is one window of repeats.
type RepeatWindow struct {
	From     time.Time
	Repeats  int
	Requests int // for which repeats are allowed
	Allowed  float64
}

// Excess returns the number of repeats over what is allowed; negative where there is room.
func (w RepeatWindow) Excess() float64 { return float64(w.Repeats) - w.Allowed }

// Total returns the numbers of requests and of repeats.
func (r *Repeats) Total() (requests, repeats int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests), len(r.repeats)
}

// Worst returns the window with the largest excess, of those that begin or end at a repeat.
func (r *Repeats) Worst(l RepeatLimit) RepeatWindow {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests, repeats := sorted(r.requests), sorted(r.repeats)
	worst := RepeatWindow{Allowed: l.Slack}
	consider := func(from time.Time) {
		w := RepeatWindow{From: from, Repeats: between(repeats, from, l.Window)}
		for _, earlier := range []time.Duration{0, l.Window / 2, l.Window} {
			w.Requests = max(w.Requests, between(requests, from.Add(-earlier), l.Window))
		}
		w.Allowed = l.Ratio*float64(w.Requests) + l.Slack
		if w.Excess() > worst.Excess() {
			worst = w
		}
	}
	for _, at := range repeats {
		consider(at)
		consider(at.Add(time.Nanosecond - l.Window))
	}
	return worst
}

func sorted(times []time.Time) []time.Time {
	return slices.SortedFunc(slices.Values(times), time.Time.Compare)
}

// between returns the number of sorted times in a window that begins at from.
func between(times []time.Time, from time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return end - first
}
