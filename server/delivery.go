package server

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/router"
)

// passed is the headers of a caller that a backend server gets.
func passed(h http.Header) http.Header {
	out := router.EndToEndHeader(h)
	out.Del("Authorization")
	out.Del(HeaderClass)
	out.Del(HeaderDeadline)
	return out
}

// delivery is what a caller has been given, over all tries of its request.
type delivery struct {
	w       http.ResponseWriter
	control *http.ResponseController
	q       *request
	stall   time.Duration
	until   time.Time // write deadline that is set

	begun    bool // the head went out
	first    time.Time
	stream   bool // the head was an event stream's
	tokens   int
	finished bool // the engine told why the answer ends
	usage    int  // tokens as the engine counts; 0 until told
}

func newDelivery(w http.ResponseWriter, q *request, stall time.Duration) *delivery {
	return &delivery{w: w, control: http.NewResponseController(w), q: q, stall: stall}
}

// total is the tokens of the answer, as the engine counts where it does.
func (d *delivery) total() int { return max(d.tokens, d.usage) }

// bound gives the caller stall to take the next piece. A caller that takes
// nothing would otherwise hold its place, and memory, for ever.
func (d *delivery) bound() {
	now := time.Now()
	if d.until.Sub(now) < d.stall*3/4 {
		d.until = now.Add(d.stall)
		_ = d.control.SetWriteDeadline(d.until)
	}
}

// head begins the answer with a backend server's head.
func (d *delivery) head(a *forwarder.Answer, length int64) {
	h := d.w.Header()
	for k, v := range router.EndToEndHeader(a.Header) {
		h[k] = v
	}
	for _, name := range []string{forwarder.HeaderResumed, forwarder.HeaderRun} {
		h.Del(name)
	}
	if length >= 0 {
		h.Set("Content-Length", fmt.Sprint(length))
	}
	h.Set(HeaderRequest, d.q.id)
	h.Set(HeaderClass, d.q.class)
	d.begun, d.first = true, time.Now()
	d.bound()
	d.w.WriteHeader(a.Status)
}

// write gives the caller a piece of the answer.
func (d *delivery) write(p []byte) error {
	d.bound()
	if _, err := d.w.Write(p); err != nil {
		return fmt.Errorf("%w: %v", errCaller, err)
	}
	return nil
}

func (d *delivery) flush() error {
	if err := d.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("%w: %v", errCaller, err)
	}
	return nil
}

// fail ends the answer with a failure. An event stream that has begun gets it
// as an event, and no end mark. Any other answer that has begun is aborted: its
// connection is reset, so that it can't be taken for whole.
func (d *delivery) fail(f *failure) (abort bool) {
	d.bound()
	switch {
	case !d.begun:
		f.write(d.w, d.q)
	case d.stream:
		_ = d.write(f.event(d.q))
		_ = d.flush()
	default:
		return true
	}
	return false
}
