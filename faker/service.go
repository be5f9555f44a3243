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

// Counter counts how often each operation ran at a backend server. It is the
// ground truth that tests and the demo judge by.
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

// Reset forgets all counts.
func (c *Counter) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = nil
}

// Counts is a copy of all counts.
func (c *Counter) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.calls))
	for k, v := range c.calls {
		out[k] = v
	}
	return out
}

// Service is a fake plain service: it takes a while and echoes.
type Service struct {
	name   string
	took   time.Duration
	calls  *Counter
	faults *FaultInjector
	load   serviceLoad
}

// NewService returns a fake plain service whose calls take took.
func NewService(name string, took time.Duration, c *Counter) *Service {
	return &Service{name: name, took: took, calls: c, faults: &FaultInjector{}}
}

// Injector is the faults in force. A call that they hit has run, but for Refuse.
func (s *Service) Injector() *FaultInjector { return s.faults }

// ShareInjector shares the faults of others, so that a plan hits their calls in the
// order in which they come.
func (s *Service) ShareInjector(f *FaultInjector) { s.faults = f }

// sizeMost bounds the padding that a caller asks for with ?size=BYTES.
const sizeMost = 64 << 20

// Handler is the service's HTTP interface. A call is counted under its
// Idempotency-Key, or its request id where it has none.
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if err != nil {
		return
	}
	if s.load.leaving.Load() {
		refuse(w, http.StatusServiceUnavailable, "leaving")
		return
	}
	s.load.running.Add(1)
	defer s.load.running.Add(-1)
	now := s.faults.next()
	if now.refused() {
		refuse(w, http.StatusServiceUnavailable, "refused")
		return
	}
	id := r.Header.Get("Idempotency-Key")
	if id == "" {
		id = r.Header.Get("X-Request-Id")
	}
	s.calls.Add(id)
	time.Sleep(s.took)
	request, more := now.at(r.Context(), s.name, AtHead, r.Header.Get("X-Request-Id"))
	if !more {
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	w.Header().Set("X-Request-Id", request)
	w.Header().Set("Content-Type", "application/json")
	writeHalves(w, r, fmt.Sprintf(`{"service":%q,"method":%q,"path":%q,"request":%q,"bytes":%d,"pad":"%s"}`, s.name, r.Method, r.URL.RequestURI(), request, len(body), strings.Repeat("x", min(max(size, 0), sizeMost))), s.name, now)
}
