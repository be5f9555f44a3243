package messenger

import "time"

// Config is what a messenger is made with. Zero fields take the defaults of
// withDefaults.
type Config struct {
	Name        string
	Incarnation uint64
	Address     string // IP:port to listen on
	// Silence is how long frames may stay unacknowledged on a connection before
	// it is replaced.
	Silence time.Duration
	// Hold is how long a message waits for a peer that can't be reached before it
	// is dropped and counted.
	Hold time.Duration
	// Idle is how long a connection without traffic is kept.
	Idle time.Duration
	// Delay is how long an acknowledgement waits for more frames.
	Delay time.Duration
	// Queue is the most messages that wait for or are unacknowledged by one peer.
	Queue int
	// Outcome is told when a peer becomes reachable or unreachable, on the
	// goroutine that sends to the peer.
	Outcome func(address string, reachable bool)
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.Silence, 500*time.Millisecond)
	set(&c.Hold, 10*time.Second)
	set(&c.Idle, 30*time.Second)
	set(&c.Delay, 25*time.Millisecond)
	if c.Queue == 0 {
		c.Queue = 4096
	}
	if c.Outcome == nil {
		c.Outcome = func(string, bool) {}
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
