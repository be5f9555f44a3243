package connector

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// confirmTimeout is the time for a backend server to show that it goes on: more than an engine's
// step, or a short request before it in its queue, takes.
const confirmTimeout = 400 * time.Millisecond

// errGone is the answer of another process at a backend server's address.
var errGone = errors.New("another server has the address")

// ConfirmEnd checks, after an answer that nothing but the end of its connection bounds was read to
// its end, that the backend server goes on: the kernel closes the connections of a process that ends
// in order, too, so that half an answer looks whole. Only what the process itself writes afterwards
// shows it. A connection that is open, or can be made, does not: the kernel holds it for a process
// that hangs or is ending.
//
// probe is a call that a running server answers at once and runs nothing for. With the zero Call, it
// is enough that a connection can be made. The error wraps ErrClosedByPeer if the server is gone, and
// ErrUnconfirmed if it gave no answer.
func (a *Answer) ConfirmEnd(probe Call) error {
	if a.Framed {
		return nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, confirmTimeout)
	defer cancel()
	made := a.witness.take()
	since, err := a.conn.pool.confirm(ctx, a.conn.address, made, probe)
	a.confirmedSince, a.byWitness = since, made != nil && since.Equal(made.openedAt)
	switch {
	case err == nil:
		return nil
	case refused(err), errors.Is(err, errGone):
		return fmt.Errorf("%w: %w: after an answer that ended with its connection: %v", ErrLost, ErrClosedByPeer, err)
	}
	return fmt.Errorf("%w: %w: %v", ErrLost, ErrUnconfirmed, err)
}

// refused reports whether the backend server's address refuses connections.
func refused(err error) bool {
	return errors.Is(err, ErrNotSent) && !errors.Is(err, ErrNoPath) && !errors.Is(err, ErrUnanswered) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled)
}

// confirm has a backend server answer a probe, on a connection that was made for it or on an idle one
// if there is one. It returns since when the process that answers runs at least.
func (p *Pool) confirm(ctx context.Context, address string, made *conn, probe Call) (time.Time, error) {
	if made != nil && (probe.Target == "" || !made.nothingReceived()) {
		made.close()
		made = nil
	}
	if probe.Target == "" {
		return time.Now(), p.connect(ctx, address)
	}
	if made != nil {
		since, err := probeOn(ctx, made, probe)
		if err == nil || !errors.Is(err, ErrClosedByPeer) {
			return since, err
		}
	}
	idle := p.HasIdle(address)
	since, err := p.probe(ctx, address, probe)
	if err == nil || !idle || !errors.Is(err, ErrClosedByPeer) {
		return since, err
	}
	// It may have been about to close that connection.
	p.CloseIdle(address)
	return p.probe(ctx, address, probe)
}

// probe sends a probe and reads its answer.
func (p *Pool) probe(ctx context.Context, address string, probe Call) (time.Time, error) {
	a, err := p.Do(ctx, address, probe)
	if err != nil {
		return time.Time{}, err
	}
	return a.OpenedAt(), a.endProbe()
}

// probeOn is probe on a connection.
func probeOn(ctx context.Context, c *conn, probe Call) (time.Time, error) {
	a, err := c.exchange(ctx, probe)
	if err != nil {
		c.close()
		return time.Time{}, err
	}
	return a.OpenedAt(), a.endProbe()
}

// endProbe reads the answer to a probe.
func (a *Answer) endProbe() error {
	defer a.Close()
	if a.Status == http.StatusMisdirectedRequest {
		return errGone
	}
	a.Discard()
	return nil
}

// connect makes a connection, and keeps it in place of the one that the answer used up.
func (p *Pool) connect(ctx context.Context, address string) error {
	raw, err := p.dialer.Dial(ctx, Target{Address: address})
	switch {
	case err == nil:
		p.keep(newConn(p, address, raw))
		return nil
	case ConnectResultOf(err) == ConnectTimeout:
		return fmt.Errorf("%w: %w: %w", ErrNotSent, ErrUnanswered, err)
	}
	return fmt.Errorf("%w: %w", ErrNotSent, err)
}

// keep adds a connection that has not been used yet.
func (p *Pool) keep(c *conn) {
	if c.via != "" {
		c.close()
		return
	}
	p.mu.Lock()
	p.created++
	p.mu.Unlock()
	c.idleSince = time.Now()
	p.put(c)
}
