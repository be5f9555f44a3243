// Package soaker_test injects random faults into a cluster of real host processes and
// checks the answers that callers receive. All faults are external: signals to hosts,
// failing links to the store and to workers, misbehaving workers and a misbehaving store.
// Run `make build` first.
//
//	go test ./soaker -args -soak.seeds 50     runs with 50 seeds
//	go test ./soaker -args -soak.first 17     runs that start at seed 17
package soaker_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var (
	seedCount = flag.Int("soak.seeds", 2, "number of runs, each with a seed of its own")
	firstSeed = flag.Uint64("soak.first", 1, "seed of the first run")
	hostCount = flag.Int("soak.hosts", 4, "host processes; from 17 hosts on, three decide for all")
	faultTime = flag.Duration("soak.for", 8*time.Second, "how long faults are injected in a run")
	logFolder = flag.String("soak.logs", "", "folder to keep the hosts' settings and logs in")
)

func TestSoaker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soaker")
}

var _ = Describe("A run of random faults", func() {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		It("violates no guarantee to callers, seed "+itoa(seed), func() {
			c := newCluster(seed)
			stopCallers := c.startCallers()
			stopPoison := c.startPoison()
			c.runFaults(*faultTime)
			stopPoison()
			c.checkRecovery()
			stopCallers()
			c.checkAll()
		})
	}
})
