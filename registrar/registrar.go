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

// maxQueuedInputs is how many inputs wait for the registrar; what comes on top is
// dropped, as heartbeats and news are repeated.
const maxQueuedInputs = 1024

// askPeersInterval is how often a host that knows nobody asks its settings' peers.
const askPeersInterval = 2 * time.Second

// Transport is the port to other hosts.
type Transport interface {
	Send(address string, m messenger.Message) error
	// Reconnect makes the next Send to address use a new connection.
	Reconnect(address string)
}

// Config is what a Registrar is made with.
type Config struct {
	Self              Record
	HeartbeatInterval time.Duration // between heartbeats
	LeaseDuration     time.Duration // of this host's lease in the Object API
	Store             storer.Store
	Transport         Transport
	Log               *zap.Logger
	// Peers is control addresses of other hosts: whom to ask for the roster while
	// this host knows nobody, as when it starts while the platform is down.
	Peers []string
	// ShouldWatch says whether this host is to watch the records: those that do pass on what
	// they learn with their facts. Nil is always.
	ShouldWatch func() bool
	// Notify is called with each new roster. It must not block for long.
	Notify func(Roster)
}

// Counts is what a Registrar has seen so far.
type Counts struct {
	Alive       int    `json:"alive"`
	Unreachable int    `json:"parted"`
	Suspicions  uint64 `json:"suspicions"`
	Deaths      uint64 `json:"deaths"` // concluded by this host
	Rejoins     uint64 `json:"rejoins"`
}

// Registrar runs Members: one goroutine owns them, others do the calls of the
// Object API, so that a slow store never delays a heartbeat.
type Registrar struct {
	config   Config
	members  *Members
	inputs   chan func(now time.Time) []Output
	recorder *recorder
	tasks    sync.WaitGroup
	done     chan struct{}

	mu          sync.Mutex
	roster      Roster
	leaseChecks map[string]bool // by host

	peersAsked time.Time // when the peers of the settings were last asked

	suspicions, deaths, rejoins atomic.Uint64
}

// New returns a registrar that does nothing yet.
func New(c Config) *Registrar {
	r := &Registrar{
		config: c, members: NewMembers(time.Now(), c.Self, c.HeartbeatInterval), inputs: make(chan func(time.Time) []Output, maxQueuedInputs),
		done: make(chan struct{}), leaseChecks: map[string]bool{},
	}
	r.recorder = newRecorder(c.Store, c.Self, c.LeaseDuration, c.Log)
	return r
}

// Run keeps the roster until ctx ends, then takes this host off it.
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

// askPeers asks the peers of the settings while this host knows nobody else. The
// fact goes first, so that the peer knows whom to answer.
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

// StoreRestored takes that the store came back from an older copy of itself: this host's record
// and lease are looked at soon, and written where they are lost.
func (r *Registrar) StoreRestored() { r.recorder.scheduleRestore() }

// Receive takes a message of another host. It says whether the message is one of
// membership. It does not block.
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

// SetReachable takes the messenger's outcome for an address. It waits for the
// registrar, so that outcomes keep their order.
func (r *Registrar) SetReachable(address string, reachable bool) {
	for _, h := range r.Roster().hosts {
		if h.Control == address {
			r.post(func(now time.Time) []Output { return r.members.SetReachable(now, h.Name, reachable) })
		}
	}
}

// Roster is the present roster.
func (r *Registrar) Roster() Roster {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster
}

// Counts is what the registrar has seen so far.
func (r *Registrar) Counts() Counts {
	c := Counts{Suspicions: r.suspicions.Load(), Deaths: r.deaths.Load(), Rejoins: r.rejoins.Load()}
	for _, h := range r.Roster().hosts {
		c.Alive++
		if h.Unreachable {
			c.Unreachable++
		}
	}
	return c
}

func (r *Registrar) post(in func(time.Time) []Output) {
	select {
	case r.inputs <- in:
	case <-r.done:
	}
}

// execute does what was decided.
func (r *Registrar) execute(ctx context.Context, out []Output) {
	for _, o := range out {
		switch o := o.(type) {
		case Send:
			if o.NewConnection {
				r.config.Transport.Reconnect(o.To.Control)
			}
			_ = r.config.Transport.Send(o.To.Control, o.Message) // a full queue is counted there
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

// checkLease checks a suspect's lease, once at a time.
func (r *Registrar) checkLease(ctx context.Context, h Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaseChecks[h.Name] {
		return
	}
	r.leaseChecks[h.Name] = true
	r.tasks.Go(func() {
		lapsed := r.recorder.leaseExpired(ctx, h.Name)
		r.mu.Lock()
		delete(r.leaseChecks, h.Name)
		r.mu.Unlock()
		if lapsed {
			r.post(func(now time.Time) []Output { return r.members.LeaseExpired(now, h.Name, h.Incarnation) })
		}
	})
}
