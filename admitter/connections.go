// Package admitter decides which new connections of callers a host reads from. A balancer may hand
// one host many more than the others get. What the host does not read, callers send to another host
// at once; what it reads and can't serve is lost time for them.
//
// The package does no I/O and takes measurements as arguments.
package admitter

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// maxConnsPerCall is the number of caller connections accepted per place of a host. It
	// exceeds 1 because load balancers keep idle connections.
	maxConnsPerCall = 2
	// maxBusyShare is the part of a host's places that may be taken, or be expected by connections
	// that have brought no request yet, while it reads from new connections.
	maxBusyShare = 0.9
	// maxKeptShare is the part of a host's connections from which on it keeps none after its
	// answer.
	maxKeptShare = 0.5
)

// Reason is why a new connection is closed before anything is read from it.
type Reason string

// Reasons to close a new connection.
const (
	TooMany Reason = "connections" // the host has too many
	Busy    Reason = "busy"        // the host could not serve another request
	Slow    Reason = "slow"        // the host is behind with reading
)

// Connections counts the connections of callers. Its Limit must be set. It is safe for concurrent
// use.
type Connections struct {
	Limit int64   // requests in flight that the host has room for
	Gate  LagGate // measures how far the host is behind
	// SendAgain states that callers send a request again to another host if its connection is
	// closed unread. Only then is a connection closed for requests that the host can't serve.
	SendAgain bool

	states     sync.Map // of net.Conn, to connState
	open, busy atomic.Int64
}

// connState states that a connection has a request, or may bring its first one at any time.
type connState bool

// Reject returns why a new connection, which is counted already, should be closed unread, given a
// random number from 0 to 1; "" if it should not.
func (c *Connections) Reject(random float64) Reason {
	switch {
	case c.open.Load() > maxConnsPerCall*c.Limit:
		return TooMany
	case !c.SendAgain:
		return ""
	case float64(c.busy.Load()) > max(maxBusyShare*float64(c.Limit), 1):
		return Busy
	case !c.Gate.Admits(random):
		return Slow
	}
	return ""
}

// Keeps reports whether connections are kept after an answer.
func (c *Connections) Keeps() bool {
	return !c.SendAgain || float64(c.open.Load()) <= maxKeptShare*float64(maxConnsPerCall*c.Limit)
}

// Update counts a connection's change of state.
func (c *Connections) Update(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
		c.set(conn, true)
	case http.StateActive:
		c.set(conn, true)
	case http.StateIdle:
		c.set(conn, false)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
		c.set(conn, false)
		c.states.Delete(conn)
	}
}

// set records whether a connection has a request, or is new.
func (c *Connections) set(conn net.Conn, busy connState) {
	before, known := c.states.Swap(conn, busy)
	if known && before.(connState) == busy || !known && !bool(busy) {
		return
	}
	if busy {
		c.busy.Add(1)
		return
	}
	c.busy.Add(-1)
}
