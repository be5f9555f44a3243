package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// worker is a sound worker of a plain service. It runs as many requests at once as it has slots,
// queues a few more, and rejects the others.
type worker struct {
	id      string
	service string
	slots   int
	queue   int
	took    time.Duration // of a request
	record  *record

	address string
	places  chan struct{} // one for each slot and each place in the queue
	running chan struct{} // one for each slot

	mu      sync.Mutex
	arrived map[string]int // requests that it received, by ID
	runs    map[string]int // requests that it ran, by ID
}

// start serves, and keeps the worker's entry in the store.
func (w *worker) start(s *system) {
	w.record = s.record
	w.places, w.running = make(chan struct{}, w.slots+w.queue), make(chan struct{}, w.slots)
	w.arrived, w.runs = map[string]int{}, map[string]int{}
	server := httptest.NewServer(w)
	w.address = strings.TrimPrefix(server.URL, "http://")
	go w.heartbeat(s)
}

// heartbeat writes the worker's entry until the case ends.
func (w *worker) heartbeat(s *system) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for seq := 1; ; seq++ {
		s.store.Put("servers", w.id, object{
			"service": w.service, "address": w.address, "zone": "gdansk-a", "version": "v1", "slots": w.slots, "state": "ready", "coldLeftMs": 0, "seq": seq,
		})
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}

// ServeHTTP implements http.Handler as the platform's pages describe workers.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		out.Header().Set("Attempt-Id", id)
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != w.id {
		out.Header().Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.count(w.arrived, id)
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	default:
		w.reject(out, id)
		return
	}
	select {
	case w.running <- struct{}{}:
		defer func() { <-w.running }()
	case <-r.Context().Done():
		return
	}
	w.run(out, r, id)
}

// reject answers that a request was not run, as the worker is full.
func (w *worker) reject(out http.ResponseWriter, id string) {
	w.record.write("%s: full, rejects %s", w.id, id)
	out.Header().Set("Not-Executed", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
}

// run runs a request and answers it.
func (w *worker) run(out http.ResponseWriter, r *http.Request, id string) {
	if r.URL.Path == "/health" {
		out.Header().Set("Instance-Id", w.id)
		return
	}
	w.count(w.runs, id)
	w.record.write("%s: runs %s, %s %s", w.id, id, r.Method, r.URL.Path)
	time.Sleep(w.took)
	out.Header().Set("Response-Seal", w.id+"."+id)
	out.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(w.running), max(0, len(w.places)-len(w.running)), w.slots))
	fmt.Fprintf(out, "%s ran %s", w.id, id)
}

func (w *worker) count(counts map[string]int, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts[id]++
}

// countOf returns how often the worker received and ran a request.
func (w *worker) countOf(id string) (arrived, runs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrived[id], w.runs[id]
}
