// Package runner composes one host: its roles, its adapters, and the goroutine
// that owns all control state.
package runner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/server"
	"github.com/cicadawood/cicadawood/storer"
)

// ackDelay is how long a frame of another host waits for its acknowledgement, so that
// one takes all that came meanwhile: a fifth of the silence after which a connection
// is replaced.
const ackDelay = 100 * time.Millisecond

// Host is one running host.
type Host struct {
	settings  loader.Host
	log       *zap.Logger
	control   *control
	following *following
	holding   holding
	registrar *registrar.Registrar
	messenger *messenger.Messenger
	server    *server.Server
	observing *workerPoller
	registry  *prometheus.Registry
	routing   *routing // nil where the host speaks the product's own dialect
	era       era
	leaving   chan struct{}
	once      sync.Once
}

// Run runs a host until ctx ends or it is drained, then shuts it down
// gracefully.
func Run(ctx context.Context, settings loader.Host, log *zap.Logger) error {
	return RunUntil(ctx, nil, settings, log)
}

// Signals is what a host is told while it runs. Nil fields tell nothing.
type Signals struct {
	// Hurry, when it is closed, ends a shutdown that takes too long: what is still in
	// flight is cut, and the error says how much that was.
	Hurry <-chan struct{}
	// Reload brings new settings. Those that can change while a host runs are the
	// bound on repeats and the memory.
	Reload <-chan loader.Host
	// Dropped is the lines of the log that were not written.
	Dropped func() uint64
}

// RunUntil is Run with a way to end a shutdown that takes too long: closing
// hurry cuts what is still in flight, and the error says how much that was.
func RunUntil(ctx context.Context, hurry <-chan struct{}, settings loader.Host, log *zap.Logger) error {
	return RunWith(ctx, Signals{Hurry: hurry}, settings, log)
}

// RunWith is Run with all that a host is told while it runs.
func RunWith(ctx context.Context, signals Signals, settings loader.Host, log *zap.Logger) error {
	callers, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	defer callers.Close()
	operators, err := net.Listen("tcp", settings.Admin)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	defer operators.Close()
	store, closeStore := platform.NewStore(settings.Platform)
	defer closeStore()
	forward, closeForward := forwarder.New(settings.Limits.SilenceTimeout.Std())
	defer closeForward()
	h := &Host{settings: settings, log: log, leaving: make(chan struct{})}
	h.era.log = log
	store.OnEra(func(n uint64) { h.era.reach(n, "store") })
	closeMessenger, err := h.compose(store, forward)
	if err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	defer closeMessenger()
	if signals.Dropped != nil {
		registerDropped(h.registry, signals.Dropped)
	}
	return h.run(ctx, signals, callers, operators)
}

