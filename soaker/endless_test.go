package soaker_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
)

const (
	// hostMemoryMB is the memory of a host in this run, in MiB, of which it may take half.
	hostMemoryMB = 128
	// endlessInterval is the time between two changes of what has no end.
	endlessInterval = 500 * time.Millisecond
)

// residentKB returns the anonymous resident memory of the host's process in KiB; 0 if it has none.
func (h *host) residentKB() int {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // the process has ended
	}
	n := 0
	if _, after, ok := strings.Cut(string(text), "RssAnon:"); ok {
		_, _ = fmt.Sscan(after, &n)
	}
	return n
}

const (
	// minExchanges is more than the requests that each run must have made.
	minExchanges = 220
	// maxEndlessTimes is the number of times for which a slow machine may go on to make them.
	maxEndlessTimes = 5
)

// exchangeCount returns the number of requests made so far.
func (c *cluster) exchangeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.exchanges)
}

// watchMemory returns a function that ends the watch and returns the most that a host took, in KiB.
func (c *cluster) watchMemory() (stop func() int) {
	done := make(chan struct{})
	most := 0
	var task sync.WaitGroup
	task.Go(func() {
		for {
			for _, h := range c.hosts {
				most = max(most, h.residentKB())
			}
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	return func() int {
		close(done)
		task.Wait()
		return most
	}
}

// answerEndlessly has two of three workers of each service answer without an end, others and another
// part of their answers each time, until the duration has passed and enough requests were made.
func (c *cluster) answerEndlessly(random *rand.Rand, d time.Duration) {
	started := time.Now()
	for ; time.Since(started) < d || c.exchangeCount() <= minExchanges && time.Since(started) < maxEndlessTimes*d; time.Sleep(endlessInterval) {
		sound := random.IntN(len(c.workers) / 2)
		for i, x := range c.workers {
			f := faker.WorkerFaults{}
			if i/2 != sound {
				f.Endless = faker.EndlessParts[random.IntN(len(faker.EndlessParts))]
			}
			x.SetFaults(f)
		}
	}
	for _, x := range c.workers {
		x.SetFaults(faker.WorkerFaults{})
	}
}

// Guards against a host that is killed for its memory because workers' answers have no end.
var _ = Describe("A run in which workers' answers have no end", func() {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		It("keeps hosts within half of their memory, and each answer whole, seed "+itoa(seed), func() {
			c := newClusterOf(clusterConfig{seed: seed, repeatSlack: defaultRepeatSlack, memoryMB: hostMemoryMB})
			random := rand.New(rand.NewPCG(seed, 11))
			stopWatch := c.watchMemory()
			stopCallers := c.startCallers()
			time.Sleep(time.Second)
			c.answerEndlessly(random, *faultTime)
			stopCallers()
			c.checkAll()
			most := stopWatch()
			AddReportEntry("memory", fmt.Sprintf("seed %d: %d KiB at most", seed, most))
			Expect(most).To(BeNumerically("<", hostMemoryMB<<10/2))
			Expect(most).To(BeNumerically(">", 0))
		})
	}
})
