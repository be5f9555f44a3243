package soaker_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/prover"
)

const (
	// lateWindow, lateSlack, lateCallers and latePause make a run in which most repeats are paid from the
	// slack, and callers don't wait for one another.
	lateWindow  = 2 * time.Second
	lateSlack   = 40
	lateCallers = 150
	latePause   = 1500 * time.Millisecond
	// settleTime is the time after which hosts have their parts of the slack.
	settleTime = lateWindow + 6*time.Second
)

// stallWorkers gives all workers no processor time again and again, each time for longer than the window.
func (c *cluster) stallWorkers(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(randomDuration(random, 100, 600))
		d := lateWindow + randomDuration(random, 200, 2000)
		for _, x := range c.workers {
			x.Silence(d)
		}
		time.Sleep(d)
	}
}

// Guards against repeats that are counted when they are granted, and arrive when their workers run again.
var _ = Describe("A run in which workers stall beside workers that refuse", func() {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		It("keeps the repeats that arrive within the budget, seed "+itoa(seed), Label(prover.Cell(prover.Sent, prover.LateArrival)), func() {
			c := newClusterOf(clusterConfig{seed: seed, repeatSlack: lateSlack, repeatWindow: lateWindow, callers: lateCallers, callPause: latePause})
			stopCallers := c.startCallers()
			time.Sleep(settleTime)
			stopRejecting := c.rejectInTurn(rand.New(rand.NewPCG(seed, 10)))
			c.stallWorkers(rand.New(rand.NewPCG(seed, 9)), time.Now().Add(*faultTime))
			stopRejecting()
			stopCallers()
			Expect(c.repeatsOverBudget()).To(BeEmpty())
			requests, repeats := c.repeatCounts()["desk"].Total()
			Expect(repeats).To(BeNumerically(">", requests/100), "of %d requests", requests)
		})
	}
})
