package checker

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// Errors of a connection that can't be taken for closed in order.
var (
	// ErrBroken means that the connection failed, and that only a write got the error.
	ErrBroken = errors.New("the connection failed while the request was written")
	// errStateUnknown means that it is unknown whether the connection has failed.
	errStateUnknown = errors.New("the state of the connection is unknown")
)

// Conn is a connection whose Read returns io.EOF only if the peer closed it in order.
//
// The kernel reports the failure of a connection, such as a reset, to the first call after it, and only to
// that one. Where a write is first, a read finds nothing but the end of the connection.
type Conn struct {
	net.Conn
	writing sync.Mutex // held during a write, until its failure is recorded
	failure error      // of a write
}

// NewConn returns a Conn that reads and writes on c. Nothing else may write on c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if isFailure(err) {
		c.failure = err
	}
	return n, err
}

// isFailure reports whether the error of a write is the failure of its connection. EPIPE is none: the peer had
// closed the connection in order before it reset it, or a read got the error.
func isFailure(err error) bool {
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return false
	}
	return true
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.writeFailure(); failure != nil {
		return n, fmt.Errorf("%w: %w", ErrBroken, failure)
	}
	return n, err
}

// writeFailure returns the failure that a write got, also one that has not returned yet.
func (c *Conn) writeFailure() error {
	if !c.writing.TryLock() {
		closed, err := isClosed(c.Conn)
		if err != nil {
			return err
		}
		if !closed {
			return nil // the peer sends no more, but may go on reading
		}
		c.writing.Lock() // a write on a closed connection returns at once
	}
	defer c.writing.Unlock()
	return c.failure
}
