package server

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cicadawood/cicadawood/reserver"
)

// meteredListener returns connections that reserve the memory for what callers send before a request
// is handed over.
type meteredListener struct {
	net.Listener
	memory *reserver.Memory
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, reserved: l.memory.Reserve(reserver.Request)}, nil
}

// meteredConn is a caller's connection. net/http bounds the bytes of one head, but keeps many times
// that for each of its lines, for as many connections as there are.
type meteredConn struct {
	net.Conn

	mu       sync.Mutex
	reserved *reserver.Reservation
	serving  bool // a request was handed over, and accounts for its own body
	closed   bool
}

// Read implements net.Conn. A connection whose head gets no memory ends unread: its caller may send
// the request again.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving || c.closed {
		return n, err
	}
	if full := c.reserved.Grow(reserver.HeadBytes(b[:n])); full != nil {
		// net/http answers other errors than those of the network with status 400.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: full}
	}
	return n, err
}

// setServing notes whether a request is being served. Its head is kept until it is not.
func (c *meteredConn) setServing(serving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = serving
	if !serving {
		c.reserved.Release()
	}
}

// Close implements net.Conn.
func (c *meteredConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.reserved.Release()
	c.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets net/http end a connection so that its caller can still read the answer to a request
// that was not read to its end.
func (c *meteredConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

type connKey struct{}

// withConn is the http.Server's ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// metered has the connection of each request know when it is served.
func metered(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*meteredConn); ok {
			c.setServing(true)
			defer c.setServing(false)
		}
		h.ServeHTTP(w, r)
	})
}
