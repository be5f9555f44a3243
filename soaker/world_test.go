package soaker_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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
	events = 5 // of each stream
	// patience bounds a wait for something that must come.
	patience = 20 * time.Second
)

// world is one day's store, workers and hosts.
type world struct {
	seed  uint64
	r     *rand.Rand
	store *faker.Platform
	begun time.Time // when all hosts served

	mu      sync.Mutex
	workers []*worker // all that ever were
	version int
	keys    []string // that the configuration has
	revoked map[string]time.Time
	tries   []try
	hosts   []*host
	faults  []string // for the report
	doses   []try    // of the day's poison
	limits  []limited
	ends    []time.Time    // of workers, by the poison
	reborn  sync.WaitGroup // workers that are to come back
}

// worker is a fake backend server behind a link.
type worker struct {
	*faker.Worker
	link *faker.Link
	stop func()
	dead bool
}

// host is one host: a real process, and the link between it and the store.
type host struct {
	name, url, ready, file string
	store                  *faker.Link
	process                sync.Mutex // held while the process is in trouble

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	spared  bool      // its end is our doing
	touched time.Time // when it was last out of touch by our doing
	shaken  time.Time // when its process was last signalled, or started
	open    bool      // it says that it is ready
}

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

func newWorld(seed uint64) *world {
	w := &world{seed: seed, r: rand.New(rand.NewPCG(seed, 2)), store: faker.NewPlatform(), keys: []string{"key-0"}, revoked: map[string]time.Time{}}
	s := httptest.NewServer(w.store.Handler())
	DeferCleanup(s.Close)
	DeferCleanup(s.CloseClientConnections)
	for i := range 3 {
		w.begin(&faker.Worker{ID: fmt.Sprintf("e-%d", i), Service: "engine", Slots: 8, Events: events, Delay: 15 * time.Millisecond})
		w.begin(&faker.Worker{ID: fmt.Sprintf("d-%d", i), Service: "desk", Slots: 8, Delay: 15 * time.Millisecond})
	}
	w.configure()
	var peers []string
	for i := range *hosts {
		peers = append(peers, w.address(i, 2))
	}
	for i := range *hosts {
		w.prepare(i, strings.TrimPrefix(s.URL, "http://"), peers)
	}
	for _, h := range w.hosts {
		h.start()
		DeferCleanup(h.kill)
	}
	for _, h := range w.hosts {
		Eventually(h.asked, patience, 50*time.Millisecond).Should(BeTrue(), h.name)
	}
	w.begun = time.Now()
	return w
}

// begin starts a worker behind a link and has it write its entry.
func (w *world) begin(f *faker.Worker) {
	x := &worker{Worker: f}
	f.Poison, f.OnCrash = poison, func() { w.died(x) }
	x.stop = f.Start()
	link, closeLink, err := faker.NewLink("127.0.0.1:0", f.Address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeLink)
	DeferCleanup(x.end)
	x.link, f.Address = link, link.Address()
	f.Register(w.store, platform.StateReady)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers = append(w.workers, x)
}

// end ends a worker, once.
func (x *worker) end() {
	if !x.dead {
		x.dead = true
		x.stop()
	}
}

// configure writes the next version of the operator's configuration, and returns when
// it was written.
func (w *world) configure() time.Time {
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": service, "resumable": name == "chat",
			"timeoutMs": 3000, "targetLatencyMs": 200, "targetGapMs": 1000, "maxAttempts": attempts, "priority": 1,
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.store.Put("config", "main", map[string]any{
		"version": w.version,
		"routes": []any{
			route("chat", "streaming", "engine", 2), route("plan", "streaming", "engine", 1),
			route("hold", "non_idempotent", "desk", 1), route("quote", "idempotent", "desk", 2),
		},
		"services": []any{map[string]any{"name": "engine", "engine": map[string]any{"kvCacheTokens": 100000, "stride": 4}}, map[string]any{"name": "desk"}},
		"limits":   map[string]any{"maxHeaderBytes": 4000, "maxBodyBytes": 2000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "large", "apiKeys": w.keys}},
	})
	return time.Now()
}

// address is a loopback address of this process and day for a host's n-th listener.
func (w *world) address(host, n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 180+pid/250%60, 1+pid%250, 1+host, 20000+int(w.seed%4000)*5+n)
}

// prepare writes a host's settings.
func (w *world) prepare(i int, store string, peers []string) {
	link, closeLink, err := faker.NewLink("127.0.0.1:0", store)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeLink)
	h := &host{name: fmt.Sprintf("h-%d", i), url: "http://" + w.address(i, 1), ready: "http://" + w.address(i, 4) + "/ready", store: link}
	text, err := json.Marshal(map[string]any{
		"name": h.name, "zone": fmt.Sprintf("z-%d", i%2), "region": "r", "dialect": "platform", "platform": "http://" + link.Address(),
		"listen": w.address(i, 1), "control": w.address(i, 2), "admin": w.address(i, 3), "ready": w.address(i, 4), "peers": peers,
		"repeat": map[string]any{"ratio": 0.2, "slack": 100, "window": "10s"},
		"limits": map[string]any{"settle": "100ms", "grace": "6s", "lease": "10m"},
	})
	Expect(err).NotTo(HaveOccurred())
	folder := *logs
	if folder == "" {
		folder = GinkgoT().TempDir()
	}
	h.file = filepath.Join(folder, fmt.Sprintf("%d-%s.json", w.seed, h.name))
	Expect(os.WriteFile(h.file, text, 0o600)).To(Succeed())
	w.hosts = append(w.hosts, h)
}

// start starts the host's process; its log goes beside its settings.
func (h *host) start() {
	out, err := os.OpenFile(strings.TrimSuffix(h.file, ".json")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	c := exec.Command("../bin/cicadawood", "serve", h.file)
	c.Stdout, c.Stderr = out, out
	c.Env = append(os.Environ(), "GOMAXPROCS=2")
	Expect(c.Start()).To(Succeed(), "make build first")
	ended := make(chan struct{})
	h.mu.Lock()
	h.command, h.ended, h.spared, h.touched = c, ended, false, time.Now()
	h.shaken = h.touched
	h.mu.Unlock()
	go func() {
		err := c.Wait()
		_, _ = fmt.Fprintln(out, "ended:", err)
		_ = out.Close()
		close(ended)
	}()
}

// signal signals the host's process. What follows is our doing until it answers again.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.touched = time.Now()
	h.shaken = h.touched
	h.spared = h.spared || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = h.command.Process.Signal(s)
}

// kill ends the host's process and waits for that.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.ended
}

// away notes that the host is out of touch by our doing.
func (h *host) away() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.touched = time.Now()
}

// inTouch says that nothing was done to the host since a time.
func (h *host) inTouch(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.touched.Before(since)
}

// calm says that the host's process was left alone since a time, whatever became of the store.
func (h *host) calm(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shaken.Before(since)
}

// asked asks the host whether it is ready, as a balancer does.
func (h *host) asked() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get(h.ready)
	open := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open = open
	return open
}

func (h *host) isOpen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}
