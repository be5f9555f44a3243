package faker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
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
	name  string
	took  time.Duration
	calls *Counter
}

// NewService returns a fake plain service whose calls take took.
func NewService(name string, took time.Duration, c *Counter) *Service {
	return &Service{name: name, took: took, calls: c}
}

// Handler is the service's HTTP interface. A call is counted under its
// Idempotency-Key, or its request id where it has none.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.calls.Counts())
	})
	m.HandleFunc("/", s.call)
	return m
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Idempotency-Key")
	if id == "" {
		id = r.Header.Get("X-Request-Id")
	}
	s.calls.Add(id)
	time.Sleep(s.took)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"service":%q,"method":%q,"path":%q,"bytes":%d}`, s.name, r.Method, r.URL.RequestURI(), len(body))
}
