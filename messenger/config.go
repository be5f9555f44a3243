package messenger

import (
	"io"
	"net"
	"time"

	"github.com/cicadawood/cicadawood/reserver"
)

// Config is the settings of a Messenger. Zero fields take the defaults of
// withDefaults.
type Config struct {
	Name        string // of this host
	Incarnation uint64 // of this process; higher than that of the previous process
	Address     string // IP:port to listen on
	// Listener, if set, accepts connections in place of one that listens on Address.
	Listener net.Listener
	// Translate has the address to connect to in place of another host's own, where this host
	// reaches it under another one.
	Translate map[string]string
	// AckTimeout is how long frames may stay unacknowledged on a connection
	// before it is replaced.
	AckTimeout time.Duration
	// Hold is how long a message waits for an unreachable peer before it is
	// dropped and counted.
	Hold time.Duration
	// IdleTimeout is how long a connection without traffic is kept.
	IdleTimeout time.Duration
	// AckDelay is how long an acknowledgement is delayed to cover more frames.
	AckDelay time.Duration
	// MaxQueue is the maximum number of messages to one peer that are waiting
	// or unacknowledged.
	MaxQueue int
	// Memory is the memory that frames are reserved from while they arrive; nil has no limit.
	Memory *reserver.Memory
	// OnReachability is called when a peer becomes reachable or unreachable, on
	// the goroutine that sends to the peer.
	OnReachability func(address string, reachable bool)
	// OnTunnel is called with a connection that began with TunnelPreface, and with its
	// further bytes. The connection is closed when it returns, and when the messenger is
	// closed. Nil closes it immediately.
	OnTunnel func(conn net.Conn, r io.Reader)
	// OnAcceptFailure, if set, is called when a connection of another host could not be accepted.
	OnAcceptFailure func(err error)
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.AckTimeout, 500*time.Millisecond)
	set(&c.Hold, 10*time.Second)
	set(&c.IdleTimeout, 30*time.Second)
	set(&c.AckDelay, 25*time.Millisecond)
	if c.MaxQueue == 0 {
		c.MaxQueue = 4096
	}
	if c.Memory == nil {
		c.Memory = new(reserver.Memory)
	}
	if c.OnReachability == nil {
		c.OnReachability = func(string, bool) {}
	}
	return c
}

// Counts is a messenger's counters since its start.
type Counts struct {
	Sent       uint64 `json:"sent"`       // bytes
	Received   uint64 `json:"received"`   // bytes
	Resent     uint64 `json:"resent"`     // frames written again on a new connection
	Replaced   uint64 `json:"replaced"`   // connections replaced after AckTimeout
	Dropped    uint64 `json:"dropped"`    // messages given up: queue full, held too long, or peer restarted
	Duplicates uint64 `json:"duplicates"` // frames received more than once
	Unknown    uint64 `json:"unknown"`    // frames of kinds that only later versions know
	Unaccepted uint64 `json:"unaccepted"` // failures to accept a connection
}
