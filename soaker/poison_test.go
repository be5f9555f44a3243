package soaker_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/cicadawood/cicadawood/faker"
)

const (
	// poison in a request body crashes the worker that runs the request.
	poison = "poison"
	// undisturbedTime is the time after a disturbance from which a host must act on what
	// the other hosts know.
	undisturbedTime = 3 * time.Second
	// maxCrashes is the number of workers that a request may crash; maxLateRuns is how often
	// it may still run later than undisturbedTime after the last of these crashes.
	maxCrashes, maxLateRuns = 3, 3
)

// startPoison sends the same crashing request through random hosts until stop is called,
// also during other faults. Each worker that it crashes restarts under a new ID.
func (c *cluster) startPoison() (stop func()) {
	r := rand.New(rand.NewPCG(c.seed, 5))
	route := []string{"chat", "plan", "hold", "quote"}[c.seed%4]
	done := make(chan struct{})
	var caller sync.WaitGroup
	caller.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(40 * time.Millisecond):
			}
			e := send(c.anyHost(r), fmt.Sprintf("poison-%d", n), route, "key-0", poison, poison)
			c.record(e)
			c.mu.Lock()
			c.poisonExchanges = append(c.poisonExchanges, e)
			c.mu.Unlock()
		}
	})
	return func() {
		close(done)
		caller.Wait()
		c.restarts.Wait()
	}
}

// workerCrashed records that the poison crashed a worker, and restarts it under a new ID.
func (c *cluster) workerCrashed(x *worker) {
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	n := len(c.crashes)
	x.stopped = true
	c.mu.Unlock()
	c.restarts.Go(func() {
		time.Sleep(500 * time.Millisecond)
		c.store.Delete("servers", x.ID)
		c.startWorker(&faker.Worker{ID: fmt.Sprintf("%s.%d", x.ID, n), Service: x.Service, Slots: x.Slots, Events: x.Events, Delay: x.Delay})
	})
}

// latePoisonRuns returns how often the poison ran after all undisturbed hosts must have
// quarantined it.
func (c *cluster) latePoisonRuns() int {
	if len(c.crashes) < maxCrashes {
		return 0
	}
	runs := 0
	for _, e := range c.poisonExchanges {
		if e.undisturbed && e.sentAt.After(c.crashes[maxCrashes-1].Add(undisturbedTime)) {
			runs += c.runCount(e.id)
		}
	}
	AddReportEntry("poison", fmt.Sprintf("%d crashes, %d requests, %d late runs", len(c.crashes), len(c.poisonExchanges), runs))
	return runs
}
