package messenger

import "time"

// Config is what a messenger is made with. Zero fields take the defaults of
// withDefaults.
type Config struct {
	Name        string
	Incarnation uint64
	Address     string // IP:port to listen on
	// AckTimeout is how long frames may stay unacknowledged on a connection before
	// it is replaced.
	AckTimeout time.Duration
	// Hold is how long a message waits for a peer that can't be reached before it
	// is dropped and counted.
	Hold time.Duration
	// IdleTimeout is how long a connection without traffic is kept.
	IdleTimeout time.Duration
	// AckDelay is how long an acknowledgement waits for more frames.
	AckDelay time.Duration
	// MaxQueue is the most messages that wait for or are unacknowledged by one peer.
	MaxQueue int
	// OnReachability is told when a peer becomes reachable or unreachable, on the
	// goroutine that sends to the peer.
	OnReachability func(address string, reachable bool)
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
	if c.OnReachability == nil {
		c.OnReachability = func(string, bool) {}
	}
	return c
}

// Counts is what a messenger has done so far.
type Counts struct {
	Sent       uint64 `json:"sent"`     // bytes
	Received   uint64 `json:"received"` // bytes
	Resent     uint64 `json:"resent"`   // frames written again on a new connection
	Replaced   uint64 `json:"replaced"` // connections that went silent
	Dropped    uint64 `json:"dropped"`  // messages given up: queue full, or held too long
	Duplicates uint64 `json:"duplicates"`
}
