package registrar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/storer"
)

// maxQueuedInputs is the capacity of the input queue. Messages that arrive while it is full
// are dropped, because heartbeats and roster updates are repeated.
const maxQueuedInputs = 1024

// askPeersInterval is how often a host that knows no other host asks its configured peers.
const askPeersInterval = 2 * time.Second

// Transport sends messages to other hosts.
type Transport interface {
	Send(address string, m messenger.Message) error
	// Reconnect makes the next Send to address use a new connection.
	Reconnect(address string)
}

// Config configures a Registrar.
type Config struct {
	Self              Record
	HeartbeatInterval time.Duration
	LeaseDuration     time.Duration // of this host's lease in the Object API
	Store             storer.Store
	Transport         Transport
	Log               *zap.Logger
	// Peers are the control addresses of other hosts, which are asked for the roster while
	// this host knows no other host, such as when it starts while the store is down.
	Peers []string
	// ShouldWatch reports whether this host is to watch the records. Hosts that watch send the
	// changes to the others as roster updates. Nil means always.
	ShouldWatch func() bool
	// Notify is called with each new roster. It must not block for long.
	Notify func(Roster)
	// OnFirstWrite, if set, is called once, when this host's record is first written or read: fresh states that the
	// store had none of an earlier process of this name. It must not block for long.
	OnFirstWrite func(fresh bool)
	// OnPredecessor, if set, is called when a record of an earlier process at this host's address is found.
	OnPredecessor func()
}

// Counts are a Registrar's statistics: hosts on the roster now, and events since the start.
type Counts struct {
	Alive       int    `json:"alive"` // hosts on the roster, unreachable ones included
	Unreachable int    `json:"parted"`
	Suspicions  uint64 `json:"suspicions"`
	Deaths      uint64 `json:"deaths"` // hosts that this host declared dead
	Rejoins     uint64 `json:"rejoins"`
	Odd         uint64 `json:"odd"` // records that can't be used, each version once
}

// Registrar runs Members. One goroutine owns them; others call the Object API, so that a
// slow store never delays a heartbeat.
type Registrar struct {
	config   Config
	members  *Members
	inputs   chan func(now time.Time) []Output
	recorder *recorder
	tasks    sync.WaitGroup
	done     chan struct{}

	mu          sync.Mutex
	roster      Roster
	leaseChecks map[string]bool // lease checks in progress, by host

	peersAsked time.Time // when the configured peers were last asked

	suspicions, deaths, rejoins, odd atomic.Uint64

	oddRecords map[string]storer.Version // that were counted, by key; used by follow's goroutine only
}

// New returns a Registrar; Run starts it.
func New(c Config) *Registrar {
	r := &Registrar{
		config: c, members: NewMembers(time.Now(), c.Self, c.HeartbeatInterval), inputs: make(chan func(time.Time) []Output, maxQueuedInputs),
		done: make(chan struct{}), leaseChecks: map[string]bool{}, oddRecords: map[string]storer.Version{},
	}
	r.recorder = newRecorder(c.Store, c.Self, c.LeaseDuration, c.Log)
	r.recorder.onFirstWrite = c.OnFirstWrite
	return r
}

// Run maintains the roster until ctx ends, then removes this host from it.
func (r *Registrar) Run(ctx context.Context) {
	defer close(r.done)
	inner, stop := context.WithCancel(ctx)
	defer stop()
	r.tasks.Go(func() { r.follow(inner) })
	r.tasks.Go(func() { r.recorder.run(inner) })
	r.execute(inner, []Output{RosterChanged{Roster: r.members.Roster()}})
	ticker := time.NewTicker(r.config.HeartbeatInterval / TicksPerHeartbeat)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			r.askPeers()
			r.execute(inner, r.members.Tick(time.Now()))
		case in := <-r.inputs:
			r.execute(inner, in(time.Now()))
		}
	}
	r.execute(inner, r.members.Shutdown(time.Now()))
	stop()
	r.tasks.Wait()
	r.recorder.removeSelf()
}

// askPeers asks the configured peers for the roster while this host knows no other host.
// Its own fact is sent first, so that the peer knows where to send the answer.
func (r *Registrar) askPeers() {
	if len(r.Roster().hosts) > 1 || time.Since(r.peersAsked) < askPeersInterval {
		return
	}
	r.peersAsked = time.Now()
	for _, p := range r.config.Peers {
		_ = r.config.Transport.Send(p, messenger.RosterUpdate{Facts: []messenger.Fact{factOf(r.members.Self())}})
		_ = r.config.Transport.Send(p, messenger.Sync{})
	}
}

