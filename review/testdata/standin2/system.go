package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/platform"
)

const (
	heartbeatInterval = 1200 * time.Millisecond // of workers' entries
	readyTimeout      = 15 * time.Second
)

// object is a JSON object.
type object = map[string]any

// system is the hosts of a case and the platform's store.
type system struct {
	root   string
	record *record
	work   string // temporary folder
	store  *faker.Platform
	server *httptest.Server // of the store
	hosts  []*host
	stop   chan struct{} // closed at the end of the case

	mu      sync.Mutex
	version int // of the configuration
}

// host is one host process.
type host struct {
	name           string
	front, ready   string // addresses
	control, admin string
	process        *exec.Cmd
}

// newSystem starts the store.
func newSystem(root string, r *record) (*system, error) {
	work, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &system{root: root, record: r, work: work, store: faker.NewPlatform(), stop: make(chan struct{})}
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.store.Handler().ServeHTTP(&storeAnswer{ResponseWriter: w}, r)
	}))
	return s, nil
}

// storeAnswer is an answer of the store without the header that the platform's pages don't name.
type storeAnswer struct {
	http.ResponseWriter
	headWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (a *storeAnswer) WriteHeader(status int) {
	a.headWritten = true
	a.Header().Del(platform.HeaderEra)
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *storeAnswer) Write(b []byte) (int, error) {
	if !a.headWritten {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController access to the connection.
func (a *storeAnswer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// close ends the processes that the case started, and removes its files.
func (s *system) close() {
	close(s.stop)
	for _, h := range s.hosts {
		if h.process == nil || h.process.Process == nil {
			continue // not started yet
		}
		_ = h.process.Process.Kill()
		_ = h.process.Wait()
	}
	s.server.CloseClientConnections()
	s.server.Close()
	_ = os.RemoveAll(s.work)
}

// configure writes the next version of the operator's configuration. The store's answer is the
// acknowledgement.
func (s *system) configure(c object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	c["version"] = s.version
	s.store.Put("config", "main", c)
	s.record.write("operator: configuration %d is acknowledged", s.version)
}

// limits are the operator's limits on callers, as the platform's pages have them.
func limits() object {
	return object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// startHosts starts n hosts, and waits until they are ready.
func (s *system) startHosts(n int) error {
	for i := range n {
		ports, err := freePorts(4)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, &host{
			name: fmt.Sprintf("front-%d", i+1), front: ports[0], ready: ports[1], control: ports[2], admin: ports[3],
		})
	}
	for i, h := range s.hosts {
		if err := s.startHost(h); err != nil {
			s.hosts = s.hosts[:i]
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, h := range s.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.note("%d hosts are ready", n)
	return nil
}

// startHost starts a host with the command of the deploy file.
func (s *system) startHost(h *host) error {
	settings, err := s.renderSettings(h)
	if err != nil {
		return err
	}
	path := filepath.Join(s.work, h.name+".jsonc")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.work, h.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	h.process = exec.Command(filepath.Join(s.root, "target", "cicadawood"), "serve", path)
	h.process.Dir, h.process.Stdout, h.process.Stderr = s.root, log, log
	h.process.Env = hostEnvironment()
	return h.process.Start()
}

// hostEnvironment returns the variables that the platform hands to a process.
func hostEnvironment() []string {
	var out []string
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		if v, ok := os.LookupEnv(name); ok {
			out = append(out, name+"="+v)
		}
	}
	return out
}

// isReady asks a host as the platform's balancer does.
func (h *host) isReady() bool {
	resp, err := http.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// placeholder is a value of the template of a host's settings.
var placeholder = regexp.MustCompile(`\{\{([^{}|]+)(\|json)?\}\}`)

// renderSettings fills in the template of a host's settings, with the figures of a small deployment.
func (s *system) renderSettings(h *host) ([]byte, error) {
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", "settings.jsonc"))
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, x := range s.hosts {
		seeds = append(seeds, x.control)
	}
	ip, port, err := net.SplitHostPort(h.admin)
	if err != nil {
		return nil, err
	}
	values := object{
		"nodeName": h.name, "zone": "gdansk-a", "region": "pomorze", "ip": ip, "innerPorts.0": json.Number(port),
		"listen.front": h.front, "listen.ready": h.ready, "listen.control": h.control, "seeds": seeds, "bootstrap": true,
		"platform.address": strings.TrimPrefix(s.server.URL, "http://"), "bounds.retryRatio": 0.2, "bounds.retrySlack": 56, "bounds.retryWindowS": 10,
		"bounds.graceS": 8, "limits.cpuShare": 0.4, "limits.memoryMb": 284, "limits.maxFds": 4100,
	}
	var missing error
	out := placeholder.ReplaceAllFunc(template, func(match []byte) []byte {
		parts := placeholder.FindSubmatch(match)
		v, ok := values[string(parts[1])]
		if !ok {
			missing = errors.Join(missing, fmt.Errorf("no value for %s", match))
			return nil
		}
		if len(parts[2]) == 0 {
			return fmt.Append(nil, v)
		}
		text, err := json.Marshal(v)
		missing = errors.Join(missing, err)
		return text
	})
	return out, missing
}

// freePorts returns loopback addresses with free ports.
func freePorts(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}
