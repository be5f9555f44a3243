package faker

import (
	"container/heap"
	"time"
)

// EventQueue orders events by virtual time. Events at the same time happen in the order in
// which they were added, so that runs are reproducible. The zero value is empty.
type EventQueue struct {
	events eventHeap
	serial int
}

// Add schedules do to happen at a time.
func (a *EventQueue) Add(at time.Time, do func()) {
	a.serial++
	heap.Push(&a.events, event{at: at, serial: a.serial, do: do})
}

// Next removes and returns the first event, unless it is after until.
func (a *EventQueue) Next(until time.Time) (at time.Time, do func(), ok bool) {
	if len(a.events) == 0 || a.events[0].at.After(until) {
		return time.Time{}, nil, false
	}
	i := heap.Pop(&a.events).(event)
	return i.at, i.do, true
}

type event struct {
	at     time.Time
	serial int
	do     func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (a eventHeap) Len() int { return len(a) }

func (a eventHeap) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].serial < a[j].serial
}

func (a eventHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *eventHeap) Push(x any) { *a = append(*a, x.(event)) }

func (a *eventHeap) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}
