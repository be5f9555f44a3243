package router

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// errCallerWrite is returned when a write to the caller's connection fails.
var errCallerWrite = errors.New("writing to the caller failed")

// delivery is the part of an answer written to the caller so far, across all sends of
// its request.
type delivery struct {
	w             http.ResponseWriter
	control       *http.ResponseController
	writeTimeout  time.Duration
	writeDeadline time.Time // write deadline currently set on the connection

	headSent     bool // the response head has been written
	status       int
	firstPiece   time.Time
	lastPiece    time.Time     // time of the latest write
	longestPause time.Duration // longest time between two writes
	bytes        int
}

// extendDeadline allows the caller writeTimeout to accept the next write. Without a
// deadline, a caller that stops reading would occupy its worker, and memory,
// indefinitely.
func (d *delivery) extendDeadline() {
	now := time.Now()
	if d.writeDeadline.Sub(now) >= d.writeTimeout*3/4 {
		return
	}
	d.writeDeadline = now.Add(d.writeTimeout)
	// If the deadline can't be set, the connection is closed, and the next write returns
	// the error.
	_ = d.control.SetWriteDeadline(d.writeDeadline)
}

// writeHead starts the answer with the head of a worker's answer. length is -1 if
// unknown.
func (d *delivery) writeHead(status int, from http.Header, length int) {
	h := d.w.Header()
	connection := h.Get("Connection")
	for name, values := range EndToEndHeader(from) {
		h[name] = values
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // suppresses the type that net/http would detect
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	d.headSent, d.status = true, status
	d.extendDeadline()
	d.w.WriteHeader(status)
}

// write writes a piece of the body to the caller.
func (d *delivery) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	d.extendDeadline()
	d.recordPiece(time.Now())
	n, err := d.w.Write(p)
	d.bytes += n
	if err != nil {
		return fmt.Errorf("%w: %v", errCallerWrite, err)
	}
	return nil
}

// recordPiece updates the times of the first write, the latest write and the longest
// pause.
func (d *delivery) recordPiece(now time.Time) {
	if d.firstPiece.IsZero() {
		d.firstPiece = now
	} else {
		d.longestPause = max(d.longestPause, now.Sub(d.lastPiece))
	}
	d.lastPiece = now
}

func (d *delivery) flush() error {
	if err := d.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("%w: %v", errCallerWrite, err)
	}
	return nil
}
