package server

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

const (
	lowestShare  = 0.8     // of a host's places, open to the lowest tier
	leastReserve = 8 << 10 // bytes a body is counted with
	leastBuffer  = 512
	readStep     = 32 << 10 // bytes by which a body of unknown length grows
)

// room is how many requests may be in flight for one of a tier to be let in:
// all places for the most urgent, a fifth less for the lowest, and in between
// by tier. So a host that fills up refuses the lowest tier first, and the most
// urgent one has places that no other can take.
func room(limit, tier, lowest int) int64 {
	if lowest <= 0 || tier <= 0 {
		return int64(limit)
	}
	part := (1 - lowestShare) * float64(min(tier, lowest)) / float64(lowest)
	return int64(float64(limit) * (1 - part))
}

// connectionsMost is how many connections of callers a host keeps, for each of
// its places: balancers keep idle ones.
const connectionsMost = 2

// boundConnections closes a connection that is one too many as soon as it is
// made. Callers that open connections and send nothing would otherwise use up the
// host's descriptors, whatever each of them is bounded to.
func (s *Server) boundConnections(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.connections.Add(1) > int64(connectionsMost*s.limits.Calls) {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.connections.Add(-1)
	}
}

// admit takes one of the host's places for a request, and returns how to give
// it back.
func (s *Server) admit(q *request, lowest int) (func(), *failure) {
	release := func() { s.calls.Add(-1) }
	if s.calls.Add(1) <= room(s.limits.Calls, q.tier, lowest) {
		return release, nil
	}
	release()
	return func() {}, &failure{status: http.StatusServiceUnavailable, code: "host_full", message: "this host has too many requests in flight", run: RunNo, after: comeBack}
}

// memory bounds the bytes of bodies and answers held at once.
type memory struct {
	limit int64
	used  atomic.Int64
}

// take reserves n bytes, or none.
func (m *memory) take(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *memory) give(n int64) { m.used.Add(-n) }

// hold is what one request has reserved of a memory.
type hold struct {
	memory *memory
	bytes  int64
}

func (h *hold) take(n int64) bool {
	if !h.memory.take(n) {
		return false
	}
	h.bytes += n
	return true
}

func (h *hold) release() {
	h.memory.give(h.bytes)
	h.bytes = 0
}

var errFull = errors.New("no memory left")

// readAll reads to the end of r, at most limit bytes, and reserves the memory
// before it takes it. It returns what it read also where it fails.
func (h *hold) readAll(r io.Reader, length, limit int64) ([]byte, error) {
	size := max(min(length, limit)+1, leastBuffer)
	if !h.take(max(size, leastReserve)) {
		return nil, errFull
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if !h.take(int64(cap(body)) + readStep) {
				return body, errFull
			}
			body = append(make([]byte, 0, 2*cap(body)+readStep), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		if int64(len(body)) > limit {
			return body, errTooLarge
		}
	}
}

var errTooLarge = errors.New("too large")

// readBody takes the caller's whole body, bounded.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, h *hold) ([]byte, *failure) {
	body, err := h.readAll(http.MaxBytesReader(w, r.Body, s.limits.Body), r.ContentLength, s.limits.Body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large), errors.Is(err, errTooLarge):
		return nil, &failure{status: http.StatusRequestEntityTooLarge, code: "body_too_large", message: fmt.Sprintf("the body is over %d bytes", s.limits.Body), run: RunNo}
	case errors.Is(err, errFull):
		return nil, &failure{status: http.StatusServiceUnavailable, code: "host_full", message: "this host holds too many bytes of requests and answers", run: RunNo, after: comeBack}
	case err != nil:
		return nil, &failure{status: http.StatusBadRequest, code: "body_unreadable", message: "the body did not arrive whole", run: RunNo}
	}
	return body, nil
}
