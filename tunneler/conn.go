package tunneler

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cicadawood/cicadawood/connector"
)

// conn is the opener's end of a tunnel, as a connection to the worker.
type conn struct {
	net.Conn
	helper string
	onEnd  func() // called once

	head    [chunkHeadBytes]byte
	headGot int // bytes of the current head
	left    int // bytes left of the current chunk
	ended   error

	mu           sync.Mutex
	readDeadline time.Time // set by the user of the connection
	closeOnce    sync.Once
}

// Via returns the name of the host that helps.
func (c *conn) Via() string { return c.helper }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for c.left == 0 {
		if c.ended != nil {
			return 0, c.ended
		}
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	n, err := c.readRaw(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// readHead reads the head of the next chunk.
func (c *conn) readHead() error {
	for c.headGot < chunkHeadBytes {
		n, err := c.readRaw(c.head[c.headGot:])
		c.headGot += n
		if err != nil {
			return err
		}
	}
	c.headGot = 0
	kind, n := parseChunkHead(c.head[:])
	switch kind {
	case chunkData:
		c.left = n
	case chunkAlive:
	case chunkEnd:
		c.ended = io.EOF
	case chunkReset:
		c.ended = fmt.Errorf("behind %s: %w", c.helper, syscall.ECONNRESET)
	default:
		c.ended = fmt.Errorf("%w: %s: chunk of kind %d", connector.ErrDetour, c.helper, kind)
	}
	return nil
}

// readRaw reads from the helper. Its end, or its silence, is a failure of the helper.
func (c *conn) readRaw(b []byte) (int, error) {
	c.mu.Lock()
	own := c.readDeadline
	deadline := time.Now().Add(aliveTimeout)
	if !own.IsZero() && own.Before(deadline) {
		deadline = own
	}
	err := c.Conn.SetReadDeadline(deadline)
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	switch {
	case err == nil, errors.Is(err, net.ErrClosed):
		return n, err
	case errors.Is(err, os.ErrDeadlineExceeded) && c.pastReadDeadline():
		return n, err
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return n, fmt.Errorf("%w: %s: %v", connector.ErrDetour, c.helper, err)
}

func (c *conn) pastReadDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		err = fmt.Errorf("%w: %s: %v", connector.ErrDetour, c.helper, err)
	}
	return n, err
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = at
	return c.Conn.SetReadDeadline(at)
}

// Close implements net.Conn. The helper then closes its connection to the worker, which
// drops the request.
func (c *conn) Close() error {
	c.closeOnce.Do(c.onEnd)
	return c.Conn.Close()
}
