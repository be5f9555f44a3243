package soaker_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/platform"
)

const (
	releaseEvents   = 40
	releaseDelay    = 20 * time.Millisecond // between two events
	releaseWorkers  = 4
	defaultSlots    = 8
	releaseCallers  = 16
	maxTakeUps      = 2
	callPatience    = 5 * time.Second
	unnamedShare    = 10 // one of so many callers names no attempt
	leaveShare      = 3  // one of so many callers breaks its stream off and takes it up
	maxMixedStreams = 2
	// From minTakenUp streams on that were taken up, the share that goes on is at least
	// lostShare of the share of new streams that begin. Hosts, and two workers of the stream's
	// version, count that were undisturbed for calmTime.
	minTakenUp = 12
	lostShare  = 0.5
	calmTime   = 3 * time.Second
)

// release is a run in which the workers of a service are replaced version by version.
type release struct {
	*cluster
	streams []*releaseStream
	version int // of the next step
	next    int // number of the next worker

	disturbed map[*worker]time.Time // when a fault of the worker last began or ended
	steps     []string              // what was done to workers, with the times
}

// releaseStream is what a caller has of a stream, over all its tries.
type releaseStream struct {
	id    string // of the try that brought the first event
	body  string
	ids   []string        // of all tries
	tries []string        // hosts, with status
	wrong map[string]bool // sentences of rule ORDER that its answers break

	halfCloses bool // its caller closes its side once the request is sent
}

// attempts counts tries at calm hosts, and those that brought an event.
type attempts struct{ sent, served int }

var releaseEvent = regexp.MustCompile(`id: (\d+)\ndata: piece \d+\nversion: (\S+)\n\n`)

func (x *releaseStream) events() (last string, versions []string) {
	for _, m := range releaseEvent.FindAllStringSubmatch(x.body, -1) {
		last, versions = m[1], append(versions, m[2])
	}
	return last, versions
}

func (x *releaseStream) mixed() bool {
	_, versions := x.events()
	for _, v := range versions {
		if v != versions[0] {
			return true
		}
	}
	return false
}

func newRelease(config clusterConfig) *release {
	config.slots = cmp.Or(config.slots, defaultSlots)
	r := &release{cluster: newClusterOf(config), version: 1, disturbed: map[*worker]time.Time{}}
	for _, x := range r.workers {
		if x.Service == "engine" {
			r.retire(x)
		}
	}
	for range releaseWorkers {
		r.startVersion("v1")
	}
	return r
}

// startVersion starts a worker at a version.
func (r *release) startVersion(version string) {
	r.mu.Lock()
	r.next++
	n := r.next
	id := fmt.Sprintf("w-%d", n)
	r.mu.Unlock()
	f := &faker.Worker{ID: id, Service: "engine", Slots: r.slots, Events: releaseEvents, Delay: releaseDelay, Version: version}
	f.SetFaults(r.answerFaults(n))
	r.startWorker(f)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed[r.workers[len(r.workers)-1]] = time.Now()
}

// drain registers a worker as draining, unless its process has ended: another start may be registered.
func (r *release) drain(x *worker) {
	if !r.isStopped(x) {
		x.Register(r.store, platform.StateDraining)
	}
}

// retire stops a worker and removes its entry.
func (r *release) retire(x *worker) {
	r.disturb(x)
	r.note("retire", x.ID)
	if r.stopWorker(x) {
		r.note("stopped", x.ID)
		r.store.Delete("servers", x.ID)
	}
}

// note records what is done to a worker.
func (r *release) note(step ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps = append(r.steps, fmt.Sprint(time.Now().UTC().Format("15:04:05.000 "), fmt.Sprintln(step...)))
}

func (r *release) disturb(x *worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed[x] = time.Now()
}

// engines returns the running workers of the service.
func (r *release) engines() []*worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*worker
	for _, x := range r.workers {
		if x.Service == "engine" && !x.stopped {
			out = append(out, x)
		}
	}
	return out
}

// calmWorkers returns the number of workers of a version that were undisturbed for calmTime.
func (r *release) calmWorkers(version string) int {
	n := 0
	for _, x := range r.engines() {
		r.mu.Lock()
		calm := time.Since(r.disturbed[x]) > calmTime
		r.mu.Unlock()
		if calm && x.Version == version {
			n++
		}
	}
	return n
}

