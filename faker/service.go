package faker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Counter counts how often each operation ran at a backend server. Tests and the demo
// compare the answers with it.
type Counter struct {
	mu    sync.Mutex
	calls map[string]int
}

// Add counts one run.
func (c *Counter) Add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = map[string]int{}
	}
	c.calls[id]++
}

// Reset clears all counts.
func (c *Counter) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = nil
}

// Counts returns a copy of all counts.
func (c *Counter) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.calls))
	for k, v := range c.calls {
		out[k] = v
	}
	return out
}

// Service is a fake plain service. Each call takes the same time; the answer describes the
// request.
type Service struct {
	name     string
	duration time.Duration
	calls    *Counter
	faults   *FaultInjector
	load     serviceLoad
}

// NewService returns a fake plain service whose calls take the time took.
func NewService(name string, took time.Duration, c *Counter) *Service {
	return &Service{name: name, duration: took, calls: c, faults: &FaultInjector{}}
}

// Injector returns the injector of the faults in force. A call that they hit has run,
// except with Refuse.
func (s *Service) Injector() *FaultInjector { return s.faults }

// ShareInjector makes the service use an injector that other backend servers use, too, so
// that planned faults hit their calls in the order in which the calls arrive.
func (s *Service) ShareInjector(f *FaultInjector) { s.faults = f }

// maxPadBytes bounds the padding that a caller requests with ?size=BYTES.
const maxPadBytes = 64 << 20

// Handler returns the service's HTTP interface. A call is counted under its
// Idempotency-Key, or under its request id if it has none.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.calls.Counts())
	})
	m.Handle("POST /faults", s.faults)
	m.HandleFunc("GET /load", s.load.get)
	m.HandleFunc("POST /leave", s.load.leave)
	m.HandleFunc("/", s.call)
	return m
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if s.load.leaving.Load() {
		refuse(w, http.StatusServiceUnavailable, "leaving")
		return
	}
	s.load.running.Add(1)
	defer s.load.running.Add(-1)
	faults := s.faults.forCall()
	if faults.refused() {
		refuse(w, http.StatusServiceUnavailable, "refused")
		return
	}
	id := r.Header.Get("Idempotency-Key")
	if id == "" {
		id = r.Header.Get("X-Request-Id")
	}
	s.calls.Add(id)
	time.Sleep(s.duration)
	request, more := faults.apply(r.Context(), s.name, AtHead, r.Header.Get("X-Request-Id"))
	if !more {
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	w.Header().Set("X-Request-Id", request)
	w.Header().Set("Content-Type", "application/json")
	writeHalves(w, r, fmt.Sprintf(`{"service":%q,"method":%q,"path":%q,"request":%q,"bytes":%d,"pad":"%s"}`, s.name, r.Method, r.URL.RequestURI(), request, len(body), strings.Repeat("x", min(max(size, 0), maxPadBytes))), s.name, faults)
}
