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

// fault is a kind of fault: start injects it and returns the function that ends it.
type fault struct {
	name  string
	start func(*cluster, *rand.Rand) (end func())
}

var faultKinds = []fault{
	{"kill a host", hostFault(func(h *host) func() {
		h.kill()
		return h.start
	})},
	{"freeze a host", hostFault(func(h *host) func() {
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT) }
	})},
	{"reload a host and stop it gracefully", hostFault(func(h *host) func() {
		h.signal(syscall.SIGHUP)
		h.signal(syscall.SIGTERM)
		time.Sleep(20 * time.Millisecond)
		h.signal(syscall.SIGHUP) // while it drains
		return func() {
			Eventually(h.exited, waitTimeout).Should(BeClosed(), "%s after SIGTERM", h.name)
			h.start()
		}
	})},
	{"reload all hosts", func(c *cluster, _ *rand.Rand) func() {
		for _, h := range c.hosts {
			if h.isReady() { // before it has installed its handler, a process is terminated by SIGHUP
				h.signal(syscall.SIGHUP)
			}
		}
		return func() {}
	}},
	{"fail a host's link to the store", func(c *cluster, r *rand.Rand) func() {
		h := c.anyHost(r)
		return linkFault(r, h.storeLink, h.markDisturbed)
	}},
	{"fail the links of half the hosts to the store", func(c *cluster, r *rand.Rand) func() {
		var stops []func()
		for _, h := range c.hosts[:*hostCount/2] {
			stops = append(stops, linkFault(r, h.storeLink, h.markDisturbed))
		}
		return func() {
			for _, stop := range stops {
				stop()
			}
		}
	}},
	{"take the store down", func(c *cluster, _ *rand.Rand) func() { return c.storeFault(faker.Faults{Down: true}) }},
	{"slow the store down", func(c *cluster, _ *rand.Rand) func() {
		return c.storeFault(faker.Faults{Delay: 300 * time.Millisecond})
	}},
	{"restore the store from an older snapshot", func(c *cluster, r *rand.Rand) func() {
		stop := c.storeFault(faker.Faults{Down: true})
		age := min(randomDuration(r, 1000, 20_000), time.Since(c.startedAt))
		rewriteDelay := randomDuration(r, 0, 1500)
		return func() {
			c.store.Restore(age, rewriteDelay)
			stop()
			// Until owners have written the lost entries again, a host that has just started
			// knows nothing newer than the snapshot.
			time.Sleep(rewriteDelay)
		}
	}},
	{"drop the store's watch history", func(c *cluster, _ *rand.Rand) func() {
		c.store.DropHistory()
		return c.store.DropHistory
	}},
	{"fail a worker's link", func(c *cluster, r *rand.Rand) func() { return linkFault(r, c.anyWorker(r).link, func() {}) }},
	{"make a worker misbehave", func(c *cluster, r *rand.Rand) func() {
		x := c.anyWorker(r)
		faults := []faker.WorkerFaults{{Reject: true}, {BreakConnection: true}, {NeverAnswer: true}, {Unsealed: true}, {AnswerError: true}, {CutAtEvent: 3}, {ExtraAnswer: true}}
		x.SetFaults(faults[r.IntN(len(faults))])
		return func() { x.SetFaults(faker.WorkerFaults{}) }
	}},
	{"crash a worker and restart it under its ID", func(c *cluster, r *rand.Rand) func() {
		x := c.anyWorker(r)
		if !c.stopWorker(x) {
			return func() {} // another fault has stopped it
		}
		return func() {
			c.startWorker(&faker.Worker{ID: x.ID, Service: x.Service, Slots: x.Slots, Events: x.Events, Delay: x.Delay, Incarnation: x.Incarnation + 1})
		}
	}},
	{"have a worker report a rate limit", func(c *cluster, r *rand.Rand) func() { return c.limitWorker(r) }},
	{"have a worker leave by its answers only", func(c *cluster, r *rand.Rand) func() { return c.leaveByAnswers(r) }},
	{"have a worker refuse with Retry-After", func(c *cluster, r *rand.Rand) func() { return c.refuseForATime(r) }},
	{"cut hosts from all workers", func(c *cluster, r *rand.Rand) func() { return c.cutHosts(r) }},
	{"have a worker be silent for a second", func(c *cluster, r *rand.Rand) func() { return c.silenceWorker(r) }},
	{"have a service's workers be brittle", func(c *cluster, r *rand.Rand) func() { return c.makeBrittle(r) }},
	{"drain a worker", func(c *cluster, r *rand.Rand) func() {
		x := c.anyWorker(r)
		x.Register(c.store, platform.StateDraining)
		return func() {
			if !c.isStopped(x) { // another process may be registered under its ID
				x.Register(c.store, platform.StateReady)
			}
		}
	}},
	{"register a malformed worker entry", func(c *cluster, _ *rand.Rand) func() {
		c.store.Put("servers", "x-1", map[string]any{"service": "desk", "slots": "many"})
		return func() { c.store.Delete("servers", "x-1") }
	}},
	{"register odd worker entries", func(c *cluster, r *rand.Rand) func() {
		kinds := []string{oddEntries[r.IntN(len(oddEntries))].name, oddEntries[r.IntN(len(oddEntries))].name}
		return c.putOddEntries(kinds...)
	}},
	{"replace an API key", func(c *cluster, _ *rand.Rand) func() {
		old := c.addKey()
		return func() { c.revokeKey(old) }
	}},
}

