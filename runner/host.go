// Package runner composes one host: its roles, its adapters, and the goroutine that owns
// all control state.
package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/framer"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/reserver"
	"github.com/cicadawood/cicadawood/server"
	"github.com/cicadawood/cicadawood/storer"
	"github.com/cicadawood/cicadawood/tunneler"
)

// ackDelay is how long the acknowledgement of a frame from another host is delayed, so that
// one acknowledgement covers all frames received in the meantime: a fifth of the silence
// after which a connection is replaced.
const ackDelay = 100 * time.Millisecond

// Host is one running host.
type Host struct {
	settings       loader.Host
	log            *zap.Logger
	control        *control
	follower       *configFollower
	pending        pendingFrames
	registrar      *registrar.Registrar
	messenger      *messenger.Messenger
	server         *server.Server
	poller         *workerPoller
	tunnels        *tunneler.Dialer
	registry       *prometheus.Registry
	memory         *reserver.Memory // for what others send
	routes         *hostRoutes      // nil where the host speaks the product's own dialect
	era            eraTracker
	drainRequested chan struct{}
	drainOnce      sync.Once
}

// serveHTTP serves until the server is closed. net/http goes on by itself after failures that pass, such as a
// want of descriptors.
func (h *Host) serveHTTP(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		h.log.Error("accept", zap.Stringer("listen", l.Addr()), zap.Error(err))
	}
}

// Run runs a host until ctx ends or it is drained, then shuts it down gracefully.
func Run(ctx context.Context, settings loader.Host, log *zap.Logger) error {
	return RunUntil(ctx, nil, settings, log)
}

// Signals are the external inputs of a running host. A nil field is not used.
type Signals struct {
	// Abort, when closed, ends a shutdown that takes too long: requests still in flight are
	// aborted, and the error reports their number.
	Abort <-chan struct{}
	// Reload delivers new settings. Only the retry budget and the memory limit can change
	// while a host runs.
	Reload <-chan loader.Host
	// DroppedLines returns the number of log lines that were not written.
	DroppedLines func() uint64
}

// RunUntil is Run with a way to end a shutdown that takes too long: closing abort aborts
// the requests still in flight, and the error reports their number.
func RunUntil(ctx context.Context, abort <-chan struct{}, settings loader.Host, log *zap.Logger) error {
	return RunWith(ctx, Signals{Abort: abort}, settings, log)
}

// RunWith is Run with all signals.
func RunWith(ctx context.Context, signals Signals, settings loader.Host, log *zap.Logger) error {
	callerListener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	defer callerListener.Close()
	adminListener, err := net.Listen("tcp", settings.Admin)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	defer adminListener.Close()
	store, closeStore := platform.NewStore(settings.Platform)
	defer closeStore()
	if settings.Dialect == loader.DialectPlatform {
		settings.Name = processName(settings.Name)
	}
	h := &Host{settings: settings, log: log, registry: prometheus.NewRegistry(), memory: reserver.New(settings.Limits.MaxBuffered), drainRequested: make(chan struct{})}
	registerMemory(h.memory, h.registry)
	store.SetMemory(h.memory)
	h.tunnels = newTunnels(settings, log, h.registry)
	forward, closeForward := forwarder.New(h.tunnels, settings.Limits.SilenceTimeout.Std())
	defer closeForward()
	h.era.log = log
	store.OnSkipped(countSkipped(log, h.registry))
	store.OnEra(func(n uint64) { h.era.advance(n, "store") })
	closeMessenger, err := h.compose(store, forward)
	if err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	defer closeMessenger()
	if signals.DroppedLines != nil {
		registerDroppedLines(h.registry, signals.DroppedLines)
	}
	return h.run(ctx, signals, callerListener, adminListener)
}

