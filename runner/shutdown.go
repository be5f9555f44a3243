package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"
)

// maxLoggedRequests bounds the request IDs in the log line about aborted requests.
const maxLoggedRequests = 50

// flushTimeout bounds the time for sending the last messages to other hosts.
const flushTimeout = time.Second

// ErrAborted means that a shutdown aborted requests that were still in flight.
var ErrAborted = errors.New("requests were aborted")

// Drain starts a graceful shutdown.
func (h *Host) Drain() { h.drainOnce.Do(func() { close(h.drainRequested) }) }

// shutdown ends the host without aborting a request: it reports unready, gives the balancer
// time to notice, and waits for the requests in flight. Meanwhile its record is marked as
// leaving, so that its roles move to other hosts, which rebuild the state from the entry
// hosts. The drain limit, or abort, ends it immediately.
func (h *Host) shutdown(abort <-chan struct{}) error {
	h.log.Info("leaving", zap.Int64("inflight", h.server.InFlight()))
	h.server.Drain()
	h.tunnels.Stop()
	h.registrar.Leave()
	limit := h.settings.Limits.UnreadyDelay.Std() + h.settings.Limits.DrainTimeout.Std()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	defer h.cancelOn(abort, cancel)()
	unreadyTimer := time.NewTimer(h.settings.Limits.UnreadyDelay.Std())
	defer unreadyTimer.Stop()
	select {
	case <-unreadyTimer.C:
	case <-ctx.Done():
	}
	if err := h.server.Shutdown(ctx); err != nil {
		return h.abort(err)
	}
	if remaining := h.tunnels.WaitIdle(ctx); remaining > 0 {
		h.log.Error("left", zap.Int64("tunnels", remaining), zap.Int64("cut", 0))
		return fmt.Errorf("%w: %d tunnels of other hosts", ErrAborted, remaining)
	}
	if remaining := h.control.waitOnceIdle(ctx); remaining > 0 {
		h.log.Error("left", zap.Int("operations", remaining), zap.Int64("cut", 0))
		return fmt.Errorf("%w: %d operations of other hosts", ErrAborted, remaining)
	}
	h.log.Info("left", zap.Int64("cut", 0))
	return nil
}

// cancelOn calls cancel when abort is closed. The function returned ends its goroutine.
func (h *Host) cancelOn(abort <-chan struct{}, cancel func()) func() {
	done := make(chan struct{})
	go func() {
		select {
		case <-abort:
			h.log.Warn("hurried")
			cancel()
		case <-done:
		}
	}()
	return func() { close(done) }
}

// abort aborts the requests still in flight and logs their IDs.
func (h *Host) abort(err error) error {
	count := h.server.InFlight()
	var requests []string
	for id := range h.State().Calls {
		if len(requests) < maxLoggedRequests {
			requests = append(requests, id)
		}
	}
	h.log.Error("left", zap.Int64("cut", count), zap.Strings("requests", requests), zap.Error(err))
	h.server.AbortAll()
	return fmt.Errorf("%w: %d", ErrAborted, count)
}

// flush gives the last messages time to arrive.
func (h *Host) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	h.messenger.Flush(ctx)
}

// State returns the host's complete state.
func (h *Host) State() State {
	reply := make(chan State, 1)
	s := State{Name: h.settings.Name, Roles: []string{}}
	if h.control.post(stateRequested{reply: reply}) {
		select {
		case s = <-reply:
		case <-h.control.ended:
		}
	}
	s.Zone, s.Ready, s.Leaving, s.Inflight = h.settings.Zone, h.server.Ready(), h.server.Draining(), h.server.InFlight()
	s.Membership, s.Messenger = h.registrar.Counts(), h.messenger.Counts()
	s.Configuration, s.Reach = h.follower.Status(), h.tunnels.State()
	if h.routes != nil {
		b := h.routes.selector.routingState()
		s.Routing = &b
	}
	return s
}
