package soaker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/platform"
)

const (
	outOfStepCallers = 120
	outOfStepSlots   = 48   // of each worker
	outOfStepTimeout = 1500 // ms, of each route
	// streamLife is how long hosts keep a version in mind: two tries of outOfStepTimeout, and a second.
	streamLife         = 4 * time.Second
	maxOutOfStepTries  = 8
	takeUpPause        = 20 // ms, at most, until a caller takes a broken stream up
	anyHostShare       = 10 // one of so many new streams goes to a host that need not be ready
	minOutOfStepStream = 200
)

// separations put a host out of step with the others until the function returned is called.
var separations = []func(r *release, host int, random *rand.Rand) (end func()){
	func(r *release, host int, _ *rand.Rand) func() { // it stands still
		h := r.hosts[host]
		h.processMu.Lock()
		h.signal(syscall.SIGSTOP)
		return func() {
			h.signal(syscall.SIGCONT)
			h.processMu.Unlock()
		}
	},
	func(r *release, host int, random *rand.Rand) func() { // it is cut from the store
		modes := []faker.LinkMode{faker.Cut, faker.Unreachable, faker.ForwardOnly, faker.BackwardOnly}
		return cutLinks([]*faker.Link{r.hosts[host].storeLink}, modes[random.IntN(len(modes))])
	},
	func(r *release, host int, random *rand.Rand) func() { // it is cut from the other hosts, one way or both
		out, in := r.linksOf(host)
		ways := [][]*faker.Link{out, in, slices.Concat(out, in)}
		modes := []faker.LinkMode{faker.Cut, faker.Unreachable}
		return cutLinks(ways[random.IntN(len(ways))], modes[random.IntN(len(modes))])
	},
}

// linksOf returns the links of a host to the other hosts, and theirs to it.
func (r *release) linksOf(host int) (out, in []*faker.Link) {
	for i := range r.hosts {
		if i != host {
			out, in = append(out, r.peerLinks[host][i]), append(in, r.peerLinks[i][host])
		}
	}
	return out, in
}

// cutLinks makes links fail until the function returned is called.
func cutLinks(links []*faker.Link, m faker.LinkMode) (end func()) {
	for _, l := range links {
		l.Set(m, 0)
	}
	return func() {
		for _, l := range links {
			l.Set(faker.Pass, 0)
		}
	}
}

// separate puts a host out of step in one way or several.
func (r *release) separate(host int, random *rand.Rand) (end func()) {
	var ends []func()
	for _, n := range random.Perm(len(separations))[:1+random.IntN(len(separations))] {
		ends = append(ends, separations[n](r, host, random))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// failHalf cuts half of the workers off until the function returned is called, those of the older
// version or of the newer one, or takes the newer version back.
func (r *release) failHalf(random *rand.Rand) (end func()) {
	engines := r.engines()
	older, newer := engines[:len(engines)/2], engines[len(engines)/2:]
	how := random.IntN(3)
	r.note("fail half, way", how)
	if how == 0 {
		for _, x := range newer {
			r.retire(x)
		}
		return func() {}
	}
	var links []*faker.Link
	for _, x := range [][]*worker{older, newer}[how-1] {
		r.disturb(x)
		links = append(links, x.link)
	}
	return cutLinks(links, faker.Reset)
}

// leaveBehind replaces half of the workers while some hosts are out of step, and then has half of
// the workers, and often all other hosts, fail as these hosts go on.
func (r *release) leaveBehind(random *rand.Rand) {
	order, behind := random.Perm(*hostCount), 1+random.IntN(2)
	var ends []func()
	for _, i := range order[:behind] {
		ends = append(ends, r.separate(i, random))
	}
	for range 1 + random.IntN(2) {
		r.step(random)
	}
	time.Sleep(randomDuration(random, 50, 600))
	ends = append(ends, r.failHalf(random))
	others := order[behind:]
	if random.IntN(4) == 0 {
		others = nil
	}
	r.note("half of the workers failed; hosts behind", order[:behind], "killed", others)
	for _, i := range others {
		r.hosts[i].signal(syscall.SIGKILL)
	}
	time.Sleep(randomDuration(random, 0, 50))
	for _, end := range ends[:behind] {
		end()
	}
	time.Sleep(randomDuration(random, 0, 300))
	for _, i := range others {
		r.hosts[i].kill()
		r.hosts[i].start()
	}
	ends[behind]()
}

// callAll sends streams to hosts that are ready, and some to any host, and takes up those that
// break at any host, until ctx ends.
func (r *release) callAll(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(r.seed, uint64(2000+caller)))
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(10 * time.Millisecond)
		h := r.anyHost(random)
		if random.IntN(anyHostShare) > 0 && !h.isReady() {
			continue
		}
		x, patience := &releaseStream{halfCloses: random.IntN(halfCloseShare) == 0}, callPatience
		if random.IntN(leaveShare) == 0 {
			patience = randomDuration(random, 100, 600)
		}
		x.try(h, fmt.Sprintf("s-%d-%d", caller, n), true, patience)
		named := random.IntN(unnamedShare) > 0
		for k := 0; k < maxOutOfStepTries && ctx.Err() == nil; k++ {
			if last, _ := x.events(); last == "" || last == fmt.Sprint(releaseEvents) {
				break
			}
			x.try(r.anyHost(random), fmt.Sprintf("s-%d-%d-%d", caller, n, k), named, callPatience)
			time.Sleep(randomDuration(random, 0, takeUpPause))
		}
		r.mu.Lock()
		r.streams = append(r.streams, x)
		r.mu.Unlock()
	}
}