// compose creates the host's parts and connects them. Only the messenger runs afterwards;
// the function returned closes it.
func (h *Host) compose(store storer.Store, forward *forwarder.Forwarder) (func(), error) {
	s := h.settings
	incarnation := uint64(time.Now().UnixNano())
	registry := h.registry
	store = countStoreCalls(store, registry)
	h.control = newControl(s.Name, incarnation, nil, h.log)
	if s.Dialect != loader.DialectPlatform {
		h.control.tunnels = h.tunnels
		h.tunnels.OnLost(forward.CloseIdle)
	}
	h.poller = newWorkerPoller(h.control, s.Platform, h.tunnels, h.log)
	forward.OnRefused(h.poller.postRefusal)
	connected := make(chan struct{})
	m, closeMessenger, err := messenger.Open(messenger.Config{
		Name: s.Name, Incarnation: incarnation, Address: s.Control, Translate: s.Translations(), AckTimeout: s.Limits.AckTimeout.Std(), AckDelay: ackDelay, Memory: h.memory,
		OnReachability: func(address string, reachable bool) {
			<-connected
			h.registrar.SetReachable(address, reachable)
		},
		OnTunnel:        h.tunnels.Serve,
		OnAcceptFailure: func(err error) { h.log.Warn("accept", zap.String("listen", s.Control), zap.Error(err)) },
	}, func(e messenger.Envelope, msg messenger.Message) {
		<-connected
		h.receive(e, msg)
	})
	if err != nil {
		return nil, err
	}
	h.messenger, h.control.sender = m, m
	h.follower = newConfigFollower(s, store, m, h.log, func(ready bool) { h.server.SetReady(ready) }, func(f *loader.Folder, g uint64) {
		if h.routes != nil {
			h.routes.selector.post(configChanged{folder: f, generation: g})
			f = dispatcherConfig(f)
		}
		h.control.post(configChanged{folder: f, generation: g})
		for _, frame := range h.pending.release(time.Now(), f, g) {
			h.control.post(frame)
		}
	})
	var shouldWatch func() bool
	if s.Dialect == loader.DialectPlatform {
		shouldWatch = func() bool { return h.routes.selector.watchesStore.Load() }
	}
	h.registrar = registrar.New(registrar.Config{
		Self: registrar.Record{
			Name: s.Name, Zone: s.Zone, Region: s.Region, Control: s.Control, Admin: s.Admin, Incarnation: incarnation,
			Weight: int(100 * s.Limits.Cores),
		},
		HeartbeatInterval: s.Limits.HeartbeatInterval.Std(), LeaseDuration: s.Limits.LeaseDuration.Std(), Store: store, Transport: m, Log: h.log, Peers: s.Peers, ShouldWatch: shouldWatch,
		Notify: func(r registrar.Roster) {
			h.follower.setRoster(r)
			h.control.post(rosterChanged{roster: r})
			h.routes.setRoster(r)
		},
		OnFirstWrite:  func(fresh bool) { h.routes.recordWritten(fresh) },
		OnPredecessor: func() { h.routes.recordWritten(false) },
	})
	h.server = server.New(s.Limits, h.memory, h.follower, h.control, forward, h.log, server.NewMetrics(registry))
	h.server.SetLimiter(limitAdapter{&h.control.limits.gates})
	h.control.once = newOnceManager(h.control, store, forward, h.memory, s.Limits.Once, newOnceMetrics(registry), h.log)
	h.control.once.era = h.era.current
	h.server.SetOnce(h.control)
	if s.Dialect != loader.DialectPlatform {
		h.control.startQuarantine(m, store, registry)
		h.server.SetQuarantine(h.control.quarantine)
	}
	if s.Dialect == loader.DialectPlatform {
		h.routes = newHostRoutes(s, store, m, h.follower, h.tunnels, h.memory, h.log, registry)
		h.follower.shouldWatch = h.routes.selector.watchesStore.Load
		h.routes.selector.onEra = h.era.advance
		h.server.SetRoutes(h.routes.router)
	}
	h.era.onRestored(func(n uint64) {
		h.registrar.StoreRestored()
		h.control.post(storeRestored{era: n})
		if h.routes != nil {
			h.routes.selector.post(storeRestored{era: n})
		}
	})
	h.registerMetrics(registry)
	h.era.register(registry)
	h.follower.register(registry)
	close(connected)
	return closeMessenger, nil
}

// receive passes a frame of another host to the part that handles it.
func (h *Host) receive(e messenger.Envelope, msg messenger.Message) {
	if h.follower.receive(e, msg) || h.registrar.Receive(e.From, msg) || h.routes.receive(e.From, msg) {
		return
	}
	f := frameReceived{from: e.From, message: msg}
	if !h.pending.add(time.Now(), f, e.Generation) {
		h.control.post(f)
	}
}

// run starts the host's goroutines, waits for the end, and stops them in order.
func (h *Host) run(ctx context.Context, signals Signals, callerListener, adminListener net.Listener) error {
	roles, stopRoles := context.WithCancel(context.Background())
	defer stopRoles()
	member, leaveRoster := context.WithCancel(context.Background())
	defer leaveRoster()
	var tasks, membership sync.WaitGroup
	tasks.Go(func() { h.control.run(roles) })
	tasks.Go(func() { h.follower.Run(roles) })
	tasks.Go(func() { h.tunnels.Run(roles) })
	stopRouting, err := h.runRoutes(roles, &tasks)
	if err != nil {
		return err
	}
	membership.Go(func() { h.registrar.Run(member) })
	admin := &http.Server{Handler: framer.Handler(h.admin(h.registry)), DisableGeneralOptionsHandler: true, ReadHeaderTimeout: time.Second}
	tasks.Go(func() { h.serveHTTP(admin, adminListener) })
	failed := make(chan error, 1)
	tasks.Go(func() { failed <- h.server.Serve(callerListener) })
	h.log.Info("serving", zap.String("zone", h.settings.Zone), zap.String("listen", h.settings.Listen), zap.String("platform", h.settings.Platform),
		zap.String("dialect", h.settings.Dialect), zap.Int("memory", h.settings.Limits.MemoryMB), zap.Int("calls", h.settings.Limits.MaxCalls),
		zap.Duration("settle", h.settings.Limits.UnreadyDelay.Std()), zap.Duration("drain", h.settings.Limits.DrainTimeout.Std()))
	tasks.Go(func() { h.applyReloads(roles, signals.Reload) })
	select {
	case <-ctx.Done():
	case <-h.drainRequested:
	case err = <-failed:
	}
	if err == nil {
		err = h.shutdown(signals.Abort)
	}
	h.State() // waits until the control goroutine has sent the releases of the last requests
	leaveRoster()
	membership.Wait()
	h.flush()
	stopRoles()
	stopRouting()
	_ = admin.Close()
	tasks.Wait()
	return err
}
