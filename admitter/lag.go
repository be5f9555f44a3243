package admitter

import (
	"sync/atomic"
	"time"
)

const (
	// lagWindow is the time over which the least lag is taken: a single one is late by chance, or as
	// the processor's quota is used up for a moment.
	lagWindow = 250 * time.Millisecond
	// maxLag is the least lag of a window from which on the host is behind.
	maxLag = 80 * time.Millisecond
	// Shares of new connections that are read: the least, and how it changes after each window.
	minAdmitted, admittedFactor, admittedStep = 0.05, 0.5, 0.1
)

// LagGate admits a share of new connections, which shrinks while the host is slow to read what has
// arrived. The zero LagGate admits all. Only one goroutine may call Measure; Admits is safe for
// concurrent use.
type LagGate struct {
	closed   float64 // 1 less the share that is admitted
	least    time.Duration
	measured int
	windowAt time.Time
	share    atomic.Int64 // of connections that are closed, in millionths
}

const millionths = 1e6

// Measure adds a measurement of the time until the host read what had arrived.
func (g *LagGate) Measure(now time.Time, lag time.Duration) {
	if g.measured == 0 || lag < g.least {
		g.least = lag
	}
	g.measured++
	if g.windowAt.IsZero() {
		g.windowAt = now
	}
	if now.Sub(g.windowAt) < lagWindow {
		return
	}
	g.adjust()
	g.windowAt, g.measured = now, 0
}

// adjust changes the share at the end of a window.
func (g *LagGate) adjust() {
	admitted := 1 - g.closed
	if g.least >= maxLag {
		admitted = max(admitted*admittedFactor, minAdmitted)
	} else {
		admitted = min(admitted+admittedStep, 1)
	}
	g.closed = 1 - admitted
	g.share.Store(int64(g.closed * millionths))
}

// Admits reports whether a connection is admitted, given a random number from 0 to 1.
func (g *LagGate) Admits(random float64) bool { return random*millionths >= float64(g.share.Load()) }
