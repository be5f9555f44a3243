package server

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"

	"github.com/cicadawood/cicadawood/reserver"
)

const (
	lowestTierShare = 0.8 // share of a host's places open to the lowest tier
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

// readBody reads the caller's whole body, up to the limit.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, h *reserver.Reservation) ([]byte, *failure) {
	body, err := h.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.MaxBody), r.ContentLength, s.limits.MaxBody)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large), errors.Is(err, reserver.ErrTooLarge):
		return nil, &failure{status: http.StatusRequestEntityTooLarge, code: "body_too_large", message: fmt.Sprintf("the body is over %d bytes", s.limits.MaxBody), run: RunNo}
	case errors.Is(err, reserver.ErrFull):
		return nil, &failure{status: http.StatusServiceUnavailable, code: "host_full", message: "this host holds too many bytes of requests and answers", run: RunNo, retryAfter: defaultRetryAfter}
	case err != nil:
		return nil, &failure{status: http.StatusBadRequest, code: "body_unreadable", message: "the body did not arrive whole", run: RunNo}
	}
	return body, nil
}
