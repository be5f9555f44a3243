package soaker_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
)

const (
	// uploadBytes is the size of callers' requests in this run: more than the sockets on the way hold at once.
	uploadBytes = 2 << 20
	// uploadCallers is the number of requests in flight at a time.
	uploadCallers = 10
	// brokenInterval is the time between two changes of what breaks answers.
	brokenInterval = 300 * time.Millisecond
	// minBrokenAnswers is less than the answers that workers break in each run.
	minBrokenAnswers = 50
)

// randomBreak returns how a worker breaks its answers.
func randomBreak(random *rand.Rand) faker.WorkerFaults {
	if random.IntN(2) == 0 {
		return faker.WorkerFaults{Head: faker.OddHeads[random.IntN(len(faker.OddHeads))]}
	}
	return faker.WorkerFaults{Early: faker.EarlyAnswer{
		End:   []faker.ConnEnd{faker.EndReset, faker.EndUnread}[random.IntN(2)],
		Delay: []time.Duration{0, time.Millisecond, 20 * time.Millisecond}[random.IntN(3)],
	}}
}

// breakAnswers has two of three workers of each service break their answers, others and another way each time,
// until stop is called.
func (c *cluster) breakAnswers(random *rand.Rand) (stop func()) {
	set := func(choose func(i int) faker.WorkerFaults) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for i, x := range c.workers {
			x.SetFaults(choose(i))
		}
	}
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			sound := random.IntN(len(c.workers) / 2)
			set(func(i int) faker.WorkerFaults {
				if i/2 == sound {
					return faker.WorkerFaults{}
				}
				return randomBreak(random)
			})
			select {
			case <-ended:
				set(func(int) faker.WorkerFaults { return faker.WorkerFaults{} })
				return
			case <-time.After(brokenInterval):
			}
		}
	}()
	return func() {
		close(ended)
		<-done
	}
}

// brokenFaults are the faults beside broken answers. None closes a connection in order in a worker's name: that
// is how an answer without a length ends.
var brokenFaults = []fault{
	faultNamed("kill a host"), faultNamed("freeze a host"), faultNamed("take the store down"),
	{"silence the connections of a worker", func(c *cluster, r *rand.Rand) func() {
		l := c.anyWorker(r).link
		l.Set(faker.SilenceOpen, 0)
		return func() { l.Set(faker.Pass, 0) }
	}},
	{"cut a host from all workers without a word", func(c *cluster, r *rand.Rand) func() {
		cut := []int{r.IntN(*hostCount)}
		c.setHostModes(cut, faker.Unreachable)
		return func() { c.setHostModes(cut, faker.Pass) }
	}},
}

// Guards against answers that are passed on though their worker broke them: reset beside an upload, or with a
// head that is none of HTTP's.
var _ = Describe("A run in which workers break their answers to uploads", func() {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		It("passes on none that is not whole, seed "+itoa(seed), func() {
			c := newClusterOf(clusterConfig{seed: seed, repeatSlack: defaultRepeatSlack, bodyBytes: uploadBytes, callers: uploadCallers})
			stopCallers := c.startCallers()
			stopBreaking := c.breakAnswers(rand.New(rand.NewPCG(seed, 73)))
			c.runSomeFaults(brokenFaults, *faultTime)
			stopBreaking()
			stopCallers()
			c.checkAll()
			Expect(c.brokenAnswers()).To(BeNumerically(">", minBrokenAnswers))
		})
	}
})

// brokenAnswers returns the number of answers that workers broke.
func (c *cluster) brokenAnswers() int {
	n := 0
	for _, x := range c.workers {
		n += x.Broken()
	}
	return n
}
