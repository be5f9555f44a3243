package soaker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/platform"
)

// fault is one kind of trouble: it begins, and returns how it ends.
type fault struct {
	name  string
	begin func(*world, *rand.Rand) (end func())
}

var kinds = []fault{
	{"kill a host", onHost(func(h *host) func() {
		h.kill()
		return h.start
	})},
	{"freeze a host", onHost(func(h *host) func() {
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT) }
	})},
	{"roll a host", onHost(func(h *host) func() {
		h.signal(syscall.SIGHUP)
		h.signal(syscall.SIGTERM)
		time.Sleep(20 * time.Millisecond)
		h.signal(syscall.SIGHUP) // while it drains
		return func() {
			Eventually(h.ended, patience).Should(BeClosed(), "%s after SIGTERM", h.name)
			h.start()
		}
	})},
	{"reload all hosts", func(w *world, _ *rand.Rand) func() {
		for _, h := range w.hosts {
			if h.isOpen() { // a process of a few milliseconds dies of it, whatever it does
				h.signal(syscall.SIGHUP)
			}
		}
		return func() {}
	}},
	{"a host's way to the store", func(w *world, r *rand.Rand) func() {
		h := w.anyHost(r)
		return bad(r, h.store, h.away)
	}},
	{"half the hosts' ways to the store", func(w *world, r *rand.Rand) func() {
		var ends []func()
		for _, h := range w.hosts[:*hosts/2] {
			ends = append(ends, bad(r, h.store, h.away))
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}},
	{"the store is down", func(w *world, _ *rand.Rand) func() { return w.storeFault(faker.Faults{Down: true}) }},
	{"the store is slow", func(w *world, _ *rand.Rand) func() { return w.storeFault(faker.Faults{Delay: 300 * time.Millisecond}) }},
	{"the store comes back from an older copy", func(w *world, r *rand.Rand) func() {
		end := w.storeFault(faker.Faults{Down: true})
		age := min(between(r, 1000, 20_000), time.Since(w.begun))
		again := between(r, 0, 1500)
		return func() {
			w.store.Restore(age, again)
			end()
			time.Sleep(again) // a host that has just started knows no better than the copy
		}
	}},
	{"the store forgets its history", func(w *world, _ *rand.Rand) func() {
		w.store.DropHistory()
		return w.store.DropHistory
	}},
	{"a worker's way", func(w *world, r *rand.Rand) func() { return bad(r, w.anyWorker(r).link, func() {}) }},
	{"a worker does wrong", func(w *world, r *rand.Rand) func() {
		x := w.anyWorker(r)
		flaws := []faker.WorkerFaults{{Reject: true}, {BreakConnection: true}, {NeverAnswer: true}, {Unsealed: true}, {AnswerError: true}, {CutAtEvent: 3}, {ExtraAnswer: true}}
		x.SetFaults(flaws[r.IntN(len(flaws))])
		return func() { x.SetFaults(faker.WorkerFaults{}) }
	}},
	{"a worker crashes, and is back under its id", func(w *world, r *rand.Rand) func() {
		x := w.anyWorker(r)
		x.end()
		return func() {
			w.begin(&faker.Worker{ID: x.ID, Service: x.Service, Slots: x.Slots, Events: x.Events, Delay: x.Delay, Incarnation: x.Incarnation + 1})
		}
	}},
	{"a worker names a limit", func(w *world, r *rand.Rand) func() { return w.limit(r) }},
	{"a worker leaves", func(w *world, r *rand.Rand) func() {
		x := w.anyWorker(r)
		x.Register(w.store, platform.StateDraining)
		return func() { x.Register(w.store, platform.StateReady) }
	}},
	{"a malformed entry", func(w *world, _ *rand.Rand) func() {
		w.store.Put("servers", "x-1", map[string]any{"service": "desk", "slots": "many"})
		return func() { w.store.Delete("servers", "x-1") }
	}},
	{"a key is renewed", func(w *world, _ *rand.Rand) func() {
		old := w.renew()
		return func() { w.revoke(old) }
	}},
}

// onHost is trouble with a host's process, which has one at a time.
func onHost(begin func(*host) (end func())) func(*world, *rand.Rand) func() {
	return func(w *world, r *rand.Rand) func() {
		h := w.anyHost(r)
		h.process.Lock()
		end := begin(h)
		return func() {
			end()
			h.process.Unlock()
		}
	}
}

// bad makes a link do wrong, and returns how it is mended; touch is told at both ends.
func bad(r *rand.Rand, l *faker.Link, touch func()) func() {
	modes := []faker.LinkMode{faker.Cut, faker.SilenceOpen, faker.ForwardOnly, faker.BackwardOnly}
	touch()
	l.Set(modes[r.IntN(len(modes))], 0)
	return func() {
		// What is silent stays silent: only what opens later works.
		touch()
		l.Set(faker.Pass, 0)
	}
}

func (w *world) anyHost(r *rand.Rand) *host { return w.hosts[r.IntN(*hosts)] }

func (w *world) anyWorker(r *rand.Rand) *worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	living := slices.DeleteFunc(slices.Clone(w.workers), func(x *worker) bool { return x.dead })
	return living[r.IntN(len(living))]
}

func (w *world) storeFault(f faker.Faults) func() {
	away := func() {
		for _, h := range w.hosts {
			h.away()
		}
	}
	away()
	w.store.SetFaults(f)
	return func() {
		away()
		w.store.SetFaults(faker.Faults{})
	}
}

// renew adds a key to the configuration and returns the one that is to go.
func (w *world) renew() string {
	w.mu.Lock()
	old := w.keys[len(w.keys)-1]
	w.keys = append(w.keys, fmt.Sprintf("key-%d", w.version))
	w.mu.Unlock()
	w.configure()
	return old
}

// revoke takes a key out of the configuration.
func (w *world) revoke(key string) {
	w.mu.Lock()
	w.keys = slices.DeleteFunc(slices.Clone(w.keys), func(k string) bool { return k == key })
	w.mu.Unlock()
	at := w.configure()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revoked[key] = at
}

// trouble has faults come and go for a time. One of a kind lasts at a time; up to
// three last together.
func (w *world) trouble(length time.Duration) {
	until := time.Now().Add(length)
	var lasting sync.WaitGroup
	busy := make(chan struct{}, 3)
	var mu sync.Mutex
	under := map[int]bool{}
	for time.Now().Before(until) {
		i, seed := w.r.IntN(len(kinds)), w.r.Uint64()
		wait, last := between(w.r, 100, 700), between(w.r, 200, 2000)
		mu.Lock()
		taken := under[i]
		under[i] = true
		mu.Unlock()
		if taken {
			continue
		}
		busy <- struct{}{}
		w.faults = append(w.faults, kinds[i].name)
		lasting.Go(func() {
			end := kinds[i].begin(w, rand.New(rand.NewPCG(seed, 3)))
			time.Sleep(last)
			end()
			mu.Lock()
			under[i] = false
			mu.Unlock()
			<-busy
		})
		time.Sleep(wait)
	}
	lasting.Wait()
}

func between(r *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+r.IntN(most-least)) * time.Millisecond
}
