package soaker_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
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
	eventsPerStream = 5
	// defaultCallPause is the time between two requests of a caller.
	defaultCallPause = 10 * time.Millisecond
	defaultTimeoutMs = 3000
	// defaultMaxBody is the operator's limit on bodies, in bytes.
	defaultMaxBody = 2000
	// waitTimeout bounds each wait for an event that must occur.
	waitTimeout = 20 * time.Second
)

// cluster is the store, the workers and the hosts of one run, with what was recorded.
type cluster struct {
	clusterConfig
	random    *rand.Rand
	store     *faker.Platform
	startedAt time.Time // when all hosts were ready

	mu              sync.Mutex
	workers         []*worker // also those that stopped
	configVersion   int
	keys            []string             // valid API keys, the newest last
	revoked         map[string]time.Time // when each key was revoked
	exchanges       []exchange
	hosts           []*host
	faults          []string   // names of the faults injected
	poisonExchanges []exchange // of the poison request
	limits          []rateLimit
	hostModes       []faker.LinkMode // of each host's links to all workers
	peerLinks       [][]*faker.Link  // from each host to each other one; nil to itself
	cuts            []hostCut
	brittleTimes    []brittleTime
	crashes         []time.Time    // when the poison crashed a worker
	restarts        sync.WaitGroup // of workers that the poison crashed
}

// worker is a fake backend server, reached through a link.
type worker struct {
	*faker.Worker
	link      *faker.Link
	hostLinks []*faker.Link // of each host; empty if hosts reach it directly
	stop      func()
	stopped   bool
}

// host is a real host process and its link to the store.
type host struct {
	name, url, readyURL, settingsFile string
	storeLink                         *faker.Link
	processMu                         sync.Mutex // held during a fault of the process
	startMu                           sync.Mutex // held while the process is started

	mu                 sync.Mutex
	cmd                *exec.Cmd
	exited             chan struct{}
	expectedExit       bool      // SIGKILL or SIGTERM was sent
	disturbedAt        time.Time // when a fault of its process or store link last began or ended
	processDisturbedAt time.Time // when its process was last signalled or started
	disturbances       []disturbance
	lastReady          bool // result of the last readiness poll
}

// disturbance is a start of a host's process, or a signal to it.
type disturbance struct {
	at   time.Time
	down bool // the process serves nobody from then on
}

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

func newCluster(seed uint64) *cluster { return newClusterWithSlack(seed, defaultRepeatSlack) }

// newClusterWithSlack is newCluster with a slack of the retry budget.
func newClusterWithSlack(seed uint64, slack float64) *cluster {
	return newClusterOf(clusterConfig{seed: seed, repeatSlack: slack})
}

// clusterConfig has what differs between runs.
type clusterConfig struct {
	seed         uint64
	repeatSlack  float64       // of the hosts' retry budget
	repeatWindow time.Duration // of the hosts' retry budget; 0 is defaultRepeatWindow
	callPause    time.Duration // between two requests of a caller; 0 is defaultCallPause
	callers      int           // requests in flight at a time; 0 is defaultCallers
	memoryMB     int           // of each host, in MiB; 0 has no limit
	bodyBytes    int           // of callers' requests; 0 has no body
	first        bool          // the hosts' settings say, at each start, that the system starts for the first time
	timeoutMs    int           // of each route; 0 is defaultTimeoutMs
	slots        int           // of each worker of a release; 0 is defaultSlots
	linkPeers    bool          // hosts reach one another through links
	mixedAnswers bool          // workers of a release frame streams in several ways, and some send second answers
	cutAnswers   bool          // with mixedAnswers, some second answers are cut
}

