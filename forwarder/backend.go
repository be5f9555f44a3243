package forwarder

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadawood/cicadawood/connector"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 30 * time.Second
	maxIdleConns    = 256      // idle connections per backend server
	maxHeaderBytes  = 64 << 10 // of an answer's header
	maxBackends     = 4096     // backend servers with a connection pool
	connBufferBytes = 4 << 10
	probeInterval   = time.Second // minimum that the system supports
	maxProbes       = 2
)

// backend holds the connections to one backend server. Each server has its own
// transport, so that its idle connections can be closed without affecting others.
type backend struct {
	transport *http.Transport
	client    *http.Client
	// echoesID is set once an answer of this server carried the ID of its request. From
	// then on, every ID in its answers is checked.
	echoesID atomic.Bool
}

func newBackend(silenceTimeout time.Duration) *backend {
	// An answer that is not streamed may take long, so a time-out can't distinguish a silent
	// connection from a lost one. TCP keep-alive probes detect a connection whose
	// packets are dropped. They are not sent while data is unacknowledged, which
	// UserTimeoutControl covers.
	bound := max(silenceTimeout, probeInterval)
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: bound, Interval: probeInterval, Count: maxProbes},
		Control:         connector.UserTimeoutControl(bound),
	}
	t := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         connBufferBytes,
		WriteBufferSize:        connBufferBytes,
	}
	return &backend{transport: t, client: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

// backends holds the backend servers by address. The zero value is empty.
type backends struct {
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
	b := newBackend(silenceTimeout)
	l.byAddress[address] = b
	return b
}

func (l *backends) closeIdle() {
	for _, b := range l.byAddress {
		b.transport.CloseIdleConnections()
	}
}

func (l *backends) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle()
}
