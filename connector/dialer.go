package connector

import (
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cicadawood/cicadawood/checker"
)

// Target is a backend server to connect to, and the request that needs the connection.
type Target struct {
	Address string // IP:port
	Request string // ID of the request, for logs; "" if there is none
}

// Dialer is the port to the component that connects to backend servers. A Conn that has
// a method Via() string leads through the host that it names, and is not reused.
type Dialer interface {
	// Dial connects to a backend server. The error wraps ErrNoPath if it says nothing about
	// the backend server.
	Dial(ctx context.Context, t Target) (net.Conn, error)
	// Lost reports whether this host can't connect to the backend server at an address, for a
	// reason other than that it is down.
	Lost(address string) bool
	// Suspect has it checked whether this host still reaches the backend server at an
	// address.
	Suspect(address string)
}

// Direct is a Dialer that connects from this host. The zero value works.
type Direct struct {
	// Translate has the address to connect to in place of a backend server's own, where
	// this host reaches it under another one.
	Translate map[string]string
	// Timeout is the time to connect; 0 means DialTimeout.
	Timeout time.Duration
	// Observe, if set, is called with the result of each attempt.
	Observe func(ConnectResult)
}

// Dial implements Dialer.
func (d Direct) Dial(ctx context.Context, t Target) (net.Conn, error) {
	address, ok := d.Translate[t.Address]
	if !ok {
		address = t.Address
	}
	dialer := net.Dialer{Timeout: cmp.Or(d.Timeout, DialTimeout), KeepAlive: -1, Control: UserTimeoutControl(userTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if d.Observe != nil {
		d.Observe(ConnectResultOf(err))
	}
	if err != nil {
		return nil, err
	}
	return checker.NewConn(conn), nil
}

// Lost implements Dialer: without other hosts, there is no telling.
func (Direct) Lost(string) bool { return false }

// Suspect implements Dialer.
func (Direct) Suspect(string) {}

// ConnectResult is how an attempt to connect to a backend server ended.
type ConnectResult string

// Results of an attempt to connect.
const (
	Connected      ConnectResult = "connected"
	ConnectTimeout ConnectResult = "timeout" // no answer to the handshake
	ConnectRefused ConnectResult = "refused" // refused or reset
	ConnectFailed  ConnectResult = "failed"  // for any other reason
)

// ConnectResultOf returns the result that the error of an attempt to connect means.
func ConnectResultOf(err error) ConnectResult {
	var t interface{ Timeout() bool }
	switch {
	case err == nil:
		return Connected
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &t) && t.Timeout():
		return ConnectTimeout
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return ConnectRefused
	}
	return ConnectFailed
}

// DialTimeout bounds the time to connect. A worker that is gone may not answer a
// handshake at all. The outside systems document no bound, so this is a multiple of
// the slowest network path within a region.
const DialTimeout = 400 * time.Millisecond