// compose makes the host's parts and joins them; nothing runs yet but the messenger.
func (h *Host) compose(store storer.Store, forward *forwarder.Forwarder) (func(), error) {
	s := h.settings
	incarnation := uint64(time.Now().UnixNano())
	if s.Dialect == loader.DialectPlatform {
		s.Name = processName(s.Name)
	}
	registry := prometheus.NewRegistry()
	store = metered(store, registry)
	h.control = newControl(s.Name, incarnation, nil, h.log)
	h.observing = newWorkerPoller(h.control, s.Platform, h.log)
	forward.OnRefused(h.observing.postRefusal)
	connected := make(chan struct{})
	m, closeMessenger, err := messenger.Open(messenger.Config{
		Name: s.Name, Incarnation: incarnation, Address: s.Control, AckTimeout: s.Limits.AckTimeout.Std(), AckDelay: ackDelay,
		OnReachability: func(address string, reachable bool) {
			<-connected
			h.registrar.SetReachable(address, reachable)
		},
	}, func(e messenger.Envelope, msg messenger.Message) {
		<-connected
		h.receive(e, msg)
	})
	if err != nil {
		return nil, err
	}
	h.messenger, h.control.sender = m, m
	h.following = newFollowing(s, store, m, h.log, func(ready bool) { h.server.SetReady(ready) }, func(f *loader.Folder, g uint64) {
		if h.routing != nil {
			h.routing.choosing.post(folderChanged{folder: f, generation: g})
			f = dispatched(f)
		}
		h.control.post(folderChanged{folder: f, generation: g})
		for _, waited := range h.holding.release(time.Now(), f, g) {
			h.control.post(waited)
		}
	})
	var turn func() bool
	if s.Dialect == loader.DialectPlatform {
		turn = func() bool { return h.routing.choosing.watchesStore.Load() }
	}
	h.registrar = registrar.New(registrar.Config{
		Self: registrar.Record{
			Name: s.Name, Zone: s.Zone, Region: s.Region, Control: s.Control, Admin: s.Admin, Incarnation: incarnation,
			Weight: int(100 * s.Limits.Cores),
		},
		HeartbeatInterval: s.Limits.HeartbeatInterval.Std(), LeaseDuration: s.Limits.LeaseDuration.Std(), Store: store, Transport: m, Log: h.log, Peers: s.Peers, ShouldWatch: turn,
		Notify: func(r registrar.Roster) {
			h.following.enroll(r)
			h.control.post(rosterChanged{roster: r})
			h.routing.enroll(r)
		},
	})
	h.server = server.New(s.Limits, h.following, h.control, forward, h.log, server.NewMetrics(registry))
	h.server.SetLimiter(limitAdapter{&h.control.limiting.gates})
	h.control.keeping = newKeeping(h.control, store, forward, s.Limits.Once, newKeepingMetrics(registry), h.log)
	h.control.keeping.era = h.era.now
	h.server.SetOnce(h.control)
	if s.Dialect != loader.DialectPlatform {
		h.control.startQuarantine(m, store, registry)
		h.server.SetQuarantine(h.control.quarantine)
	}
	if s.Dialect == loader.DialectPlatform {
		h.routing = newRouting(s, store, m, h.following, h.log, registry)
		h.following.calls = h.routing.choosing.watchesStore.Load
		h.routing.choosing.onEra = h.era.reach
		h.server.SetRoutes(h.routing.router)
	}
	h.era.onLost(func(n uint64) {
		h.registrar.StoreRestored()
		h.control.post(storeRestored{era: n})
		if h.routing != nil {
			h.routing.choosing.post(storeRestored{era: n})
		}
	})
	h.registerMetrics(registry)
	h.era.register(registry)
	h.following.register(registry)
	close(connected)
	return closeMessenger, nil
}

// receive takes a frame of another host.
func (h *Host) receive(e messenger.Envelope, msg messenger.Message) {
	if h.following.take(e, msg) || h.registrar.Receive(e.From, msg) || h.routing.hear(e.From, msg) {
		return
	}
	f := frameArrived{from: e.From, message: msg}
	if !h.holding.take(time.Now(), f, e.Generation) {
		h.control.post(f)
	}
}

// run starts the host's goroutines, waits for the end, and stops them in order.
func (h *Host) run(ctx context.Context, signals Signals, callers, operators net.Listener) error {
	roles, stopRoles := context.WithCancel(context.Background())
	defer stopRoles()
	member, leaveRoster := context.WithCancel(context.Background())
	defer leaveRoster()
	var tasks, membership sync.WaitGroup
	tasks.Go(func() { h.control.run(roles) })
	tasks.Go(func() { h.following.Run(roles) })
	stopRouting, err := h.runRoutes(roles, &tasks)
	if err != nil {
		return err
	}
	membership.Go(func() { h.registrar.Run(member) })
	admin := &http.Server{Handler: h.admin(h.registry), ReadHeaderTimeout: time.Second}
	tasks.Go(func() { _ = admin.Serve(operators) })
	failed := make(chan error, 1)
	tasks.Go(func() { failed <- h.server.Serve(callers) })
	h.log.Info("serving", zap.String("zone", h.settings.Zone), zap.String("listen", h.settings.Listen), zap.String("platform", h.settings.Platform),
		zap.String("dialect", h.settings.Dialect), zap.Int("memory", h.settings.Limits.MemoryMB), zap.Int("calls", h.settings.Limits.MaxCalls),
		zap.Duration("settle", h.settings.Limits.UnreadyDelay.Std()), zap.Duration("drain", h.settings.Limits.DrainTimeout.Std()))
	tasks.Go(func() { h.follow(roles, signals.Reload) })
	select {
	case <-ctx.Done():
	case <-h.leaving:
	case err = <-failed:
	}
	if err == nil {
		err = h.shutdown(signals.Hurry)
	}
	h.State() // the control goroutine has now sent what the last requests gave back
	leaveRoster()
	membership.Wait()
	h.flush()
	stopRoles()
	stopRouting()
	_ = admin.Close()
	tasks.Wait()
	return err
}
