package main

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["removed"] = removed }

// removed takes workers away whose entries are removed without a word that they drain, while the
// watches of the store that wait at that moment are cut off once.
func removed(w *fleet, o options) int {
	const (
		rate  = 140.0
		drain = 2000 * time.Millisecond // drainMs
	)
	w.configure(wodnikConfiguration())
	var mu sync.Mutex
	accepted := map[string]int64{} // when the store accepted the removal, by worker
	late := 0
	latest := map[string]time.Duration{}
	lines := func(worker, line string) {
		f := strings.Fields(line)
		mu.Lock()
		defer mu.Unlock()
		switch f[0] {
		case "accepted":
			accepted[worker], _ = strconv.ParseInt(f[2], 10, 64)
		case "arrived":
			at, _ := strconv.ParseInt(f[2], 10, 64)
			since, ok := accepted[worker]
			if !ok {
				return
			}
			after := time.Duration(at-since) * time.Microsecond
			latest[worker] = max(latest[worker], after)
			if after > drain {
				late++
				w.record.add("BROKEN: %s reaches %s %v after the store had accepted that it is gone", f[1], worker, after)
			}
		}
	}
	start := func(i int) (*process, error) {
		return w.startWorker(appService, wodnik.zones[i%len(wodnik.zones)], 6, lines, "-work", "20ms")
	}
	var workers []*process
	for i := range 8 {
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
	time.Sleep(3 * time.Second)
	var tasks sync.WaitGroup
	answers := map[string]int{}
	tasks.Go(func() {
		var calls sync.WaitGroup
		every(rate, 26*time.Second, func() {
			calls.Add(1)
			defer calls.Done()
			a := w.call(w.pick(), "POST", "/pule252/2f", 3*time.Second, strings.NewReader(strings.Repeat("p", 600)), nil)
			mu.Lock()
			defer mu.Unlock()
			answers[strconv.Itoa(a.status)]++
		})
		calls.Wait()
	})
	time.Sleep(3 * time.Second)
	for i, p := range workers[:4] {
		if o.trouble {
			n := w.cuts.cut("/objects/servers", 30*time.Millisecond)
			w.record.add("driver: %d watches cut off", n)
		}
		w.record.add("driver: worker %s leaves", p.name)
		p.order("remove 1500ms")
		time.Sleep(4500 * time.Millisecond)
		if _, err := start(i); err != nil {
			return w.fail(err)
		}
		time.Sleep(time.Second)
	}
	tasks.Wait()
	for worker, d := range latest {
		w.record.add("last request reached %s %v after the store had accepted", worker, d)
	}
	return w.verdict(late, "%d requests reached a worker later than drainMs after the store had accepted that it is gone; answers: %v", late, answers)
}
