package server

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/router"
)

// forwardedHeader returns the caller's headers that are sent to a backend server.
func forwardedHeader(h http.Header) http.Header {
	out := router.EndToEndHeader(h)
	out.Del("Authorization")
	out.Del(HeaderClass)
	out.Del(HeaderDeadline)
	return out
}

// delivery is the part of an answer written to the caller so far, across all tries of
// its request.
type delivery struct {
	w             http.ResponseWriter
	control       *http.ResponseController
	q             *request
	writeTimeout  time.Duration
	writeDeadline time.Time // write deadline currently set on the connection

	headSent   bool // the response head has been written
	headSentAt time.Time
	stream     bool // the answer is an event stream
	tokens     int
	finished   bool   // the engine has sent a finish reason
	usage      int    // tokens as counted by the engine; 0 if not stated yet
	software   string // that the engine which began the answer stated; "" if it stated none
}

func newDelivery(w http.ResponseWriter, q *request, writeTimeout time.Duration) *delivery {
	return &delivery{w: w, control: http.NewResponseController(w), q: q, writeTimeout: writeTimeout}
}

// totalTokens returns the number of tokens of the answer, as counted by the engine if it
// states it.
func (d *delivery) totalTokens() int { return max(d.tokens, d.usage) }

// extendDeadline allows the caller writeTimeout to accept the next write. Without a
// deadline, a caller that stops reading would occupy its place, and memory,
// indefinitely.
func (d *delivery) extendDeadline() {
	now := time.Now()
	if d.writeDeadline.Sub(now) < d.writeTimeout*3/4 {
		d.writeDeadline = now.Add(d.writeTimeout)
		_ = d.control.SetWriteDeadline(d.writeDeadline)
	}
}

// writeHead starts the answer with a backend server's head.
func (d *delivery) writeHead(a *forwarder.Answer, length int64) {
	h := d.w.Header()
	for k, v := range router.EndToEndHeader(a.Header) {
		h[k] = v
	}
	d.software = a.Header.Get(forwarder.HeaderSoftware)
	for _, name := range []string{forwarder.HeaderResumed, forwarder.HeaderRun, forwarder.HeaderSoftware} {
		h.Del(name)
	}
	if length >= 0 {
		h.Set("Content-Length", fmt.Sprint(length))
	}
	h.Set(HeaderRequest, d.q.id)
	h.Set(HeaderClass, d.q.class)
	d.headSent, d.headSentAt = true, time.Now()
	d.extendDeadline()
	d.w.WriteHeader(a.Status)
}

// write writes a piece of the body to the caller.
func (d *delivery) write(p []byte) error {
	d.extendDeadline()
	if _, err := d.w.Write(p); err != nil {
		return fmt.Errorf("%w: %v", errCallerWrite, err)
	}
	return nil
}

func (d *delivery) flush() error {
	if err := d.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("%w: %v", errCallerWrite, err)
	}
	return nil
}

// fail ends the answer with a failure. If an event stream has begun, the failure is sent
// as an event, without an end marker. Any other answer that has begun must be aborted:
// its connection is reset, so that the caller can't take it for complete.
func (d *delivery) fail(f *failure) (abort bool) {
	d.extendDeadline()
	switch {
	case !d.headSent:
		f.write(d.w, d.q)
	case d.stream:
		_ = d.write(f.event(d.q))
		_ = d.flush()
	default:
		return true
	}
	return false
}