// step replaces half of the workers by those of the next version, one after another.
func (r *release) step(random *rand.Rand) {
	r.version++
	old := r.engines()
	for _, x := range old[:(len(old)+1)/2] {
		r.startVersion(fmt.Sprint("v", r.version))
		r.drain(x)
		r.disturb(x)
		time.Sleep(randomDuration(random, 100, 800))
		r.retire(x)
	}
}

// restartInPlace restarts a worker at once under its ID and at its address, at another version.
// Its entry follows after a delay, as the store may be silent.
func (r *release) restartInPlace(x *worker, version string, delay time.Duration) {
	r.disturb(x)
	r.note("restart in place", x.ID, "at", version, "entry after", delay)
	if !r.stopWorker(x) {
		return
	}
	f := &faker.Worker{ID: x.ID, Service: x.Service, Slots: x.Slots, Events: x.Events, Delay: x.Delay, Incarnation: x.Incarnation + 1, Version: version}
	f.SetFaults(r.answerFaults(x.Incarnation + 1))
	y := &worker{Worker: f, link: x.link, hostLinks: x.hostLinks, stop: f.Start()}
	DeferCleanup(y.stopOnce)
	x.link.SetTarget(f.Address)
	f.Address = x.link.Address()
	r.mu.Lock()
	r.workers = append(r.workers, y)
	r.disturbed[y] = time.Now()
	r.mu.Unlock()
	r.note("listens", x.ID)
	time.Sleep(delay)
	if !r.isStopped(y) {
		r.note("register", x.ID)
		f.Register(r.store, platform.StateReady)
	}
	r.disturb(y)
}

// workerFaults are the steps of a release, and the faults of workers beside them.
var workerFaults = []func(r *release, random *rand.Rand){
	func(r *release, random *rand.Rand) { r.step(random) },
	func(r *release, random *rand.Rand) { // a worker crashes, another one of its version follows
		x := r.engines()[0]
		r.retire(x)
		time.Sleep(randomDuration(random, 100, 600))
		r.startVersion(x.Version)
	},
	func(r *release, random *rand.Rand) { // restarted in place at another version
		list := r.engines()
		r.restartInPlace(list[random.IntN(len(list))], fmt.Sprint("v", r.version), 0)
	},
	func(r *release, random *rand.Rand) { // the same while the store is silent
		end := r.storeFault(faker.Faults{Down: true})
		list := r.engines()
		r.restartInPlace(list[random.IntN(len(list))], fmt.Sprint("v", r.version), randomDuration(random, 500, 2500))
		end()
	},
	func(r *release, random *rand.Rand) { // all connections to a worker are reset
		list := r.engines()
		x := list[random.IntN(len(list))]
		r.disturb(x)
		r.note("reset", x.ID)
		x.link.Set(faker.Reset, 0)
		time.Sleep(randomDuration(random, 5, 300))
		x.link.Set(faker.Pass, 0)
		r.disturb(x)
	},
}

// hostFaults are the faults of hosts beside a release.
var hostFaults = []func(r *release, random *rand.Rand){
	func(r *release, random *rand.Rand) { r.restartHosts(random, 1) },
	func(r *release, random *rand.Rand) { r.restartHosts(random, *hostCount-1) },
	func(r *release, random *rand.Rand) { r.restartHosts(random, *hostCount) },
	func(r *release, random *rand.Rand) { // a host is cut from the store
		h := r.anyHost(random)
		h.markDisturbed()
		h.storeLink.Set(faker.Cut, 0)
		time.Sleep(randomDuration(random, 500, 3000))
		h.storeLink.Set(faker.Pass, 0)
		h.markDisturbed()
	},
}

// restartHosts kills hosts at the same moment and starts them again.
func (r *release) restartHosts(random *rand.Rand, count int) {
	first := random.IntN(*hostCount)
	for i := range count {
		r.hosts[(first+i)%*hostCount].kill()
	}
	time.Sleep(randomDuration(random, 0, 500))
	for i := range count {
		r.hosts[(first+i)%*hostCount].start()
	}
}

// try sends a stream, or what follows the events that its caller has, to a host. It reports
// whether an event arrived.
func (x *releaseStream) try(h *host, id string, named bool, patience time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+"/chat/"+id, strings.NewReader(id))
	if err != nil {
		return false
	}
	req.Host = "desk.example"
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, "3000")
	req.Header.Set("Authorization", "Token key-0")
	last, before := x.events()
	x.ids = append(x.ids, id)
	if last != "" {
		req.Header.Set(platform.HeaderLastEvent, last)
		if named {
			req.Header.Set(platform.HeaderResumes, x.id)
		}
	}
	resp, err := x.client().Do(req)
	if err != nil {
		x.tries = append(x.tries, fmt.Sprint(id, " ", h.name, " ", err))
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	x.tries = append(x.tries, fmt.Sprint(id, " ", h.name, " ", resp.StatusCode, " ", err))
	if resp.StatusCode != http.StatusOK {
		return false
	}
	text := wholeEvents(string(body))
	x.judge(text, err == nil)
	x.body += text
	_, after := x.events()
	if last == "" && len(after) > 0 {
		x.id = id
	}
	return len(after) > len(before)
}