// hostFault injects a fault into the process of a random host. A process has at most
// one such fault at a time.
func hostFault(start func(*host) (end func())) func(*cluster, *rand.Rand) func() {
	return func(c *cluster, r *rand.Rand) func() {
		h := c.anyHost(r)
		h.processMu.Lock()
		stop := start(h)
		return func() {
			stop()
			h.processMu.Unlock()
		}
	}
}

// linkFault sets a link to a random failure mode and returns the function that repairs
// it. It calls notify at the start and at the end of the fault.
func linkFault(r *rand.Rand, l *faker.Link, notify func()) func() {
	modes := []faker.LinkMode{faker.Cut, faker.SilenceOpen, faker.ForwardOnly, faker.BackwardOnly}
	notify()
	l.Set(modes[r.IntN(len(modes))], 0)
	return func() {
		// Connections that were silenced stay silent: only connections opened later work.
		notify()
		l.Set(faker.Pass, 0)
	}
}

func (c *cluster) anyHost(r *rand.Rand) *host { return c.hosts[r.IntN(*hostCount)] }

// anyWorker returns a random worker that runs.
func (c *cluster) anyWorker(r *rand.Rand) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := slices.DeleteFunc(slices.Clone(c.workers), func(x *worker) bool { return x.stopped })
	return running[r.IntN(len(running))]
}

// storeFault injects faults into the store, which disturb all hosts, and returns the
// function that clears them.
func (c *cluster) storeFault(f faker.Faults) func() {
	markAll := func() {
		for _, h := range c.hosts {
			h.markDisturbed()
		}
	}
	markAll()
	c.store.SetFaults(f)
	return func() {
		markAll()
		c.store.SetFaults(faker.Faults{})
	}
}

// addKey adds a key to the configuration and returns the key to be revoked, which was
// the newest until now.
func (c *cluster) addKey() string {
	c.mu.Lock()
	old := c.keys[len(c.keys)-1]
	c.keys = append(c.keys, fmt.Sprintf("key-%d", c.configVersion))
	c.mu.Unlock()
	c.putConfig()
	return old
}

// revokeKey removes a key from the configuration.
func (c *cluster) revokeKey(key string) {
	c.mu.Lock()
	c.keys = slices.DeleteFunc(slices.Clone(c.keys), func(k string) bool { return k == key })
	c.mu.Unlock()
	revokedAt := c.putConfig()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revoked[key] = revokedAt
}

// runFaults injects random faults for a time: at most one of a kind and three in all
// are active together.
func (c *cluster) runFaults(length time.Duration) { c.runSomeFaults(faultKinds, length) }

// runSomeFaults is runFaults with some kinds only.
func (c *cluster) runSomeFaults(kinds []fault, length time.Duration) {
	deadline := time.Now().Add(length)
	var active sync.WaitGroup
	slots := make(chan struct{}, 3)
	var mu sync.Mutex
	activeKinds := map[int]bool{}
	for time.Now().Before(deadline) {
		i, seed := c.random.IntN(len(kinds)), c.random.Uint64()
		pause, duration := randomDuration(c.random, 100, 700), randomDuration(c.random, 200, 2000)
		mu.Lock()
		alreadyActive := activeKinds[i]
		activeKinds[i] = true
		mu.Unlock()
		if alreadyActive {
			continue
		}
		slots <- struct{}{}
		c.faults = append(c.faults, kinds[i].name)
		active.Go(func() {
			stop := kinds[i].start(c, rand.New(rand.NewPCG(seed, 3)))
			time.Sleep(duration)
			stop()
			mu.Lock()
			activeKinds[i] = false
			mu.Unlock()
			<-slots
		})
		time.Sleep(pause)
	}
	active.Wait()
}

// randomDuration returns a duration of at least minMs and less than maxMs milliseconds.
func randomDuration(r *rand.Rand, minMs, maxMs int) time.Duration {
	return time.Duration(minMs+r.IntN(maxMs-minMs)) * time.Millisecond
}
