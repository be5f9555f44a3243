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
	dialTimeout   = time.Second
	idleTimeout   = 30 * time.Second
	idleMost      = 256      // connections kept open to one backend server
	headMost      = 64 << 10 // bytes of an answer's headers
	lanesMost     = 4096     // backend servers remembered
	connectionBuf = 4 << 10
	probeEvery    = time.Second // the shortest that the system takes
	probeMost     = 2
)

// lane is the connections to one backend server. Each has its own, so that the
// idle connections of one can be dropped without touching the others.
type lane struct {
	transport *http.Transport
	client    *http.Client
	// echoes says that this server's answers name the request they answer. A
	// server that has done so once is held to it.
	echoes atomic.Bool
}

func newLane(silence time.Duration) *lane {
	// An answer that comes in one piece may rightly take long, so that no bound on
	// silence tells a forgotten connection. Where its packets are dropped, the
	// system's probes do.
	// They rest while a request is unacknowledged: that has a bound of its own.
	bound := max(silence, probeEvery)
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: bound, Interval: probeEvery, Count: probeMost},
		Control:         connector.UserTimeoutControl(bound),
	}
	t := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idleMost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headMost,
		ReadBufferSize:         connectionBuf,
		WriteBufferSize:        connectionBuf,
	}
	return &lane{transport: t, client: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

// lanes is the lanes by address. The zero value is empty.
type lanes struct {
	mu   sync.Mutex
	list map[string]*lane
}

func (l *lanes) get(address string, silence time.Duration) *lane {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.list[address]; k != nil {
		return k
	}
	// Addresses of servers long gone must not pile up over months. Calls in
	// flight keep their lane.
	if l.list == nil || len(l.list) >= lanesMost {
		l.dropAll()
		l.list = map[string]*lane{}
	}
	k := newLane(silence)
	l.list[address] = k
	return k
}

func (l *lanes) dropAll() {
	for _, k := range l.list {
		k.transport.CloseIdleConnections()
	}
}

func (l *lanes) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropAll()
}