func newClusterOf(config clusterConfig) *cluster {
	config.callPause = cmp.Or(config.callPause, defaultCallPause)
	config.callers = cmp.Or(config.callers, defaultCallers)
	config.timeoutMs = cmp.Or(config.timeoutMs, defaultTimeoutMs)
	config.repeatWindow = cmp.Or(config.repeatWindow, defaultRepeatWindow)
	c := &cluster{clusterConfig: config, random: rand.New(rand.NewPCG(config.seed, 2)), store: faker.NewPlatform(), keys: []string{"key-0"}, revoked: map[string]time.Time{}}
	for range *hostCount {
		c.hostModes = append(c.hostModes, faker.Pass)
	}
	s := httptest.NewServer(c.store.Handler())
	DeferCleanup(s.Close)
	DeferCleanup(s.CloseClientConnections)
	for i := range 3 {
		c.startWorker(&faker.Worker{ID: fmt.Sprintf("e-%d", i), Service: "engine", Slots: 8, Events: eventsPerStream, Delay: 15 * time.Millisecond})
		c.startWorker(&faker.Worker{ID: fmt.Sprintf("d-%d", i), Service: "desk", Slots: 8, Delay: 15 * time.Millisecond})
	}
	c.putConfig()
	var peers []string
	for i := range *hostCount {
		peers = append(peers, c.address(i, 2))
	}
	for i := range *hostCount {
		c.addHost(i, strings.TrimPrefix(s.URL, "http://"), peers)
	}
	for _, h := range c.hosts {
		h.start()
		DeferCleanup(h.end)
	}
	for _, h := range c.hosts {
		Eventually(h.pollReady, waitTimeout, 50*time.Millisecond).Should(BeTrue(), h.name)
	}
	c.startedAt = time.Now()
	return c
}

// startWorker starts a worker behind a link and registers it.
func (c *cluster) startWorker(f *faker.Worker) {
	x := &worker{Worker: f}
	f.Poison, f.PoisonPart, f.OnCrash = poison, badPart, func() { c.workerCrashed(x) }
	x.stop = f.Start()
	c.mu.Lock()
	defer c.mu.Unlock()
	n, address := len(c.workers), "127.0.0.1:0"
	if n < maxWorkers {
		address = c.workerAddress(0, n)
	}
	link, closeLink, err := faker.NewLink(address, f.Address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeLink)
	DeferCleanup(x.stopOnce)
	x.link, f.Address = link, link.Address()
	if n < maxWorkers {
		x.hostLinks = c.linkHosts(n, f.Address)
	}
	c.workers = append(c.workers, x)
	f.Register(c.store, platform.StateReady)
}

// stopWorker stops a worker. It returns false if the worker has stopped already.
func (c *cluster) stopWorker(x *worker) bool {
	c.mu.Lock()
	stopped := x.stopped
	x.stopped = true
	c.mu.Unlock()
	if !stopped {
		x.stop()
	}
	return !stopped
}

func (c *cluster) isStopped(x *worker) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return x.stopped
}

// stopOnce stops the worker unless it has stopped already.
func (x *worker) stopOnce() {
	if !x.stopped {
		x.stopped = true
		x.stop()
	}
}

// putConfig writes the next version of the configuration with the current keys, and
// returns the time of the write.
func (c *cluster) putConfig() time.Time {
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": service, "resumable": name == "chat",
			"timeoutMs": c.timeoutMs, "targetLatencyMs": 200, "targetGapMs": 1000, "maxAttempts": attempts, "priority": 1,
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configVersion++
	c.store.Put("config", "main", map[string]any{
		"version": c.configVersion,
		"routes": []any{
			route("chat", "streaming", "engine", 2), route("plan", "streaming", "engine", 1),
			route("hold", "non_idempotent", "desk", 1), route("quote", "idempotent", "desk", 2),
		},
		"services": []any{map[string]any{"name": "engine", "engine": map[string]any{"kvCacheTokens": 100000, "stride": 4}}, map[string]any{"name": "desk", "healthPath": faker.HealthPath}},
		"limits":   map[string]any{"maxHeaderBytes": 4000, "maxBodyBytes": max(defaultMaxBody, c.bodyBytes), "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "large", "apiKeys": c.keys}},
	})
	return time.Now()
}

// address returns the loopback address of a host's n-th listener. It depends on the test
// process and the seed, so that parallel processes and successive runs don't collide.
func (c *cluster) address(host, n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 180+pid/250%60, 1+pid%250, 1+host, 20000+int(c.seed%4000)*5+n)
}

