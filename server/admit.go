package server

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
)

const (
	lowestTierShare = 0.8     // share of a host's places open to the lowest tier
	minReserveBytes = 8 << 10 // minimum reserved per body
	minBufferBytes  = 512
	growBytes       = 32 << 10 // growth of a buffer for a body of unknown length
)

// maxInFlight returns the maximum number of requests in flight, including the new one,
// for a request of a tier to be admitted: all places for the most urgent tier, 20% fewer
// for the lowest, and proportionally in between. A host that fills up refuses the lowest
// tier first, and some places are open only to the most urgent.
func maxInFlight(limit, tier, lowest int) int64 {
	if lowest <= 0 || tier <= 0 {
		return int64(limit)
	}
	reservedShare := (1 - lowestTierShare) * float64(min(tier, lowest)) / float64(lowest)
	return int64(float64(limit) * (1 - reservedShare))
}

// limitConnections closes new connections that the host could not serve, before anything is read.
// Otherwise, callers that open connections without sending requests could use up the host's file
// descriptors, even though each connection is bounded by time-outs.
func (s *Server) limitConnections(c net.Conn, state http.ConnState) {
	s.connections.Update(c, state)
	if state != http.StateNew {
		return
	}
	if why := s.connections.Reject(rand.Float64()); why != "" {
		s.metrics.unread.WithLabelValues(string(why)).Inc()
		_ = c.Close()
	}
}

// admit takes one of the host's places for a request. The returned function releases it.
func (s *Server) admit(q *request, lowest int) (func(), *failure) {
	release := func() { s.inFlight.Add(-1) }
	if s.inFlight.Add(1) <= maxInFlight(s.limits.MaxCalls, q.tier, lowest) {
		return release, nil
	}
	release()
	return func() {}, &failure{status: http.StatusServiceUnavailable, code: "host_full", message: "this host has too many requests in flight", run: RunNo, retryAfter: defaultRetryAfter}
}

// memory bounds the bytes of bodies and answers in memory.
type memory struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes, or none if they don't fit.
func (m *memory) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *memory) free(n int64) { m.used.Add(-n) }

// reservation is the part of a memory reserved by one request.
type reservation struct {
	memory *memory
	bytes  int64
}

func (h *reservation) reserve(n int64) bool {
	if !h.memory.reserve(n) {
		return false
	}
	h.bytes += n
	return true
}

func (h *reservation) release() {
	h.memory.free(h.bytes)
	h.bytes = 0
}

var errMemoryFull = errors.New("buffer memory exhausted")

// readAll reads to the end of r, at most limit bytes, and reserves memory before
// allocating it. On failure, it also returns what it has read.
func (h *reservation) readAll(r io.Reader, length, limit int64) ([]byte, error) {
	size := max(min(length, limit)+1, minBufferBytes)
	if !h.reserve(max(size, minReserveBytes)) {
		return nil, errMemoryFull
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if !h.reserve(int64(cap(body)) + growBytes) {
				return body, errMemoryFull
			}
			body = append(make([]byte, 0, 2*cap(body)+growBytes), body...)
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

var errTooLarge = errors.New("body too large")

// readBody reads the caller's whole body, up to the limit.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, h *reservation) ([]byte, *failure) {
	body, err := h.readAll(http.MaxBytesReader(w, r.Body, s.limits.MaxBody), r.ContentLength, s.limits.MaxBody)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large), errors.Is(err, errTooLarge):
		return nil, &failure{status: http.StatusRequestEntityTooLarge, code: "body_too_large", message: fmt.Sprintf("the body is over %d bytes", s.limits.MaxBody), run: RunNo}
	case errors.Is(err, errMemoryFull):
		return nil, &failure{status: http.StatusServiceUnavailable, code: "host_full", message: "this host holds too many bytes of requests and answers", run: RunNo, retryAfter: defaultRetryAfter}
	case err != nil:
		return nil, &failure{status: http.StatusBadRequest, code: "body_unreadable", message: "the body did not arrive whole", run: RunNo}
	}
	return body, nil
}
