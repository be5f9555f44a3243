package soaker_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
)

const (
	// The retry budget in the hosts' settings.
	repeatRatio         = 0.2
	defaultRepeatWindow = 10 * time.Second
	defaultRepeatSlack  = 100
	// killedRepeatSlack is the slack in a run of kills in series: large beside what requests allow.
	killedRepeatSlack = 300
	// killInterval is the time between two kills of all hosts but one.
	killInterval = 800 * time.Millisecond
	// Every rejectInterval each worker refuses all requests or, one time in rejectOneIn, none.
	rejectInterval = 200 * time.Millisecond
	rejectOneIn    = 6
)

// serviceOf returns the service of each route.
var serviceOf = map[string]string{"chat": "engine", "plan": "engine", "hold": "desk", "quote": "desk"}

// repeatCounts counts the requests for each service, and their arrivals at its workers.
func (c *cluster) repeatCounts() map[string]*faker.Repeats {
	counts := map[string]*faker.Repeats{"engine": {}, "desk": {}}
	for _, e := range slices.Concat(c.exchanges, c.poisonExchanges) {
		counts[serviceOf[e.route]].Requested(e.sentAt)
	}
	type arrived struct {
		at      time.Time
		request string
	}
	arrivals := map[string][]arrived{}
	for _, x := range c.workers {
		x.EachArrival(func(request string, at time.Time) {
			arrivals[x.Service] = append(arrivals[x.Service], arrived{at, request})
		})
	}
	for service, list := range arrivals {
		slices.SortFunc(list, func(a, b arrived) int { return a.at.Compare(b.at) })
		for _, a := range list {
			counts[service].Arrived(a.at, a.request)
		}
	}
	return counts
}

// repeatsOverBudget describes each service whose workers got more repeats in some window than all
// hosts together may send.
func (c *cluster) repeatsOverBudget() []string {
	var violations []string
	counts := c.repeatCounts()
	for _, service := range slices.Sorted(maps.Keys(counts)) {
		worst := counts[service].Worst(faker.RepeatLimit{Ratio: repeatRatio, Slack: c.repeatSlack, Window: c.repeatWindow})
		requests, repeats := counts[service].Total()
		AddReportEntry("repeats", fmt.Sprintf("seed %d, %s: %d of %d requests; in the worst window %d, %.1f allowed", c.seed, service, repeats, requests, worst.Repeats, worst.Allowed))
		if worst.Excess() > 0 {
			violations = append(violations, fmt.Sprintf("%s got %d repeats in %s, %.1f allowed", service, worst.Repeats, c.repeatWindow, worst.Allowed))
		}
	}
	return violations
}

// rejectInTurn has most of the workers refuse all requests, others each time, until
// the function returned is called.
func (c *cluster) rejectInTurn(random *rand.Rand) (stop func()) {
	done := make(chan struct{})
	var task sync.WaitGroup
	task.Go(func() {
		ticker := time.NewTicker(rejectInterval)
		defer ticker.Stop()
		for {
			for _, x := range c.workers {
				x.SetFaults(faker.WorkerFaults{Reject: random.IntN(rejectOneIn) > 0})
			}
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	})
	return func() {
		close(done)
		task.Wait()
		for _, x := range c.workers {
			x.SetFaults(faker.WorkerFaults{})
		}
	}
}

// Guards against a retry budget that each new process of a host spends once more.
var _ = Describe("A run in which hosts are killed in series beside workers that refuse", func() {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		It("keeps the repeats of all hosts within the budget, seed "+itoa(seed), func() {
			c := newClusterWithSlack(seed, killedRepeatSlack)
			random := rand.New(rand.NewPCG(seed, 9))
			stopCallers := c.startCallers()
			time.Sleep(c.repeatWindow)
			stopRejecting := c.rejectInTurn(rand.New(rand.NewPCG(seed, 10)))
			for end := time.Now().Add(*faultTime); time.Now().Before(end); {
				time.Sleep(killInterval)
				for _, n := range random.Perm(len(c.hosts))[1:] {
					c.hosts[n].kill()
					c.hosts[n].start()
				}
			}
			stopRejecting()
			stopCallers()
			Expect(c.repeatsOverBudget()).To(BeEmpty())
			requests, repeats := c.repeatCounts()["engine"].Total()
			Expect(repeats).To(BeNumerically(">", requests/100), "of %d requests", requests)
		})
	}
})
