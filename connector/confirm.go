package connector

import (
	"errors"
	"fmt"
	"time"
)

// confirmTime is how long the backend server's process must go on after an answer that ended with
// its connection: a process that ends closes its connections one after the other.
const confirmTime = 5 * time.Millisecond

// ConfirmEnd checks, after an answer that nothing but the end of its connection bounds was read to
// its end, that the backend server goes on. The kernel closes the connections of a process that was
// killed in order, too, so that half an answer looks whole. It returns an error that wraps
// ErrClosedByPeer if the server is gone, and one that wraps ErrUnconfirmed if no host knows: only a
// host that connects to the server can tell. The connection that it makes is kept in place of the
// one that the answer used up.
func (a *Answer) ConfirmEnd() error {
	if a.Framed {
		return nil
	}
	time.Sleep(confirmTime)
	if a.conn.pool.hasOpen(a.conn.address) {
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