// addHost adds host number i with a link to the store, and writes its settings.
func (c *cluster) addHost(i int, store string, peers []string) {
	link, closeLink, err := faker.NewLink("127.0.0.1:0", store)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeLink)
	h := &host{name: fmt.Sprintf("h-%d", i), url: "http://" + c.address(i, 1), readyURL: "http://" + c.address(i, 4) + "/ready", storeLink: link}
	text, err := json.Marshal(map[string]any{
		"name": h.name, "zone": fmt.Sprintf("z-%d", i%2), "region": "r", "dialect": "platform", "platform": "http://" + link.Address(),
		"listen": c.address(i, 1), "control": c.address(i, 2), "admin": c.address(i, 3), "ready": c.address(i, 4), "peers": peers, "translate": append(c.translations(i), c.linkPeersOf(i)...), "first": c.first,
		"repeat": map[string]any{"ratio": 0.2, "slack": c.repeatSlack, "window": c.repeatWindow.String()},
		"limits": map[string]any{"settle": "100ms", "grace": "6s", "lease": "10m", "memory": c.memoryMB},
	})
	Expect(err).NotTo(HaveOccurred())
	folder := *logFolder
	if folder == "" {
		folder = GinkgoT().TempDir()
	}
	h.settingsFile = filepath.Join(folder, fmt.Sprintf("%d-%s.json", c.seed, h.name))
	Expect(os.WriteFile(h.settingsFile, text, 0o600)).To(Succeed())
	c.hosts = append(c.hosts, h)
}

// start starts the host's process, unless it runs: faults that overlap may start it once each. Its
// log is appended to a file next to its settings.
func (h *host) start() {
	h.startMu.Lock()
	defer h.startMu.Unlock()
	if h.running() {
		return
	}
	out, err := os.OpenFile(h.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	c := exec.Command("../bin/cicadawood", "serve", h.settingsFile)
	c.Stdout, c.Stderr = out, out
	c.Env = append(os.Environ(), "GOMAXPROCS=2")
	Expect(c.Start()).To(Succeed(), "run make build first")
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited, h.expectedExit, h.disturbedAt = c, exited, false, time.Now()
	h.processDisturbedAt = h.disturbedAt
	h.disturbances = append(h.disturbances, disturbance{at: h.disturbedAt})
	h.mu.Unlock()
	go func() {
		err := c.Wait()
		_, _ = fmt.Fprintln(out, "exited:", err)
		_ = out.Close()
		close(exited)
	}()
}

// logFile returns the path of the host's log.
func (h *host) logFile() string { return strings.TrimSuffix(h.settingsFile, ".json") + ".log" }

// running reports whether the host's process was started and has not exited.
func (h *host) running() bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// end kills the host's process at the end of a run, and checks that no other process has its address.
func (h *host) end() {
	h.kill()
	l, err := net.Listen("tcp", strings.TrimPrefix(h.url, "http://"))
	Expect(err).NotTo(HaveOccurred(), "a process of %s is left", h.name)
	_ = l.Close()
}

// signal sends a signal to the host's process and records the disturbance.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbedAt = time.Now()
	h.processDisturbedAt = h.disturbedAt
	h.disturbances = append(h.disturbances, disturbance{at: h.disturbedAt, down: endsService(s)})
	h.expectedExit = h.expectedExit || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = h.cmd.Process.Signal(s)
}

// endsService reports whether a process serves nobody after a signal.
func endsService(s syscall.Signal) bool {
	return s == syscall.SIGKILL || s == syscall.SIGTERM || s == syscall.SIGSTOP
}

// kill sends SIGKILL to the host's process and waits for its exit.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// markDisturbed records that a fault outside the process disturbs the host.
func (h *host) markDisturbed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbedAt = time.Now()
}

// undisturbedSince reports whether no fault has disturbed the host since the given time.
func (h *host) undisturbedSince(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disturbedAt.Before(since)
}

// processUndisturbedSince reports whether the host's process has been neither signalled nor
// started since the given time. Faults of the store don't count.
func (h *host) processUndisturbedSince(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.processDisturbedAt.Before(since)
}

// processSince returns when the host's process was last signalled or started.
func (h *host) processSince() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.processDisturbedAt
}

// runsUndisturbedUntil returns when the host's process was first signalled or started after a
// time: that time itself if it did not run then, and false if nothing disturbed it since.
func (h *host) runsUndisturbedUntil(from time.Time) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	down := false
	for _, x := range h.disturbances {
		switch {
		case x.at.Before(from):
			down = x.down
		case down:
			return from, true
		default:
			return x.at, true
		}
	}
	return from, down
}

// pollReady queries the host's readiness endpoint, as a load balancer does, and records
// the result.
func (h *host) pollReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get(h.readyURL)
	ready := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastReady = ready
	return ready
}

func (h *host) isReady() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastReady
}
