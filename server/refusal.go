package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers between callers and the system.
const (
	HeaderClass    = "Cicadawood-Class"    // chosen by the caller, told on every refusal
	HeaderDeadline = "Cicadawood-Deadline" // milliseconds, from the caller
	HeaderRun      = "Cicadawood-Run"      // on every refusal: no, or unknown
	HeaderRequest  = "X-Request-Id"
)

// Run says whether a refused request ran.
type Run string

// Values of Run.
const (
	RunNo      Run = "no"      // certainly not run: safe to send again
	RunUnknown Run = "unknown" // may have run: do not repeat, ask the service
)

// failure is the answer to a request that gets no answer from a backend server.
type failure struct {
	status  int
	code    string // for programs
	message string // for people
	run     Run
	after   time.Duration
}

// write sends the failure in the error form of the OpenAI interface, which
// client libraries parse.
func (f failure) write(w http.ResponseWriter, class, request string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRun, string(f.run))
	h.Set(HeaderClass, class)
	h.Set(HeaderRequest, request)
	if f.after > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.after.Seconds()))))
	}
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(f.body(class, request))
}

func (f failure) body(class, request string) any {
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
	if f.status < 500 {
		kind = "invalid_request_error"
	}
	return struct {
		Error detail `json:"error"`
	}{detail{Message: f.message, Type: kind, Code: f.code, Class: class, Run: f.run, Request: request, After: f.after.Milliseconds()}}
}
