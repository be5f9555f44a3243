package server

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadawood/cicadawood/forwarder"
)

// Headers between callers and the system.
const (
	HeaderClass    = "Cicadawood-Class"    // chosen by the caller, sent with every answer
	HeaderDeadline = "Cicadawood-Deadline" // milliseconds, from the caller
	HeaderRun      = "Cicadawood-Run"      // on every refusal: no or unknown
	HeaderRequest  = "X-Request-Id"
)

// Run states whether a refused request was run.
type Run string

// Values of Run.
const (
	RunNo      Run = "no"      // certainly not run; safe to send again
	RunUnknown Run = "unknown" // may have run; ask the service instead of repeating it
)

// Codes of failures that are returned in more than one place.
const (
	codeCallerGone = "caller_gone"
	codeDeadline   = "deadline"
	codeQuarantine = "quarantine"
)

// statusGone is the status for a caller that closed its connection (nginx's 499).
const statusGone = 499

// failure is the response to a request that gets no answer from a backend server.
type failure struct {
	status     int
	code       string // machine-readable
	message    string // human-readable
	run        Run
	retryAfter time.Duration
}

// write sends the failure in the error format of the OpenAI API, which client libraries
// parse.
func (f failure) write(w http.ResponseWriter, q *request) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRun, string(f.run))
	h.Set(HeaderClass, q.class)
	h.Set(HeaderRequest, q.id)
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(f.body(q))
}

// event returns the failure as the last event of a stream.
func (f failure) event(q *request) []byte {
	body, err := json.Marshal(f.body(q))
	if err != nil {
		return nil
	}
	return append(append([]byte("data: "), body...), "\n\n"...)
}

func (f failure) body(q *request) any {
	type detail struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Param   *string `json:"param"`
		Code    string  `json:"code"`
		Class   string  `json:"class"`
		Run     Run     `json:"run"`
		Request string  `json:"request"`
		After   int64   `json:"retry_after_ms"`
	}
	kind := "server_error"
	switch {
	case f.status == http.StatusTooManyRequests:
		kind = "rate_limit_error"
	case f.status < 500:
		kind = "invalid_request_error"
	}
	return struct {
		Error detail `json:"error"`
	}{detail{Message: f.message, Type: kind, Code: f.code, Class: q.class, Run: f.run, Request: q.id, After: f.retryAfter.Milliseconds()}}
}

// refusalFailure returns the failure of a request that got no place.
func refusalFailure(err error) *failure {
	var r Refusal
	if errors.As(err, &r) {
		return &failure{status: http.StatusServiceUnavailable, code: r.Reason, message: "no backend server took the request: " + r.Reason, run: RunNo, retryAfter: r.RetryAfter}
	}
	return deadlineFailure()
}

// quarantinedFailure returns the failure of a quarantined request, or nil.
func (s *Server) quarantinedFailure(q *request) *failure {
	if s.quarantine == nil {
		return nil
	}
	retryAfter, quarantined := s.quarantine.Quarantined(q.fingerprint)
	if !quarantined {
		return nil
	}
	return &failure{status: http.StatusServiceUnavailable, code: codeQuarantine, message: "the request ended the backend servers that ran it, and is held back", run: RunNo, retryAfter: retryAfter}
}

func deadlineFailure() *failure {
	return &failure{status: http.StatusServiceUnavailable, code: codeDeadline, message: "the deadline passed", run: RunNo, retryAfter: defaultRetryAfter}
}

// tryFailure returns the failure of a request whose last try failed.
func tryFailure(err error) *failure {
	if errors.Is(err, forwarder.ErrNotRun) {
		return &failure{status: http.StatusServiceUnavailable, code: "worker_unreachable", message: "no backend server took the request", run: RunNo, retryAfter: defaultRetryAfter}
	}
	return &failure{status: http.StatusBadGateway, code: "answer_lost", message: "the answer was lost or broke off; the request may have run", run: RunUnknown, retryAfter: defaultRetryAfter}
}
