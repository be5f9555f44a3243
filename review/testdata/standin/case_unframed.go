package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["unframed"] = unframed }

// unframed releases half of the workers of the engine service, one after the other, while a
// twentieth of their answers has no length and ends with its connection.
func unframed(w *fleet, o options) int {
	const (
		rate   = 38.6 // quay-chat requests a second
		events = 212  // of each stream: the largest
		tokens = "628,848"
	)
	w.configure(wodnikConfiguration())
	var mu sync.Mutex
	cut := map[string]string{} // what a worker's exit cut, by attempt
	lines := func(worker, line string) {
		if rest, ok := strings.CutPrefix(line, "cut "); ok {
			id, made, _ := strings.Cut(rest, " ")
			mu.Lock()
			cut[id] = worker + " after event " + made
			mu.Unlock()
		}
	}
	start := func(i int) (*process, error) {
		return w.startWorker(lmService, wodnik.zones[i%len(wodnik.zones)], 96, lines, "-event", "30ms")
	}
	var workers []*process
	for i := range 12 {
		p, err := start(i)
		if err != nil {
			return w.fail(err)
		}
		workers = append(workers, p)
	}
	if err := w.startHosts(8, wodnik); err != nil {
		return w.fail(err)
	}
	done := make(chan struct{})
	defer close(done)
	go w.balance(done)
	time.Sleep(2 * time.Second)

	var tasks sync.WaitGroup
	var attempts []*attempt
	tasks.Go(func() {
		var calls sync.WaitGroup
		every(rate, 20*time.Second, func() {
			calls.Add(1)
			defer calls.Done()
			a := w.call(w.pick(), "POST", "/pufi791/2f", 15*time.Second, strings.NewReader(strings.Repeat("p", 1700)), map[string]string{
				"Model": "m", "Token-Usage": tokens, "Prompt-Prefix": "5c1e07a2:119,91bd3f06:79",
			})
			mu.Lock()
			attempts = append(attempts, a)
			mu.Unlock()
		})
		calls.Wait()
	})
	if o.trouble {
		time.Sleep(5 * time.Second)
		half := workers[:6]
		unframe := func(share float64) {
			w.record.add("driver: %v of the answers of half of the workers have no length", share)
			for _, p := range half {
				p.order("unframed %v", share)
			}
		}
		tasks.Go(func() {
			unframe(0.05)
			time.Sleep(5 * time.Second)
			unframe(0)
		})
		time.Sleep(2 * time.Second)
		for i, p := range half {
			if _, err := start(i); err != nil {
				return w.fail(err)
			}
			w.record.add("driver: worker %s is replaced", p.name)
			p.order("drain 1500ms")
			time.Sleep(time.Second)
		}
	}
	tasks.Wait()

	broken, whole, refused, failed := 0, 0, 0, 0
	for _, a := range attempts {
		inOrder := true
		for i, n := range a.events {
			inOrder = inOrder && n == i+1
		}
		switch {
		case a.status != 200 && a.status != 0 && a.err == nil:
			refused++
		case a.err != nil:
			failed++
		case !inOrder || len(a.events) != events:
			broken++
			w.record.add("BROKEN: %s from %s ended in order with %d of %d events; its worker was %s", a.id, a.host, len(a.events), events, cut[a.id])
		default:
			whole++
		}
	}
	if whole < len(attempts)/2 || len(attempts) == 0 {
		return w.verdict(0, "only %d of %d streams were whole: no valid run", whole, len(attempts)) + 2
	}
	return w.verdict(broken, "%d streams: %d whole, %d refused or failed by status, %d broken off, %d ended as complete before their last event", len(attempts), whole, refused, failed, broken)
}
