package dispatcher_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/messenger"
)

// baseline is the implementation to compare with: one sorted queue, and places
// that are counted again for each grant.
type baseline struct {
	slots  map[string]int
	queue  []messenger.Ask
	grants map[string]string
}

func (t *baseline) ask(a messenger.Ask) {
	i, _ := slices.BinarySearchFunc(t.queue, a, func(x, y messenger.Ask) int {
		return cmp.Or(cmp.Compare(x.Deadline, y.Deadline), cmp.Compare(x.Request, y.Request))
	})
	t.queue = slices.Insert(t.queue, i, a)
	t.fill()
}

func (t *baseline) done(request string) {
	t.queue = slices.DeleteFunc(t.queue, func(a messenger.Ask) bool { return a.Request == request })
	delete(t.grants, request)
	t.fill()
}

func (t *baseline) fill() {
	for len(t.queue) > 0 {
		used := map[string]int{}
		for _, w := range t.grants {
			used[w]++
		}
		best, room := "", 0
		for w, slots := range t.slots {
			if slots-used[w] > room {
				best, room = w, slots-used[w]
			}
		}
		if best == "" {
			return
		}
		t.grants[t.queue[0].Request] = best
		t.queue = t.queue[1:]
	}
}

// waitingLetters is how many requests of class letter wait while the measured
// ones come and go.
const waitingLetters = 2000

// cellSizes are numbers of workers in a cell, of 8 slots each.
var cellSizes = []int{6, 100, 830}

// BenchmarkCycle measures the ask, grant and done of one check while letters
// fill the queue and all places but one are in use.
func BenchmarkCycle(b *testing.B) {
	for _, workers := range cellSizes {
		b.Run(fmt.Sprintf("dispatcher/workers=%d", workers), func(b *testing.B) { cycleDispatcher(b, workers) })
		b.Run(fmt.Sprintf("baseline/workers=%d", workers), func(b *testing.B) { cycleBaseline(b, workers) })
	}
}

// warmedUp returns a dispatcher whose breaker and estimator have samples of
// every worker.
func warmedUp(workers int) *dispatcher.Dispatcher {
	const rounds = 6 // enough for the breaker to compare workers
	d := started(workers, 8)
	for round := range rounds {
		var held []messenger.Grant
		for i := range workers * 8 {
			held = append(held, only[messenger.Grant](d.Handle(ready, "a", ask(fmt.Sprintf("past-%d-%d", round, i), "check")))...)
		}
		for _, g := range held {
			d.Handle(ready, "a", done(g))
		}
	}
	return d
}

func cycleDispatcher(b *testing.B, workers int) {
	d := warmedUp(workers)
	now := ready
	for i := range workers*8 - 1 {
		a := ask(fmt.Sprintf("held-%d", i), "summary")
		a.Deadline = time.Hour
		d.Handle(now, "a", a)
	}
	for i := range waitingLetters {
		a := ask(fmt.Sprintf("wait-%d", i), "letter")
		a.Deadline, a.Organisation = time.Hour, fmt.Sprintf("o%d", i%940)
		d.Handle(now, "a", a)
	}
	last := ""
	for id := range d.State().Granted {
		if strings.HasPrefix(id, "wait") {
			last = id
		}
	}
	b.ReportAllocs()
	attempt := uint64(1)
	for b.Loop() {
		attempt++
		a := ask(checkIDs[attempt%2], "check")
		a.Attempt = attempt
		d.Handle(now, "a", a)
		d.Handle(now, "a", messenger.Done{Request: last, Attempt: attempt, Tokens: 20, First: time.Millisecond})
		last = a.Request
	}
}

// checkIDs are two requests that alternate on one place.
var checkIDs = []string{"check-0", "check-1"}

func cycleBaseline(b *testing.B, workers int) {
	t := &baseline{slots: map[string]int{}, grants: map[string]string{}}
	for i := range workers {
		t.slots[fmt.Sprintf("w%d", i)] = 8
	}
	for i := range workers*8 - 1 {
		t.grants[fmt.Sprintf("held-%d", i)] = fmt.Sprintf("w%d", i/8)
	}
	for i := range waitingLetters {
		t.queue = append(t.queue, messenger.Ask{Request: fmt.Sprintf("wait-%d", i), Deadline: time.Hour})
	}
	last := "full"
	t.grants[last] = fmt.Sprintf("w%d", workers-1)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		id := checkIDs[n%2]
		t.ask(messenger.Ask{Request: id, Deadline: time.Second})
		t.done(last)
		last = id
	}
}

// BenchmarkTick measures one tick of a cell whose places are all in use.
func BenchmarkTick(b *testing.B) {
	for _, workers := range cellSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d := warmedUp(workers)
			for i := range workers * 8 {
				d.Handle(ready, "a", ask(fmt.Sprintf("held-%d", i), "check"))
			}
			b.ReportAllocs()
			for b.Loop() {
				d.Tick(ready)
			}
		})
	}
}
