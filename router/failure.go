package router

import (
	"encoding/json"
	"net/http"
	"time"
)

// failure is an answer that the system gives itself.
type failure struct {
	status int
	code   string // for programs and logs
	after  time.Duration
	close  bool // the connection ends with the answer
}

// Codes of failures.
const (
	codeUnconfigured = "no_configuration"
	codeNoRoute      = "route_not_found"
	codeKey          = "invalid_api_key"
	codeHeader       = "header_too_large"
	codeBody         = "body_too_large"
	codeUnreadable   = "body_unreadable"
	codeFull         = "host_full"
	codeGone         = "caller_gone"
	codeTimeout      = "timeout"
	codeNotRun       = "worker_refused"
	codeUnreachable  = "worker_unreachable"
	codeBudget       = "retry_budget"
	codeLost         = "answer_lost"
	codeCut          = "answer_cut"
)

// statusGone is what a caller that went away would have been told.
const statusGone = 499

const (
	// comeBack is what a caller is told where nothing better is known.
	comeBack = 500 * time.Millisecond
	// comeBackSoon is the same where another worker may do at once.
	comeBackSoon = 100 * time.Millisecond
)

// gaveUp is the answer to a request that has got none. It is the one place that
// decides between the promise that the request was not run and never will be, and
// a status that promises nothing: exposed says that a worker may have run it.
func gaveUp(exposed bool, code string, after time.Duration) *failure {
	switch {
	case !exposed:
		return &failure{status: http.StatusServiceUnavailable, code: code, after: after}
	case code == codeTimeout:
		return &failure{status: http.StatusGatewayTimeout, code: code}
	default:
		return &failure{status: http.StatusBadGateway, code: code}
	}
}

// promises says whether a status tells a caller that its request was not run. A
// worker's own answer with such a status can't be passed on unless the worker
// says so, too.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// write sends the failure.
func (f *failure) write(w http.ResponseWriter, d Dialect, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if f.close {
		h.Set("Connection", "close")
	}
	d.WriteAnswer(h, id, f.after)
	w.WriteHeader(f.status)
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{f.code})
	if err == nil {
		_, err = w.Write(body)
	}
	_ = err // the caller has gone
}
