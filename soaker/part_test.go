package soaker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/platform"
)

const (
	// badPart in a prompt crashes the worker that answers it.
	badPart = "bad"
	// maxPartCrashes is the number of workers that a part may crash, and maxLateSends how often
	// hosts may still send it later than undisturbedTime after the last of these crashes.
	maxPartCrashes, maxLateSends = 5, 3
	// partCalmTime is how long the part comes on after the last fault has ended. Sound requests are
	// judged once all hosts are undisturbed.
	partCalmTime = undisturbedTime + 3*time.Second
)

// partFaults are the faults of a run with a bad part. They overlap.
var partFaults = []fault{
	faultNamed("kill a host"), faultNamed("freeze a host"), faultNamed("take the store down"), faultNamed("fail a host's link to the store"),
	faultNamed("drop the store's watch history"), faultNamed("restore the store from an older snapshot"),
	{"kill all hosts", func(c *cluster, _ *rand.Rand) func() {
		for _, h := range c.hosts {
			h.processMu.Lock()
			h.kill()
		}
		return func() {
			for _, h := range c.hosts {
				h.start()
				h.processMu.Unlock()
			}
		}
	}},
	{"have all workers answer without a length", func(c *cluster, _ *rand.Rand) func() {
		set := func(f faker.WorkerFaults) {
			c.mu.Lock()
			defer c.mu.Unlock()
			for _, x := range c.workers {
				x.SetFaults(f)
			}
		}
		set(faker.WorkerFaults{Unframed: true})
		return func() { set(faker.WorkerFaults{}) }
	}},
}

func faultNamed(name string) fault {
	for _, f := range faultKinds {
		if f.name == name {
			return f
		}
	}
	panic("no fault is named " + name)
}

// sendParts sends a request whose prompt has parts.
func sendParts(h *host, id, route, parts string) exchange {
	undisturbed := h.undisturbedSince(time.Now().Add(-undisturbedTime))
	e := send(h, id, route, "key-0", id, id, platform.HeaderTokens, "150,5", platform.HeaderPromptParts, parts)
	e.undisturbed = undisturbed
	return e
}

// startParts sends sound requests, and ones with the bad part at a random place, no two alike, until
// stop is called. For a time most of them go to one host, which changes.
func (c *cluster) startParts() (stop func() (bad, sound []exchange)) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var bad, sound []exchange
	var tasks sync.WaitGroup
	run := func(stream uint64, interval time.Duration, list *[]exchange, parts func(r *rand.Rand, n int) string) {
		r := rand.New(rand.NewPCG(c.seed, stream))
		tasks.Go(func() {
			ticks := time.Tick(interval)
			for n := 0; ctx.Err() == nil; n++ {
				h := c.hosts[r.IntN(*hostCount)]
				if crowded := c.hosts[time.Now().Unix()/3%int64(*hostCount)]; r.IntN(10) < 7 && crowded.isReady() {
					h = crowded
				}
				id, route, prompt := fmt.Sprintf("part-%d-%d", stream, n), []string{"chat", "plan"}[r.IntN(2)], parts(r, n)
				if h.isReady() {
					tasks.Go(func() {
						e := sendParts(h, id, route, prompt)
						mu.Lock()
						defer mu.Unlock()
						*list = append(*list, e)
					})
				}
				<-ticks
			}
		})
	}
	run(41, 60*time.Millisecond, &bad, func(r *rand.Rand, n int) string {
		format := []string{"bad:50,s:60,t:40,x%d:9", "s:60,bad:50,t:40,x%d:9", "s:60,t:40,bad:50,x%d:9"}[r.IntN(3)]
		return fmt.Sprintf(format, n)
	})
	run(42, 30*time.Millisecond, &sound, func(_ *rand.Rand, n int) string { return fmt.Sprintf("s:60,t:40,y%d:9", n) })
	return func() ([]exchange, []exchange) {
		cancel()
		tasks.Wait()
		c.restarts.Wait()
		return bad, sound
	}
}

// lateBadSends returns how often undisturbed hosts sent requests with the bad part to workers, later
// than undisturbedTime after it had crashed maxPartCrashes of them.
func (c *cluster) lateBadSends(bad []exchange) int {
	if len(c.crashes) < maxPartCrashes {
		return 0
	}
	n := 0
	for _, e := range bad {
		if e.undisturbed && e.sentAt.After(c.crashes[maxPartCrashes-1].Add(undisturbedTime)) {
			n += c.runCount(e.id)
		}
	}
	return n
}

var _ = Describe("A run in which a part of prompts crashes workers", func() {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + 7000 + i
		// Guards against crashes without end beside hosts that fail, start again all at once, or can't
		// reach the store, and against sound requests that are lost with it.
		It("holds it back and serves the others, seed "+itoa(seed), func() {
			c := newCluster(seed)
			stopPolling := c.pollAll()
			stop := c.startParts()
			c.runSomeFaults(partFaults, *faultTime)
			faultsEnded := time.Now()
			time.Sleep(partCalmTime)
			calmEnded := time.Now()
			bad, sound := stop()
			stopPolling()
			late := c.lateBadSends(bad)
			served, of, wrong := 0, 0, 0
			for _, e := range sound {
				if e.sentAt.After(faultsEnded.Add(undisturbedTime)) && e.sentAt.Before(calmEnded) {
					of++
					if e.status == http.StatusOK && e.err == nil {
						served++
					}
				}
			}
			for _, e := range append(bad, sound...) {
				if e.status == http.StatusOK && e.err == nil && !isOwnAnswer(exchange{route: "chat", body: e.body}) || e.status == http.StatusServiceUnavailable && c.runCount(e.id) > 0 {
					wrong++
				}
			}
			AddReportEntry("part", fmt.Sprintf("seed %d: %d crashes, %d late of %d, sound %d of %d after %v", seed, len(c.crashes), late, len(bad), served, of, c.faults))
			Expect(c.crashes).NotTo(BeEmpty())
			Expect(late).To(BeNumerically("<=", maxLateSends), "after %v", c.faults)
			Expect(of).To(BeNumerically(">=", 20))
			Expect(served).To(BeNumerically(">=", of/2), "after %v", c.faults)
			Expect(wrong).To(BeZero(), "answers that are not whole, or run though the status means that they were not")
		})
	}
})

// pollAll polls the readiness of all hosts until the returned function is called.
func (c *cluster) pollAll() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for _, h := range c.hosts {
		tasks.Go(func() {
			for ctx.Err() == nil {
				h.pollReady()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		tasks.Wait()
	}
}
