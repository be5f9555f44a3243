package runner_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cicadawood/cicadawood/commander"
	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/runner"
)

// key is the API key of the test's organisation.
const key = "demo-key"

// fixture is a platform, backend servers and hosts in this process, on loopback.
type fixture struct {
	platform *faker.Platform
	url      string
	engines  map[string]string // address by name
	app      string            // address of the plain service
	counters map[string]*faker.Counter
	holds    *faker.Counter
	hosts    map[string]*runningHost
	mu       sync.Mutex
}

// runningHost is one host that is run by runner.RunUntil.
type runningHost struct {
	listen, admin string
	term          func()
	abort         chan struct{}
	done          chan error
	logs          *observer.ObservedLogs
}

func newFixture(engines ...string) *fixture {
	return newFixtureOf(faker.DefaultModel(), 10*time.Millisecond, engines...)
}

func newFixtureOf(m faker.Model, took time.Duration, engines ...string) *fixture {
	t := &fixture{platform: faker.NewPlatform(), engines: map[string]string{}, counters: map[string]*faker.Counter{}, holds: &faker.Counter{}, hosts: map[string]*runningHost{}}
	t.url = serve(t.platform.Handler())
	var workers []string
	for _, e := range engines {
		t.counters[e] = &faker.Counter{}
		t.engines[e] = strings.TrimPrefix(serve(faker.NewEngine(e, m, t.counters[e]).Handler()), "http://")
		workers = append(workers, fmt.Sprintf(`{"name": %q, "address": %q, "zone": "a", "slots": 16}`, e, t.engines[e]))
	}
	t.app = strings.TrimPrefix(serve(faker.NewService("app", took, t.holds).Handler()), "http://")
	t.push(fmt.Sprintf(`{
	"classes": {"quote": {"tier": 0, "whole": "10s"}, "chat": {"tier": 1, "whole": "20s"}},
	"organisations": {"dock": {"keys": [%q], "classes": ["quote", "chat"]}},
	"services": {
		"lm": {"kind": "engine", "owner": "ops", "models": ["lm"], "hosts": true, "routes": [{"class": "chat"}], "workers": [%s]},
		"app": {"kind": "plain", "owner": "ops", "routes": [{"class": "quote", "path": "/holds", "once": true}, {"class": "quote"}], "workers": [{"name": "app", "address": %q, "zone": "a", "slots": 32}]}}}`,
		loader.HashKey(key), strings.Join(workers, ","), t.app))
	return t
}

func serve(h http.Handler) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return s.URL
}

func (t *fixture) push(text string) {
	dir := GinkgoT().TempDir()
	Expect(os.WriteFile(filepath.Join(dir, "all.jsonc"), []byte(text), 0o600)).To(Succeed())
	var out bytes.Buffer
	Expect(commander.Main([]string{"push", dir, "--platform", t.url}, strings.NewReader(""), &out, &out)).To(Equal(commander.ExitOK), "%s", &out)
}

// ports counts the ports given out in this process.
var ports atomic.Int32

// freeAddress returns a loopback address that no other test process uses: a port that the
// kernel assigned and released may be assigned twice.
func freeAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:%d", 20+pid/250%40, 1+pid%250, 20000+ports.Add(1))
}

// start runs a host until the test ends or term is called.
func (t *fixture) start(name, zone string, change func(*loader.Host)) *runningHost {
	settings := loader.Host{Name: name, Zone: zone, Region: "r", Listen: freeAddress(), Control: freeAddress(), Admin: freeAddress(), Platform: t.url}
	settings.Limits.UnreadyDelay = loader.Duration(200 * time.Millisecond)
	if change != nil {
		change(&settings)
	}
	text, err := json.Marshal(settings)
	Expect(err).NotTo(HaveOccurred())
	settings, err = loader.ParseHost(name, text)
	Expect(err).NotTo(HaveOccurred())
	core, logs := observer.New(zapcore.InfoLevel)
	ctx, term := context.WithCancel(context.Background())
	h := &runningHost{listen: settings.Listen, admin: settings.Admin, term: term, abort: make(chan struct{}), done: make(chan error, 1), logs: logs}
	t.mu.Lock()
	t.hosts[name] = h
	t.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.done <- runner.RunUntil(ctx, h.abort, settings, zap.New(core))
	}()
	DeferCleanup(func() {
		term()
		Eventually(ended).WithTimeout(30 * time.Second).Should(BeClosed())
	})
	return h
}

func (h *runningHost) ready() bool {
	resp, err := http.Get("http://" + h.listen + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *runningHost) state() runner.State {
	var s runner.State
	resp, err := http.Get("http://" + h.admin + "/state")
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s
}

// settled returns a check that every running host is ready and has n hosts on its roster.
func (t *fixture) settled(n int) func() error {
	return func() error {
		for name, h := range t.hosts {
			if len(h.done) > 0 {
				continue
			}
			if s := h.state(); len(s.Roster) != n || !h.ready() {
				return fmt.Errorf("%s: ready %v, roster %v", name, h.ready(), s.Roster)
			}
		}
		return nil
	}
}

// post sends one request and returns the status, the body, and whether the connection
// closes.
func post(client *http.Client, address, path, body string) (status int, text string, closes bool, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, "", false, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if strings.Contains(path, "/holds/") {
		req.Header.Set("Idempotency-Key", path)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", false, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), resp.Close, err
}

const chatPath = "/v1/chat/completions"

func chat(tokens int) string {
	return fmt.Sprintf(`{"model":"lm","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, tokens)
}

// balancer stands in for the platform's: it sends callers to hosts that were ready
// recently.
type balancer struct {
	t    *fixture
	mu   sync.Mutex
	list []string
}

func (b *balancer) refresh() {
	b.t.mu.Lock()
	hosts := make([]*runningHost, 0, len(b.t.hosts))
	for _, h := range b.t.hosts {
		hosts = append(hosts, h)
	}
	b.t.mu.Unlock()
	var list []string
	for _, h := range hosts {
		if len(h.done) == 0 && h.ready() {
			list = append(list, h.listen)
		}
	}
	b.mu.Lock()
	b.list = list
	b.mu.Unlock()
}

func (b *balancer) pick(i int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list[i%len(b.list)]
}

// traffic sends quotes and chats through the balancer until stop is closed, and returns the
// failures and the number of complete answers.
func (b *balancer) traffic(stop <-chan struct{}) (failures []string, complete int) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	for c := range 6 {
		callers.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			for i := c; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				path, body := "/services/app/quote", "{}"
				if c%2 == 0 {
					path, body = chatPath, chat(15)
				}
				status, text, _, err := post(client, b.pick(i), path, body)
				good := err == nil && status == http.StatusOK && (c%2 == 1 || strings.HasSuffix(strings.TrimSpace(text), "[DONE]"))
				mu.Lock()
				if good {
					complete++
				} else {
					failures = append(failures, fmt.Sprintf("%s: %d %v %.200s", path, status, err, text))
				}
				mu.Unlock()
			}
		})
	}
	refreshes := time.NewTicker(20 * time.Millisecond)
	defer refreshes.Stop()
	for {
		select {
		case <-stop:
			callers.Wait()
			return failures, complete
		case <-refreshes.C:
			b.refresh()
		}
	}
}
