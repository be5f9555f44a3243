package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"
)

// cutsLogged bounds the request ids in the line that says what was cut.
const cutsLogged = 50

// flushTimeout is how long the last messages to other hosts may take.
const flushTimeout = time.Second

// ErrCut says that a shutdown ended before the requests in flight had.
var ErrCut = errors.New("requests were cut")

// Drain begins a graceful shutdown.
func (h *Host) Drain() { h.once.Do(func() { close(h.leaving) }) }

// shutdown ends the host without cutting a request: unready first, then time
// for the balancer to notice, then the requests in flight. Meanwhile its record
// says that it is leaving, so that its roles move to other hosts; they rebuild
// the state from the entries. The drain limit, or hurry, ends it at once.
func (h *Host) shutdown(hurry <-chan struct{}) error {
	h.log.Info("leaving", zap.Int64("inflight", h.server.InFlight()))
	h.server.Drain()
	h.registrar.Leave()
	limit := h.settings.Limits.UnreadyDelay.Std() + h.settings.Limits.DrainTimeout.Std()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	defer h.hasten(hurry, cancel)()
	settled := time.NewTimer(h.settings.Limits.UnreadyDelay.Std())
	defer settled.Stop()
	select {
	case <-settled.C:
	case <-ctx.Done():
	}
	if err := h.server.Shutdown(ctx); err != nil {
		return h.cut(err)
	}
	if left := h.control.settleOnce(ctx); left > 0 {
		h.log.Error("left", zap.Int("operations", left), zap.Int64("cut", 0))
		return fmt.Errorf("%w: %d operations of other hosts", ErrCut, left)
	}
	h.log.Info("left", zap.Int64("cut", 0))
	return nil
}

// hasten cancels when hurry is closed; the result ends its goroutine.
func (h *Host) hasten(hurry <-chan struct{}, cancel func()) func() {
	done := make(chan struct{})
	go func() {
		select {
		case <-hurry:
			h.log.Warn("hurried")
			cancel()
		case <-done:
		}
	}()
	return func() { close(done) }
}

// cut ends the requests still in flight, and says which.
func (h *Host) cut(err error) error {
	count := h.server.InFlight()
	var requests []string
	for id := range h.State().Calls {
		if len(requests) < cutsLogged {
			requests = append(requests, id)
		}
	}
	h.log.Error("left", zap.Int64("cut", count), zap.Strings("requests", requests), zap.Error(err))
	h.server.AbortAll()
	return fmt.Errorf("%w: %d", ErrCut, count)
}

// flush gives the last messages time to arrive.
func (h *Host) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	h.messenger.Flush(ctx)
}

// State is the host's whole state.
func (h *Host) State() State {
	reply := make(chan State, 1)
	s := State{Name: h.settings.Name, Roles: []string{}}
	if h.control.post(stateAsked{reply: reply}) {
		select {
		case s = <-reply:
		case <-h.control.ended:
		}
	}
	s.Zone, s.Ready, s.Leaving, s.Inflight = h.settings.Zone, h.server.Ready(), h.server.Draining(), h.server.InFlight()
	s.Membership, s.Messenger = h.registrar.Counts(), h.messenger.Counts()
	s.Configuration = h.following.Status()
	if h.routing != nil {
		b := h.routing.choosing.beliefs()
		s.Beliefs = &b
	}
	return s
}
