// Package connector sends requests to backend servers over kept HTTP/1.1
// connections, and says of each failure whether the request may have run.
//
// It differs from net/http's transport where a request must not run twice: it
// never sends anything again by itself, it looks at a kept connection before it
// uses it, it tells an answer of an earlier request from the one that is due, and
// it never reuses a connection whose request was not written to its end.
package connector

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Errors of a call. Anything else, ErrLost included, means that the request may
// have run.
var (
	// ErrNotSent says that no byte of the request left: no connection was made.
	ErrNotSent = errors.New("no connection to the backend server")
	// ErrLost says that the connection broke or went silent with the request on it.
	ErrLost = errors.New("the connection broke; the request may have run")
	// ErrClosedByPeer says that the backend server's end of the connection closed under the
	// request. It comes with ErrLost.
	ErrClosedByPeer = errors.New("the backend server ended it")
	// ErrMismatched says that the backend server's answer belongs to another request.
	ErrMismatched = errors.New("the answer belongs to another request")
)

const (
	// dialTimeout bounds the making of a connection. A worker that is gone without
	// a trace answers no handshake; the pages of the outside systems give no bound,
	// so it is a multiple of the slowest path within a region.
	dialTimeout = 400 * time.Millisecond
	// unacknowledged is how long sent bytes may stay unacknowledged before the
	// system breaks the connection.
	unacknowledged = 3 * time.Second
	// idleDefault is how long a connection is kept where the server names no time.
	idleDefault = 2 * time.Second
	// idleShare is the part of the server's idle time within which a connection is
	// used again: the rest is for the request's way to the server.
	idleShare = 0.6
	// idleMost is how many idle connections to one server are kept.
	idleMost = 32
)

// Call is one request for a backend server.
type Call struct {
	Method string
	Target string // path and query, as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// Matches says whether an answer's header is this request's. An answer that is
	// not is skipped: a late one of an earlier request may come first.
	Matches func(http.Header) bool
	// FreshOnly asks for a connection that has idled only briefly: for a request
	// that must not be repeated, a connection that dies under it loses it.
	FreshOnly bool
}

// Pool is the connections to all backend servers. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn // by address; the most recently used last
	closed bool
	dialer net.Dialer

	made, reused uint64
}

// New returns an empty pool and its clean-up.
func New() (*Pool, func()) {
	p := &Pool{idle: map[string][]*conn{}, dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: UserTimeoutControl(unacknowledged)}}
	return p, p.close
}

// Do sends a request to the backend server at address and returns its answer's
// head. The caller ends the answer with Close or Finish.
func (p *Pool) Do(ctx context.Context, address string, call Call) (*Answer, error) {
	c, err := p.get(ctx, address, call.FreshOnly)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	a, err := c.exchange(ctx, call)
	if err != nil {
		c.close()
		return nil, err
	}
	return a, nil
}

// Counts is the connections made, and the requests sent over a kept one.
func (p *Pool) Counts() (made, reused uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.made, p.reused
}

// HasIdle says whether a connection to address is kept.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// CloseIdle closes the idle connections to an address: its server has gone or was
// replaced.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// get takes an idle connection that still stands, or makes one.
func (p *Pool) get(ctx context.Context, address string, careful bool) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if c.usable(time.Now(), careful) {
			c.kept = true
			return c, nil
		}
		c.close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.made++
	p.mu.Unlock()
	return newConn(p, address, raw), nil
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	p.reused++
	return c
}

// put keeps a connection whose answer was read to its end.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if p.closed || len(list) >= idleMost {
		c.close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// CloseExpired closes the connections that idled too long. It is called now and then.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.fresh(now, false) {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			c.close()
		}
	}
	p.idle = map[string][]*conn{}
}