// call sends streams, and takes up those that break at other hosts, until ctx ends.
func (r *release) call(ctx context.Context, caller int, begun, takenUp *attempts) {
	random := rand.New(rand.NewPCG(r.seed, uint64(1000+caller)))
	count := func(a *attempts, counts, served bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if counts {
			a.sent++
			if served {
				a.served++
			}
		}
	}
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(10 * time.Millisecond)
		h := r.anyHost(random)
		if !h.pollReady() {
			continue
		}
		x, calm := &releaseStream{halfCloses: random.IntN(halfCloseShare) == 0}, h.undisturbedSince(time.Now().Add(-calmTime))
		patience := callPatience
		if random.IntN(leaveShare) == 0 {
			patience = randomDuration(random, 100, 600)
		}
		served := x.try(h, fmt.Sprintf("s-%d-%d", caller, n), true, patience)
		count(begun, calm && h.undisturbedSince(time.Now().Add(-calmTime)), served)
		named := random.IntN(unnamedShare) > 0
		for k := 0; k < maxTakeUps; k++ {
			last, versions := x.events()
			if h = r.anyHost(random); last == "" || last == fmt.Sprint(releaseEvents) || !h.pollReady() {
				continue
			}
			calm := named && h.undisturbedSince(time.Now().Add(-calmTime)) && r.calmWorkers(versions[0]) >= 2
			served := x.try(h, fmt.Sprintf("s-%d-%d-%d", caller, n, k), named, callPatience)
			calm = calm && h.undisturbedSince(time.Now().Add(-calmTime)) && r.calmWorkers(versions[0]) >= 2
			count(takenUp, calm, served)
		}
		r.mu.Lock()
		r.streams = append(r.streams, x)
		r.mu.Unlock()
	}
}

// Guards against streams that hold events of two versions, and against streams that are refused
// as the workers of their version are full of new ones.
var _ = Describe("A run of releases beside faults", func() {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		It("keeps each stream at its version, and goes on with those that are taken up, seed "+itoa(seed), func() {
			r := newRelease(clusterConfig{seed: seed, repeatSlack: defaultRepeatSlack, mixedAnswers: true})
			ctx, stop := context.WithCancel(context.Background())
			var begun, takenUp attempts
			var callers, faults sync.WaitGroup
			for caller := range releaseCallers {
				callers.Go(func() {
					defer GinkgoRecover()
					r.call(ctx, caller, &begun, &takenUp)
				})
			}
			kinds := slices.Concat(workerFaults, restartsInPlace)
			if seed%2 == 1 {
				kinds = append(kinds, hostFaults...)
			}
			for deadline := time.Now().Add(*faultTime); time.Now().Before(deadline); {
				inject := kinds[r.random.IntN(len(kinds))]
				seed := r.random.Uint64()
				faults.Go(func() { inject(r, rand.New(rand.NewPCG(seed, 5))) })
				time.Sleep(randomDuration(r.random, 100, 900))
				if r.random.IntN(2) == 0 {
					faults.Wait() // series and overlaps
				}
			}
			faults.Wait()
			stop()
			callers.Wait()
			AddReportEntry("release", fmt.Sprintf("seed %d: %d streams; of new ones %d of %d began, of those taken up %d of %d went on", seed, len(r.streams), begun.served, begun.sent, takenUp.served, takenUp.sent))
			Expect(len(r.streams)).To(BeNumerically(">", 50))
			r.checkOrder()
			if takenUp.sent >= minTakenUp && begun.sent > 0 {
				share := float64(begun.served) / float64(begun.sent)
				Expect(float64(takenUp.served)/float64(takenUp.sent)).To(BeNumerically(">=", lostShare*share), "%+v %+v", begun, takenUp)
			}
		})
	}
})

// wholeEvents returns a stream's text up to the end of its last whole event.
func wholeEvents(text string) string {
	end := strings.LastIndex(text, "\n\n")
	if end < 0 {
		return ""
	}
	return text[:end+2]
}
