package main

import (
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["roll"] = roll }

// roll stops hosts with SIGTERM in turn and starts them again.
func roll(w *fleet, o options) int {
	w.configure(wodnikConfiguration())
	lines := func(string, string) {}
	for i := range 8 {
		if _, err := w.startWorker(appService, wodnik.zones[i%4], 6, lines, "-work", "60ms"); err != nil {
			return w.fail(err)
		}
		if _, err := w.startWorker(lmService, wodnik.zones[i%4], 96, lines, "-event", "25ms"); err != nil {
			return w.fail(err)
		}
	}
	if err := w.startHosts(8, wodnik); err != nil {
		return w.fail(err)
	}
	done := make(chan struct{})
	defer close(done)
	go w.balance(done)
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var tasks sync.WaitGroup
	answers := map[string]int{}
	bad := 0
	note := func(a *attempt) {
		mu.Lock()
		defer mu.Unlock()
		end := ""
		if a.err != nil {
			end = " broken"
			if a.status == 0 {
				end = " " + a.err.Error()
			}
			w.record.add("BAD %s %s %v after %v", a.id, a.host, a.err, a.took)
			bad++
		}
		if i := strings.Index(end, "read tcp"); i > 0 {
			end = " read"
		}
		answers[strconv.Itoa(a.status)+end]++
	}
	load := func(rate float64, call func() *attempt) {
		tasks.Go(func() {
			var calls sync.WaitGroup
			every(rate, 40*time.Second, func() {
				calls.Add(1)
				defer calls.Done()
				note(call())
			})
			calls.Wait()
		})
	}
	load(50, func() *attempt {
		return w.call(w.pick(), "POST", "/pule252/2f", 3*time.Second, strings.NewReader(strings.Repeat("p", 600)), nil)
	})
	load(30, func() *attempt { return w.call(w.pick(), "GET", "/puxa403/2f", 3*time.Second, nil, nil) })
	load(20, func() *attempt {
		return w.call(w.pick(), "POST", "/pufi791/2f", 15*time.Second, strings.NewReader(strings.Repeat("p", 1700)), map[string]string{
			"Model": "m", "Token-Usage": "628,292", "Prompt-Prefix": "5c1e07a2:119,91bd3f06:79",
		})
	})
	time.Sleep(3 * time.Second)
	for i := range w.hosts {
		h := w.hosts[i]
		name := h.name
		w.record.add("driver: %s gets SIGTERM", name)
		_ = h.cmd.Process.Signal(syscall.SIGTERM)
		<-h.done
		w.record.add("driver: %s ended", name)
		if err := w.startHost(h, name); err != nil {
			return w.fail(err)
		}
	}
	tasks.Wait()
	return w.verdict(bad, "%d bad; answers: %v", bad, answers)
}
