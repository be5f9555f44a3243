package connector

import (
	"errors"
	"fmt"
	"time"
)

// confirmTimes are the times after an answer that ended with its connection at which an idle
// connection to its backend server must still be open: a process that ends closes its connections
// one after the other.
var confirmTimes = []time.Duration{5 * time.Millisecond, 10 * time.Millisecond}

// ConfirmEnd checks, after an answer that nothing but the end of its connection bounds was read to
// its end, that the backend server goes on. The kernel closes the connections of a process that was
// killed in order, too, so that half an answer looks whole. It returns an error that wraps
// ErrClosedByPeer if the server is gone, and one that wraps ErrUnconfirmed if no host knows: only a
// connection that is made afterwards shows it, or an open idle one if the server is not about to
// end. The connection that it makes is kept in place of the one that the answer used up.
func (a *Answer) ConfirmEnd() error {
	if a.Framed {
		return nil
	}
	if a.conn.pool.staysOpen(a.conn.address) {
		return nil
	}
	raw, err := a.conn.pool.dialer.Dial(a.ctx, Target{Address: a.conn.address})
	if err != nil {
		silent := ConnectResultOf(err) == ConnectTimeout && a.conn.via == ""
		if errors.Is(err, ErrNoPath) || silent || a.ctx.Err() != nil {
			return fmt.Errorf("%w: %w: %v", ErrLost, ErrUnconfirmed, err)
		}
		return fmt.Errorf("%w: %w: after an answer that ended with its connection: %v", ErrLost, ErrClosedByPeer, err)
	}
	a.conn.pool.keep(newConn(a.conn.pool, a.conn.address, raw))
	return nil
}

// staysOpen reports whether an idle connection to a steady server stays open for confirmTimes.
func (p *Pool) staysOpen(address string) bool {
	for _, d := range confirmTimes {
		time.Sleep(d)
		if !p.steady(address) || !p.hasOpen(address) {
			return false
		}
	}
	return true
}

// SetSteady sets the addresses of the backend servers that are known and not leaving. Others may end
// at any moment. Before it is called, all are taken for steady.
func (p *Pool) SetSteady(addresses map[string]bool) { p.steadyServers.Store(&addresses) }

func (p *Pool) steady(address string) bool {
	known := p.steadyServers.Load()
	return known == nil || (*known)[address]
}

// hasOpen reports whether an idle connection to an address is open.
func (p *Pool) hasOpen(address string) bool {
	c := p.take(address)
	if c == nil {
		return false
	}
	if !c.usable(time.Now(), false) {
		c.close()
		return false
	}
	p.put(c)
	return true
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
