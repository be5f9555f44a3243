// Package reserver accounts for the memory that others make a process keep: bodies of callers,
// answers and events of backend servers, answers of the store, frames of other hosts. What is
// kept is reserved before it is read.
//
// How much one reservation may take depends on what is free: its use's share of that (the dynamic
// threshold of Choudhury and Hahne, "Dynamic queue length thresholds for shared-memory packet
// switches", 1998). When memory becomes short, the largest can grow no more while small ones still
// can, without any list of who takes how much.
package reserver

import (
	"errors"
	"iter"
	"sync/atomic"
)

// ErrFull means that there is no memory for what was to be kept.
var ErrFull = errors.New("no memory is left for it")

// Use is what memory is reserved for.
type Use int

// The uses.
const (
	Request Use = iota // head of a caller's request
	Body               // of a caller's request, which has not run
	Answer             // of a backend server, kept until it is whole
	Event              // of a stream, kept until it is whole
	Head               // of an answer
	Object             // of the store
	Frame              // of another host
	uses
)

var useNames = [uses]string{"request", "body", "answer", "event", "head", "object", "frame"}

// Uses returns all uses.
func Uses() iter.Seq[Use] {
	return func(yield func(Use) bool) {
		for u := range uses {
			if !yield(u) {
				return
			}
		}
	}
}

// String returns the use's name, for metrics.
func (u Use) String() string { return useNames[u] }

// quota limits the reservations of a use.
type quota struct {
	part  float64 // of the limit that may be taken, by all uses together, as this one reserves
	share float64 // one reservation may have so many times what is then left of that
}

// Requests that have not run are refused first: their callers may come again. What a host needs to
// act with the others goes last.
var quotas = [uses]quota{
	Request: {part: 0.8, share: 1. / 32},
	Body:    {part: 0.7, share: 1},
	Answer:  {part: 0.9, share: 1. / 8},
	Event:   {part: 0.9, share: 1. / 32},
	Head:    {part: 0.9, share: 1. / 32},
	Object:  {part: 1, share: 1. / 2},
	Frame:   {part: 1, share: 1. / 4},
}

// Memory is the memory that others may make a process take. The zero value has no limit. It is safe
// for concurrent use.
type Memory struct {
	limit   int64 // bytes; 0 means none
	taken   atomic.Int64
	most    atomic.Int64
	refused [uses]atomic.Int64
}

// New returns a Memory with a limit in bytes.
func New(limit int64) *Memory { return &Memory{limit: limit} }

// Taken returns the bytes that are reserved now, and the most that ever were.
func (m *Memory) Taken() (now, most int64) { return m.taken.Load(), m.most.Load() }

// Refused returns how often a use got no memory.
func (m *Memory) Refused(u Use) int64 { return m.refused[u].Load() }

// Limit returns the limit in bytes; 0 means none.
func (m *Memory) Limit() int64 { return m.limit }

// Reserve returns a reservation of nothing yet.
func (m *Memory) Reserve(u Use) *Reservation { return &Reservation{memory: m, use: u} }

// take takes n bytes for a reservation that has held, or none.
func (m *Memory) take(u Use, held, n int64) bool {
	for {
		taken := m.taken.Load()
		if m.limit > 0 {
			left := int64(quotas[u].part*float64(m.limit)) - taken - n
			if left < 0 || float64(held+n) > quotas[u].share*float64(left) {
				m.refused[u].Add(1)
				return false
			}
		}
		if m.taken.CompareAndSwap(taken, taken+n) {
			m.noteMost(taken + n)
			return true
		}
	}
}

func (m *Memory) noteMost(n int64) {
	for most := m.most.Load(); n > most && !m.most.CompareAndSwap(most, n); {
		most = m.most.Load()
	}
}

// Reservation is what one request or message takes of a Memory. It is used by one goroutine at a
// time. Nil takes nothing, and refuses nothing.
type Reservation struct {
	memory *Memory
	use    Use
	bytes  int64
}

// Grow takes n more bytes. It takes none, and returns ErrFull, if they don't fit.
func (r *Reservation) Grow(n int64) error {
	if r == nil || n <= 0 {
		return nil
	}
	if !r.memory.take(r.use, r.bytes, n) {
		return ErrFull
	}
	r.bytes += n
	return nil
}

// Release gives back all that was taken.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.memory.taken.Add(-r.bytes)
	r.bytes = 0
}
