package soaker_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/platform"
)

const (
	// endingInterval is the time between the ends of two workers.
	endingInterval = 400 * time.Millisecond
	// hangTime is how long the kernel accepts connections for a process that has ended.
	hangTime = 100 * time.Millisecond
)

// endWorkers ends one engine after the other and starts another in its place, until the duration has
// passed: some have reported before that they leave, and all have answers under way.
func (c *cluster) endWorkers(random *rand.Rand, d time.Duration) int {
	ended := 0
	for end := time.Now().Add(d); time.Now().Before(end); ended++ {
		x := c.anyWorker(random)
		if x.Service != "engine" {
			continue
		}
		if random.IntN(2) == 0 {
			x.Register(c.store, platform.StateDraining)
			time.Sleep(randomDuration(random, 0, 300))
		}
		x.Hang()
		time.Sleep(hangTime)
		c.stopWorker(x)
		c.store.Delete("servers", x.ID)
		next := &faker.Worker{ID: fmt.Sprintf("%s-%d", x.ID[:3], ended), Service: x.Service, Slots: x.Slots, Events: x.Events, Delay: x.Delay}
		c.startWorker(next)
		next.SetFaults(faker.WorkerFaults{Unframed: true})
		time.Sleep(endingInterval)
	}
	return ended
}

// Guards against half an answer given as whole because its worker ended as it was under way.
var _ = Describe("A run in which workers end while answers without a length are under way", func() {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		It("gives no caller half an answer as whole, seed "+itoa(seed), func() {
			c := newCluster(seed)
			for _, x := range c.workers {
				x.SetFaults(faker.WorkerFaults{Unframed: true})
			}
			stopCallers := c.startCallers()
			ended := c.endWorkers(rand.New(rand.NewPCG(seed, 12)), *faultTime)
			stopCallers()
			c.checkAll()
			AddReportEntry("ended", fmt.Sprintf("seed %d: %d workers", seed, ended))
			Expect(ended).To(BeNumerically(">", 4))
		})
	}
})
