// Package connector sends requests to backend servers over persistent HTTP/1.1
// connections, and reports for each failure whether the request may have run.
//
// It differs from net/http's transport to prevent requests from running twice: it never
// resends a request by itself, checks an idle connection before reusing it, detects late
// answers to earlier requests, and never reuses a connection whose request was not
// completely written.
package connector

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cicadawood/cicadawood/reserver"
)

// Errors of a call. With any error but ErrNotSent, including ErrLost, the request may
// have run.
var (
	// ErrNotSent means that no connection was made and no byte of the request was sent.
	ErrNotSent = errors.New("no connection to the backend server")
	// ErrUnanswered means that there was no answer to the handshake in time. It is wrapped
	// together with ErrNotSent.
	ErrUnanswered = errors.New("no answer to the handshake")
	// ErrUnconfirmed means that an answer ended with its connection, and that no host knows
	// whether its server goes on.
	ErrUnconfirmed = errors.New("the end of the answer is not confirmed")
	// ErrNoPath means that this host can't connect, and that this says nothing about the
	// backend server. It is wrapped together with ErrNotSent.
	ErrNoPath = errors.New("no path to the backend server")
	// ErrDetour means that a connection through another host failed before it reached the
	// backend server, or between the hosts: it says nothing about the backend server.
	ErrDetour = errors.New("the connection through another host failed")
	// ErrLost means that the connection failed or went silent after the request was
	// sent.
	ErrLost = errors.New("the connection broke; the request may have run")
	// ErrClosedByPeer means that the backend server closed or reset the connection
	// during the request. It is wrapped together with ErrLost.
	ErrClosedByPeer = errors.New("the backend server closed the connection")
	// ErrMismatched means that the backend server's answer belongs to another request.
	ErrMismatched = errors.New("the answer belongs to another request")
	// ErrMalformed means that the head or the trailer of the backend server's answer is none
	// of HTTP's. It is wrapped together with ErrLost.
	ErrMalformed = errors.New("the answer is malformed")
)

const (
	// userTimeout is how long sent data may stay unacknowledged before the system closes
	// the connection.
	userTimeout = 3 * time.Second
	// defaultKeepAlive is how long an idle connection is kept if the server states no
	// time.
	defaultKeepAlive = 2 * time.Second
	// maxIdleShare is the share of the server's keep-alive time within which an idle
	// connection is reused. The rest covers the transit time of the request.
	maxIdleShare = 0.6
	// maxIdlePerServer is the maximum number of idle connections to one server.
	maxIdlePerServer = 32
)

// Call is one request for a backend server.
type Call struct {
	Request string // ID of the request, for logs
	// Connected, if set, gets the name of the host through which the connection leads, or
	// "" for a direct one.
	Connected func(via string)
	Method    string
	Target    string // path and query, as received from the caller
	Host      string
	Header    http.Header
	Body      []byte
	// Matches reports whether an answer's header belongs to this request. Other answers
	// are skipped: a late answer to an earlier request may arrive first.
	Matches func(http.Header) bool
	// Skipped, if set, gets the head of each skipped answer. What a server states about
	// itself there still holds.
	Skipped func(status int, h http.Header)
	// FreshOnly requires a connection that has been idle only briefly. It is set for
	// requests that must not be repeated, which are lost if the server closes the
	// connection while they are being sent.
	FreshOnly bool
}

// Pool holds the connections to all backend servers. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	idle    map[string][]*conn // by address; the most recently used last
	closed  bool
	dialer  Dialer
	maxHead int64            // bytes of an answer's head
	memory  *reserver.Memory // for heads

	created, reused uint64
}

// New returns an empty pool and its clean-up function.
func New(d Dialer) (*Pool, func()) {
	p := &Pool{idle: map[string][]*conn{}, dialer: d, maxHead: DefaultMaxHead, memory: new(reserver.Memory)}
	return p, p.close
}

// SetMaxHead sets the limit on the bytes of an answer's head, before the pool is used.
func (p *Pool) SetMaxHead(bytes int64) { p.maxHead = bytes }

// SetMemory sets the memory that heads of answers are reserved from, before the pool is used.
func (p *Pool) SetMemory(m *reserver.Memory) { p.memory = m }

// Do sends a request to the backend server at address and returns the head of its
// answer. The caller must end the answer with Close or Finish.
func (p *Pool) Do(ctx context.Context, address string, call Call) (*Answer, error) {
	c, err := p.get(ctx, Target{Address: address, Request: call.Request}, call.FreshOnly)
	if err != nil {
		if errors.Is(err, ErrNoPath) {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, context.Cause(ctx))
		}
		if ConnectResultOf(err) == ConnectTimeout {
			return nil, fmt.Errorf("%w: %w: %v", ErrNotSent, ErrUnanswered, err)
		}
		return nil, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	if call.Connected != nil {
		call.Connected(c.via)
	}
	a, err := c.exchange(ctx, call)
	if err != nil {
		c.close()
		return nil, err
	}
	return a, nil
}

// Counts returns the number of connections made, and of idle connections taken for
// reuse.
func (p *Pool) Counts() (created, reused uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.created, p.reused
}

// HasIdle reports whether there is an idle connection to address.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// CloseIdle closes the idle connections to an address. It is called when the server at
// it is gone or was replaced.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// CloseAllIdle closes all idle connections. It is called when this host has lost its links
// to a server: the others may hang as well.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.close()
		}
	}
}

// get returns a usable idle connection, or makes a new one.
func (p *Pool) get(ctx context.Context, t Target, freshOnly bool) (*conn, error) {
	for {
		c := p.take(t.Address)
		if c == nil {
			break
		}
		if c.usable(time.Now(), freshOnly) {
			c.reused = true
			return c, nil
		}
		c.close()
	}
	raw, err := p.dialer.Dial(ctx, t)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.created++
	p.mu.Unlock()
	return newConn(p, t.Address, raw), nil
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

// put returns a connection to the pool after its answer was read to its end.
func (p *Pool) put(c *conn) {
	c.limiter.reserved.Release()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if p.closed || len(list) >= maxIdlePerServer {
		c.close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// CloseExpired closes connections that have been idle for too long. It is called
// periodically.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		freshConns := list[:0]
		for _, c := range list {
			if c.fresh(now, false) {
				freshConns = append(freshConns, c)
				continue
			}
			c.close()
		}
		if len(freshConns) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = freshConns
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