// Guards against streams joined from two versions by a host that was out of step while one of them joined.
var _ = Describe("A run of hosts out of step with a release", func() {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		It("keeps each stream whole and at its version, seed "+itoa(seed), func() {
			first := seed%2 == 1
			r := newRelease(clusterConfig{seed: seed, repeatSlack: defaultRepeatSlack, first: first, timeoutMs: outOfStepTimeout, slots: outOfStepSlots, linkPeers: true, mixedAnswers: true, cutAnswers: true})
			r.waitForVersion("v1")
			ctx, stop := context.WithCancel(context.Background())
			var tasks, faults sync.WaitGroup
			r.pollHosts(ctx, &tasks)
			for caller := range outOfStepCallers {
				tasks.Go(func() {
					defer GinkgoRecover()
					r.callAll(ctx, caller)
				})
			}
			deadline := time.Now().Add(*faultTime)
			time.Sleep(randomDuration(r.random, 500, 1500))
			if !first {
				time.Sleep(streamLife) // until then the hosts don't know all versions
			}
			for {
				seed := r.random.Uint64()
				inject := r.leaveBehind
				if r.random.IntN(3) == 0 {
					inject = r.restartSome
				}
				faults.Go(func() { inject(rand.New(rand.NewPCG(seed, 6))) })
				if r.random.IntN(3) == 0 { // overlaps
					time.Sleep(randomDuration(r.random, 0, 1500))
					noise := slices.Concat(workerFaults, hostFaults, restartsInPlace)
					kind := r.random.IntN(len(noise))
					r.note("beside it, kind", kind)
					noise[kind](r, rand.New(rand.NewPCG(seed, 7)))
				}
				faults.Wait()
				if time.Now().Add(streamLife).After(deadline) {
					break
				}
				r.replaceVersion()
				time.Sleep(streamLife) // the hosts know one version alone again
			}
			stop()
			tasks.Wait()
			takenUp := countStreams(r.streams, func(x *releaseStream) bool { return len(x.tries) > 1 })
			wentOn := countStreams(r.streams, func(x *releaseStream) bool {
				return len(x.tries) > 1 && strings.HasSuffix(x.tries[len(x.tries)-1], "200 <nil>")
			})
			AddReportEntry("out of step", fmt.Sprintf("seed %d: %d streams, of %d taken up %d were completed", seed, len(r.streams), takenUp, wentOn))
			Expect(len(r.streams)).To(BeNumerically(">", minOutOfStepStream))
			r.checkOrder()
		})
	}
})

// Guards against streams joined from two versions by a host that stood still, cut from the others, while one of them came and went.
var _ = Describe("A run in which a version is taken back while a host stands still", func() {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		It("joins no streams of two versions, seed "+itoa(seed), func() {
			r := newRelease(clusterConfig{seed: seed, repeatSlack: defaultRepeatSlack, timeoutMs: outOfStepTimeout, linkPeers: true})
			r.waitForVersion("v1")
			time.Sleep(streamLife)
			behind, others := r.hosts[0], r.hosts[1:]
			out, in := r.linksOf(0)
			behind.signal(syscall.SIGSTOP)
			endCut := cutLinks(slices.Concat(out, in), faker.Cut)
			old := r.engines()
			for range releaseWorkers {
				r.startVersion("v2")
			}
			for _, x := range old {
				x.Register(r.store, platform.StateDraining)
			}
			for i := range others {
				Eventually(func() []string { return r.versionsAt(i + 1) }, waitTimeout, 20*time.Millisecond).Should(And(HaveLen(releaseWorkers), HaveEach("v2")))
			}
			tryAll := func(streams []*releaseStream, try int, hosts []*host, patience time.Duration) {
				var calls sync.WaitGroup
				for n, x := range streams {
					calls.Go(func() {
						defer GinkgoRecover()
						x.try(hosts[n%len(hosts)], fmt.Sprintf("s-%d-%d", n, try), true, patience)
					})
				}
				calls.Wait()
			}
			for range rejoinedStreams {
				r.streams = append(r.streams, &releaseStream{})
			}
			tryAll(r.streams, 0, others, beginPatience)
			for _, x := range r.engines()[len(old):] {
				r.retire(x)
			}
			for _, x := range old {
				x.Register(r.store, platform.StateReady)
			}
			for _, h := range others {
				h.kill()
			}
			behind.signal(syscall.SIGCONT)
			endCut()
			tryAll(r.streams, 1, []*host{behind}, callPatience)
			newer := countStreams(r.streams, func(x *releaseStream) bool { _, v := x.events(); return len(v) > 0 && v[0] == "v2" })
			Expect(newer).To(BeNumerically(">", maxMixedStreams))
			r.checkOrder()
		})
	}
})
