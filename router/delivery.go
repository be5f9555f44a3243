package router

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// errCaller says that the caller takes nothing more.
var errCaller = errors.New("the caller takes nothing more")

// delivery is what a caller has been given, over all sends of its request.
type delivery struct {
	w       http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
	until   time.Time // write deadline that is set

	begun  bool // the head went out
	status int
	first  time.Time
	latest time.Time     // of the last piece
	pause  time.Duration // the longest between two pieces
	bytes  int
}

// bound gives the caller time to take the next piece: one that takes nothing would
// hold its worker, and memory, for ever.
func (d *delivery) bound() {
	now := time.Now()
	if d.until.Sub(now) >= d.stall*3/4 {
		return
	}
	d.until = now.Add(d.stall)
	// A connection that can't be bounded is one that is gone: the write says so.
	_ = d.control.SetWriteDeadline(d.until)
}

// head begins the answer with a worker's head. length is -1 where it is not known.
func (d *delivery) head(status int, from http.Header, length int) {
	h := d.w.Header()
	ending := h.Get("Connection")
	for name, values := range EndToEndHeader(from) {
		h[name] = values
	}
	if ending != "" {
		h.Set("Connection", ending)
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // net/http would guess one
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	d.begun, d.status = true, status
	d.bound()
	d.w.WriteHeader(status)
}

// write gives the caller a piece of the answer.
func (d *delivery) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	d.bound()
	d.note(time.Now())
	n, err := d.w.Write(p)
	d.bytes += n
	if err != nil {
		return fmt.Errorf("%w: %v", errCaller, err)
	}
	return nil
}

// note takes the time of a piece.
func (d *delivery) note(now time.Time) {
	if d.first.IsZero() {
		d.first = now
	} else {
		d.pause = max(d.pause, now.Sub(d.latest))
	}
	d.latest = now
}

func (d *delivery) flush() error {
	if err := d.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("%w: %v", errCaller, err)
	}
	return nil
}
