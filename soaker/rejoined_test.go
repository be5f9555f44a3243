package soaker_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/platform"
)

const (
	rejoinedStreams = 24
	// beginPatience is how long callers read before they break their streams off.
	beginPatience = 300 * time.Millisecond
	// listTime is the time after which all hosts know of changed workers.
	listTime = time.Second
)

// replaceVersion replaces all workers by those of the next version.
func (r *release) replaceVersion() {
	old := r.engines()
	r.version++
	for range releaseWorkers {
		r.startVersion(fmt.Sprint("v", r.version))
	}
	for _, x := range old {
		x.Register(r.store, platform.StateDraining)
		r.retire(x)
	}
}

func countStreams(streams []*releaseStream, is func(*releaseStream) bool) int {
	n := 0
	for _, x := range streams {
		if is(x) {
			n++
		}
	}
	return n
}

// Guards against streams joined from two versions by hosts that started again and believe that no stream began before.
var _ = Describe("A run in which all hosts are killed after a release", func() {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		for _, first := range []bool{false, true} {
			It(fmt.Sprintf("joins no streams of two versions, settings of a first start: %t, seed %d", first, seed), func() {
				r := newRelease(clusterConfig{seed: seed, repeatSlack: defaultRepeatSlack, first: first})
				time.Sleep(listTime)
				streams := make([]*releaseStream, rejoinedStreams)
				tryAll := func(try int, patience time.Duration) {
					var calls sync.WaitGroup
					for n, x := range streams {
						calls.Go(func() {
							defer GinkgoRecover()
							x.try(r.hosts[(n+try)%*hostCount], fmt.Sprintf("s-%d-%d", n, try), true, patience)
						})
					}
					calls.Wait()
				}
				for n := range streams {
					streams[n] = &releaseStream{}
				}
				tryAll(0, beginPatience)
				r.replaceVersion()
				time.Sleep(listTime)
				for _, h := range r.hosts {
					h.kill()
				}
				for _, h := range r.hosts {
					h.start()
				}
				for _, h := range r.hosts {
					Eventually(h.pollReady, waitTimeout, 20*time.Millisecond).Should(BeTrue())
				}
				begun := countStreams(streams, func(x *releaseStream) bool { return x.id != "" })
				tryAll(1, callPatience)
				mixed := countStreams(streams, (*releaseStream).mixed)
				Expect(begun).To(BeNumerically(">", rejoinedStreams/2))
				Expect(mixed).To(BeNumerically("<=", maxMixedStreams), "of %d", begun)
			})
		}
	}
})