// Leave marks this host as leaving: it takes no new roles.
func (r *Registrar) Leave() { r.post(r.leave) }

func (r *Registrar) leave(now time.Time) []Output {
	out := r.members.Leave(now)
	r.recorder.setRecord(r.members.Self())
	return out
}

// StoreRestored reports that the store was restored from an older snapshot. This host's
// record and lease are checked within restoreWindow and written again if they are lost.
func (r *Registrar) StoreRestored() { r.recorder.scheduleRestore() }

// Receive handles a message of another host and reports whether it is one of membership.
// It does not block.
func (r *Registrar) Receive(from string, m messenger.Message) bool {
	switch m.(type) {
	case messenger.Heartbeat, messenger.Probe, messenger.Suspect, messenger.Refute, messenger.RosterUpdate, messenger.Sync:
	default:
		return false
	}
	select {
	case r.inputs <- func(now time.Time) []Output { return r.members.Receive(now, from, m) }:
	default:
	}
	return true
}

// SetReachable reports whether the messenger could reach an address. It blocks until the
// registrar accepts the input, so that successive results stay in order.
func (r *Registrar) SetReachable(address string, reachable bool) {
	r.post(func(now time.Time) []Output { return r.members.SetAddressReachable(now, address, reachable) })
}

// Roster returns the current roster.
func (r *Registrar) Roster() Roster {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster
}

// Counts returns the current statistics.
func (r *Registrar) Counts() Counts {
	c := Counts{Suspicions: r.suspicions.Load(), Deaths: r.deaths.Load(), Rejoins: r.rejoins.Load(), Odd: r.odd.Load()}
	for _, h := range r.Roster().hosts {
		c.Alive++
		if h.Unreachable {
			c.Unreachable++
		}
	}
	return c
}

// post queues an input. It blocks while the queue is full, unless Run has returned.
func (r *Registrar) post(in func(time.Time) []Output) {
	select {
	case r.inputs <- in:
	case <-r.done:
	}
}

// execute carries out the outputs of the members.
func (r *Registrar) execute(ctx context.Context, out []Output) {
	for _, o := range out {
		switch o := o.(type) {
		case Send:
			if o.NewConnection {
				r.config.Transport.Reconnect(o.To.Control)
			}
			_ = r.config.Transport.Send(o.To.Control, o.Message) // a message dropped because of a full queue is counted by the transport
		case RosterChanged:
			r.mu.Lock()
			r.roster = o.Roster
			r.mu.Unlock()
			r.config.Notify(o.Roster)
		case Suspected:
			r.suspicions.Add(1)
			r.config.Log.Info("suspect", zap.String("peer", o.Host.Name), zap.Uint64("incarnation", o.Host.Incarnation))
		case CheckLease:
			r.checkLease(ctx, o.Host)
		case DeclaredDead:
			r.deaths.Add(1)
			r.config.Log.Warn("dead", zap.String("peer", o.Host.Name), zap.Uint64("incarnation", o.Host.Incarnation))
			r.recorder.queueDead(o.Host)
		case PredecessorFound:
			r.config.Log.Info("succeeded", zap.String("peer", o.Host.Name), zap.Uint64("incarnation", o.Host.Incarnation))
			r.recorder.queuePredecessor(o.Host.Name)
			if r.config.OnPredecessor != nil {
				r.config.OnPredecessor()
			}
		case StaleRecord:
			r.config.Log.Info("record of a host that is gone is back", zap.String("peer", o.Host.Name), zap.Uint64("incarnation", o.Host.Incarnation))
			r.recorder.queueDead(o.Host)
		case Rejoined:
			r.rejoins.Add(1)
			r.config.Log.Warn("rejoined", zap.Uint64("incarnation", o.Self.Incarnation))
			r.recorder.setRecord(o.Self)
		case Superseded:
			r.config.Log.Error("superseded", zap.Uint64("incarnation", o.Self.Incarnation))
			r.recorder.setRecord(Record{})
		}
	}
}

// checkLease checks the lease of a suspected host, with at most one check per host at a
// time.
func (r *Registrar) checkLease(ctx context.Context, h Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaseChecks[h.Name] {
		return
	}
	r.leaseChecks[h.Name] = true
	r.tasks.Go(func() {
		expired := r.recorder.leaseExpired(ctx, h.Name)
		r.mu.Lock()
		delete(r.leaseChecks, h.Name)
		r.mu.Unlock()
		if expired {
			r.post(func(now time.Time) []Output { return r.members.LeaseExpired(now, h.Name, h.Incarnation) })
		}
	})
}
