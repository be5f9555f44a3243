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

// thin is the baseline: one sorted queue, places counted anew for each grant.
type thin struct {
	slots  map[string]int
	queue  []messenger.Ask
	grants map[string]string
}

func (t *thin) ask(a messenger.Ask) {
	i, _ := slices.BinarySearchFunc(t.queue, a, func(x, y messenger.Ask) int {
		return cmp.Or(cmp.Compare(x.Deadline, y.Deadline), cmp.Compare(x.Request, y.Request))
	})
	t.queue = slices.Insert(t.queue, i, a)
	t.fill()
}

func (t *thin) done(request string) {
	t.queue = slices.DeleteFunc(t.queue, func(a messenger.Ask) bool { return a.Request == request })
	delete(t.grants, request)
	t.fill()
}

func (t *thin) fill() {
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

// waitingInBench is how many letters wait while the measured requests come and go.
const waitingInBench = 2000

// sizes are workers in a cell, of 8 slots.
var sizes = []int{6, 100, 830}

// BenchmarkCycle is one ask, grant and done of a check with the queue full of
// letters and all but one place in use.
func BenchmarkCycle(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprintf("ours/workers=%d", workers), func(b *testing.B) { cycleOurs(b, workers) })
		b.Run(fmt.Sprintf("thin/workers=%d", workers), func(b *testing.B) { cycleThin(b, workers) })
	}
}

// taught is a dispatcher whose breaker and estimator know every worker.
func taught(workers int) *dispatcher.Dispatcher {
	const rounds = 6 // enough for the breaker to compare
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

func cycleOurs(b *testing.B, workers int) {
	d := taught(workers)
	now := ready
	for i := range workers*8 - 1 {
		a := ask(fmt.Sprintf("held-%d", i), "summary")
		a.Deadline = time.Hour
		d.Handle(now, "a", a)
	}
	for i := range waitingInBench {
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

// checkIDs are two requests that follow each other on one place.
var checkIDs = []string{"check-0", "check-1"}

func cycleThin(b *testing.B, workers int) {
	t := &thin{slots: map[string]int{}, grants: map[string]string{}}
	for i := range workers {
		t.slots[fmt.Sprintf("w%d", i)] = 8
	}
	for i := range workers*8 - 1 {
		t.grants[fmt.Sprintf("held-%d", i)] = fmt.Sprintf("w%d", i/8)
	}
	for i := range waitingInBench {
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

// BenchmarkTick is one look through a cell whose places are all in use.
func BenchmarkTick(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d := taught(workers)
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
