package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadawood/cicadawood/checker"
	"github.com/cicadawood/cicadawood/connector"
)

const (
	idleTimeout     = 30 * time.Second
	maxIdleConns    = 256      // idle connections per backend server
	maxHeaderBytes  = 64 << 10 // of an answer's header
	maxBackends     = 4096     // backend servers with a connection pool
	connBufferBytes = 4 << 10
	probeInterval   = time.Second // minimum that the system supports
	maxProbes       = 2
)

// errDial marks the errors of calls for which there was no connection.
var errDial = errors.New("no connection")

// backend holds the connections to one backend server. Each server has its own
// transport, so that its idle connections can be closed without affecting others.
type backend struct {
	address   string
	dialer    connector.Dialer
	transport *http.Transport
	client    *http.Client
	// echoesID is set once an answer of this server carried the ID of its request. From
	// then on, every ID in its answers is checked.
	echoesID atomic.Bool
}

func newBackend(d connector.Dialer, address string, silenceTimeout time.Duration) *backend {
	// An answer that is not streamed may take long, so a time-out can't distinguish a silent
	// connection from a lost one. TCP keep-alive probes detect a connection whose
	// packets are dropped. They are not sent while data is unacknowledged, which
	// UserTimeoutControl covers.
	bound := max(silenceTimeout, probeInterval)
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := d.Dial(ctx, connector.Target{Address: address})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errDial, err)
		}
		return conn, setTimeouts(conn, bound)
	}
	t := &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         connBufferBytes,
		WriteBufferSize:        connBufferBytes,
	}
	return &backend{address: address, dialer: d, transport: t, client: &http.Client{Transport: checker.Transport{Base: t}, CheckRedirect: noRedirect}}
}

// setTimeouts has the system close a connection whose packets are dropped.
func setTimeouts(conn net.Conn, bound time.Duration) error {
	if below, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = below.NetConn()
	}
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return nil // a connection through another host has time-outs of its own
	}
	return errors.Join(
		c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: bound, Interval: probeInterval, Count: maxProbes}),
		// Linux gives up on unanswered probes at this time, too, whatever their count.
		connector.SetUserTimeout(c, bound+maxProbes*probeInterval),
	)
}

// backends holds the backend servers by address.
type backends struct {
	dialer    connector.Dialer
	mu        sync.Mutex
	byAddress map[string]*backend
}

func (l *backends) get(address string, silenceTimeout time.Duration) *backend {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.byAddress[address]; b != nil {
		return b
	}
	// Limits the memory used for addresses of servers that are long gone. Calls in
	// flight keep their backend.
	if l.byAddress == nil || len(l.byAddress) >= maxBackends {
		l.closeIdle()
		l.byAddress = map[string]*backend{}
	}
	b := newBackend(l.dialer, address, silenceTimeout)
	l.byAddress[address] = b
	return b
}

func (l *backends) closeIdle() {
	for _, b := range l.byAddress {
		b.transport.CloseIdleConnections()
	}
}

// CloseIdle closes all idle connections. It is called when this host has lost its links to a
// backend server: the others may hang as well.
func (f *Forwarder) CloseIdle() { f.backends.close() }

func (l *backends) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle()
}
