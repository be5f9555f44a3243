package soaker_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/runner"
)

const (
	rejoinedStreams = 24
	// beginPatience is how long callers read before they break their streams off.
	beginPatience = 300 * time.Millisecond
	// laterTry is when hosts that started have had the time to write and to read the roster.
	laterTry = 1500 * time.Millisecond
)

// replaceVersion replaces all workers by those of the next version.
func (r *release) replaceVersion() {
	old := r.engines()
	r.version++
	for range releaseWorkers {
		r.startVersion(fmt.Sprint("v", r.version))
	}
	for _, x := range old {
		r.drain(x)
		r.retire(x)
	}
}

// waitForVersion waits until each host is ready and has the workers of one version alone as engines.
func (r *release) waitForVersion(version string) {
	for i, h := range r.hosts {
		Eventually(h.pollReady, waitTimeout, 20*time.Millisecond).Should(BeTrue(), h.name)
		Eventually(func() []string { return r.versionsAt(i) }, waitTimeout, 20*time.Millisecond).Should(And(HaveLen(releaseWorkers), HaveEach(version)), h.name)
	}
}

// versionsAt returns the versions of the engines that a host may send to.
func (r *release) versionsAt(host int) []string {
	resp, err := http.Get("http://" + r.address(host, 3) + "/state")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var state runner.State
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		return nil
	}
	if state.Routing == nil {
		return nil
	}
	var out []string
	for _, w := range state.Routing.Workers {
		if w.Service == "engine" {
			out = append(out, w.Version)
		}
	}
	return out
}

// countStreams returns the number of streams of which something holds.
func countStreams(streams []*releaseStream, is func(*releaseStream) bool) int {
	n := 0
	for _, x := range streams {
		if is(x) {
			n++
		}
	}
	return n
}

// Guards against streams joined from two versions by hosts that started again and take no stream to have begun before.
var _ = Describe("A run in which all hosts are killed after a release", func() {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		for _, x := range []struct {
			name  string
			first bool
			pause time.Duration // from the restart to the next try
		}{{"false", false, 0}, {"true", true, 0}, {"true, tried later", true, laterTry}} {
			It(fmt.Sprintf("joins no streams of two versions, settings of a first start: %s, seed %d", x.name, seed), Label(prover.Cell(prover.MidStream, prover.KillAll)), func() {
				r := newRelease(clusterConfig{seed: seed, repeatSlack: defaultRepeatSlack, first: x.first})
				r.waitForVersion("v1")
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
				r.waitForVersion("v2")
				for _, h := range r.hosts {
					h.kill()
				}
				for _, h := range r.hosts {
					h.start()
				}
				r.waitForVersion("v2")
				begun := countStreams(streams, func(x *releaseStream) bool { return x.id != "" })
				time.Sleep(x.pause)
				tryAll(1, callPatience)
				mixed := countStreams(streams, (*releaseStream).mixed)
				Expect(begun).To(BeNumerically(">", rejoinedStreams/2))
				Expect(mixed).To(BeNumerically("<=", maxMixedStreams), "of %d", begun)
			})
		}
	}
})
