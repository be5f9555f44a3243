package faker

import (
	"container/heap"
	"time"
)

// EventQueue is what happens at which virtual time. What is due at one time happens
// in the order in which it was added, so that a run is the same each time. The
// zero value is empty.
type EventQueue struct {
	items  agendaItems
	serial int
}

// Add has do happen at a time.
func (a *EventQueue) Add(at time.Time, do func()) {
	a.serial++
	heap.Push(&a.items, agendaItem{at: at, serial: a.serial, do: do})
}

// Next takes out what is due first, where that is not after until.
func (a *EventQueue) Next(until time.Time) (at time.Time, do func(), ok bool) {
	if len(a.items) == 0 || a.items[0].at.After(until) {
		return time.Time{}, nil, false
	}
	i := heap.Pop(&a.items).(agendaItem)
	return i.at, i.do, true
}

type agendaItem struct {
	at     time.Time
	serial int
	do     func()
}

// agendaItems implements heap.Interface.
type agendaItems []agendaItem

func (a agendaItems) Len() int { return len(a) }

func (a agendaItems) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].serial < a[j].serial
}

func (a agendaItems) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *agendaItems) Push(x any) { *a = append(*a, x.(agendaItem)) }

func (a *agendaItems) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}
