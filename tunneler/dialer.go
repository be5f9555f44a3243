package tunneler

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/reacher"
)

// raceDelay is how long an attempt to connect runs alone before the next one starts beside
// it (as in RFC 8305): several round trips between zones, and well within the tightest
// latency target.
const raceDelay = 50 * time.Millisecond

// minAttempt is how long an attempt without an answer must last to count as failed.
const minAttempt = 2 * raceDelay

// answerTime is how long before the opener's deadline a helper gives up connecting: for a
// comparison with another worker, and for its reply to arrive.
const answerTime = 2 * raceDelay

// Config configures a Dialer.
type Config struct {
	Self      string           // name of this host
	Zone      string           // of this host
	Direct    connector.Dialer // connects from this host
	MaxServed int              // maximum number of tunnels that other hosts open through this one
	Log       *zap.Logger
	Metrics   *Metrics
}

// Dialer connects to workers, directly or through other hosts, and helps the other hosts to
// do so. It is safe for concurrent use.
type Dialer struct {
	self      string
	zone      string
	direct    connector.Dialer
	maxServed int
	log       *zap.Logger
	metrics   *Metrics
	onLost    func()
	serving   atomic.Int64 // tunnels that other hosts have open through this one
	stopping  atomic.Bool

	mu      sync.Mutex
	table   reacher.Table
	resting map[string]time.Time // workers that want no requests from this host, by address
	probing int                  // probes in progress
}

var _ connector.Dialer = (*Dialer)(nil)

// New returns a Dialer that knows no workers and no other hosts.
func New(c Config) *Dialer {
	d := &Dialer{
		self: c.Self, zone: c.Zone, direct: c.Direct, maxServed: c.MaxServed, log: c.Log, metrics: c.Metrics,
		resting: map[string]time.Time{},
	}
	d.onLost = func() {}
	return d
}

// OnLost sets a function that is called when a worker is found lost. It must not block. It is
// set before the Dialer is used.
func (d *Dialer) OnLost(f func()) { d.onLost = f }

// SetHosts replaces the other hosts that may help.
func (d *Dialer) SetHosts(hosts []reacher.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetHosts(d.self, d.zone, hosts)
}

// SetWorkers replaces the workers that this host may connect to.
func (d *Dialer) SetWorkers(workers []reacher.Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetWorkers(workers)
}

// Rest records that a worker wants no requests from this host until a time: this host opens
// no tunnels to it meanwhile.
func (d *Dialer) Rest(address string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until.After(d.resting[address]) {
		d.resting[address] = until
	}
}

// Lost reports whether a worker is lost to this host, or no host connects to it.
func (d *Dialer) Lost(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Lost(address) || d.table.Blocked(time.Now(), address) > 0
}

// AnyBlocked reports whether there is a worker that no host connects to.
func (d *Dialer) AnyBlocked(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, blocked := d.table.LostWorkers(now)
	return blocked > 0
}

// Blocked returns for how long requests should avoid a worker that no host connects to.
func (d *Dialer) Blocked(now time.Time, address string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Blocked(now, address)
}

// Suspect has a worker probed whose connections fail or are silent.
func (d *Dialer) Suspect(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Suspect(time.Now(), address)
}

// attempt is an attempt to connect to a worker: through a host, or directly if that is nil.
type attempt struct {
	helper *reacher.Host
	conn   net.Conn
	err    error
	down   bool // the helper is a witness that the worker is down
}

// Dial connects to a worker. It starts one attempt after another, each a while after the one
// before or as that fails, and takes the first connection. The error wraps
// connector.ErrNoPath if it says nothing about the worker.
func (d *Dialer) Dial(ctx context.Context, t connector.Target) (net.Conn, error) {
	return d.dial(ctx, t, true)
}

// dial is Dial, with or without a direct attempt.
func (d *Dialer) dial(ctx context.Context, t connector.Target, direct bool) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, connector.DialTimeout)
	defer cancel()
	r := d.startRace(limited, t, direct)
	winner, down, err := r.run(limited)
	switch {
	case winner.conn != nil:
		return d.wrap(winner), nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	}
	return nil, d.noConnection(t, down, err)
}

// wrap returns the connection of a successful attempt.
func (d *Dialer) wrap(a attempt) net.Conn {
	if a.helper == nil {
		return a.conn
	}
	host := a.helper.Name
	d.mu.Lock()
	d.table.Opened(host)
	d.mu.Unlock()
	return &conn{Conn: a.conn, helper: host, onEnd: func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.table.Released(host)
	}}
}

// noConnection records that all attempts failed, and returns the error.
func (d *Dialer) noConnection(t connector.Target, down bool, err error) error {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case down:
		d.table.Down(now, t.Address)
		return err
	case d.table.Alone() || d.table.IsDown(now, t.Address):
		return err
	}
	if d.table.Blocked(now, t.Address) == 0 {
		d.log.Warn("reach", zap.String("address", t.Address), zap.String("state", "blocked"), zap.Error(err))
	}
	d.table.Block(now, t.Address)
	return fmt.Errorf("%w: %w", connector.ErrNoPath, err)
}

// dialDirect connects to a worker from this host, and records the result.
func (d *Dialer) dialDirect(ctx context.Context, t connector.Target) (net.Conn, error) {
	started := time.Now()
	conn, err := d.direct.Dial(ctx, t)
	now := time.Now()
	if err != nil && (ctx.Err() == context.Canceled || ctx.Err() != nil && now.Sub(started) < minAttempt) {
		return conn, err // too short to count as failed
	}
	d.mu.Lock()
	var change reacher.Change
	if err == nil {
		change = d.table.Connected(now, t.Address, false)
	} else {
		change = d.table.Failed(now, t.Address)
	}
	d.mu.Unlock()
	d.noteChange(t.Address, change, "")
	return conn, err
}

// dialThrough connects to a worker through another host, and records the result.
func (d *Dialer) dialThrough(ctx context.Context, t connector.Target, helper reacher.Host) attempt {
	deadline, _ := ctx.Deadline()
	conn, answer, err := openTunnel(ctx, helper, open{From: d.self, Address: t.Address, Request: t.Request, Timeout: time.Until(deadline) - answerTime})
	a := attempt{helper: &helper, conn: conn, err: err, down: answer.Reason == reacher.Unreached && answer.Witness}
	if ctx.Err() == context.Canceled && err != nil {
		return a
	}
	d.metrics.opened(answer.Reason)
	now := time.Now()
	d.mu.Lock()
	change := reacher.Unchanged
	if err == nil {
		change = d.table.Helped(now, helper.Name, t.Address, false)
	} else {
		d.table.Declined(now, helper.Name, t.Address, answer.Reason, answer.Wait)
	}
	d.mu.Unlock()
	d.noteChange(t.Address, change, helper.Name)
	return a
}

// noteChange logs a change of a worker's reach, and reports a loss.
func (d *Dialer) noteChange(address string, change reacher.Change, helper string) {
	switch change {
	case reacher.Lost:
		d.log.Warn("reach", zap.String("address", address), zap.String("state", "lost"), zap.String("via", helper))
		d.onLost()
	case reacher.Returned:
		d.log.Info("reach", zap.String("address", address), zap.String("state", "returned"))
	}
	if change != reacher.Unchanged {
		d.metrics.change(change)
	}
}
