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
	"github.com/cicadawood/cicadawood/publisher"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/server"
	"github.com/cicadawood/cicadawood/storer"
)

// Host is one running host.
type Host struct {
	settings  loader.Host
	log       *zap.Logger
	control   *control
	follower  *publisher.Follower
	registrar *registrar.Registrar
	server    *server.Server
	leaving   chan struct{}
	once      sync.Once
}

// Run runs a host until ctx ends or it is drained, then shuts it down
// gracefully.
func Run(ctx context.Context, settings loader.Host, log *zap.Logger) error {
	incarnation := uint64(time.Now().UnixNano())
	store, closeStore := storer.NewClient(settings.Platform)
	defer closeStore()
	forward, closeForward := forwarder.New(settings.Limits.Silence.Std())
	defer closeForward()
	h := &Host{settings: settings, log: log, leaving: make(chan struct{})}
	h.control = newControl(settings.Name, incarnation, nil, log)
	m, closeMessenger, err := messenger.New(settings.Name, incarnation, settings.Control, func(e messenger.Envelope, msg messenger.Message) {
		h.control.events <- frameArrived{from: e.From, message: msg}
	})
	if err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	defer closeMessenger()
	h.control.sender = m
	registry := prometheus.NewRegistry()
	h.follower = publisher.NewFollower(store, log, func(f *loader.Folder, g uint64) {
		h.control.events <- folderChanged{folder: f, generation: g}
		h.server.SetReady(true)
	})
	self := registrar.Record{
		Name: settings.Name, Zone: settings.Zone, Region: settings.Region,
		Control: settings.Control, Admin: settings.Admin, Incarnation: incarnation,
	}
	h.registrar = registrar.New(store, self, settings.Limits.Lease.Std(), log, func(r registrar.Roster) {
		h.control.events <- rosterChanged{roster: r}
	})
	h.server = server.New(settings.Limits, h.follower, h.control, forward, log, server.NewMetrics(registry))
	h.control.keeping = newKeeping(h.control, store, forward, settings.Limits.Once, newKeepingMetrics(registry), log)
	h.server.SetOnce(h.control)
	return h.run(ctx, registry)
}

// run starts the host's goroutines, waits for the end, and stops them in order.
func (h *Host) run(ctx context.Context, registry *prometheus.Registry) error {
	callers, err := net.Listen("tcp", h.settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	operators, err := net.Listen("tcp", h.settings.Admin)
	if err != nil {
		_ = callers.Close()
		return fmt.Errorf("listen for operators: %w", err)
	}
	inner, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { h.control.run(inner) })
	tasks.Go(func() { h.control.keeping.runLayout(inner) })
	tasks.Go(func() { h.follower.Run(inner) })
	tasks.Go(func() { h.registrar.Run(inner) })
	admin := &http.Server{Handler: h.admin(registry), ReadHeaderTimeout: time.Second}
	tasks.Go(func() { _ = admin.Serve(operators) })
	failed := make(chan error, 1)
	tasks.Go(func() { failed <- h.server.Serve(callers) })
	h.log.Info("serving", zap.String("host", h.settings.Name), zap.String("zone", h.settings.Zone), zap.String("listen", h.settings.Listen))
	select {
	case <-ctx.Done():
	case <-h.leaving:
	case err = <-failed:
	}
	if err == nil {
		err = h.shutdown()
	}
	stop()
	_ = admin.Close()
	tasks.Wait()
	return err
}

// shutdown ends the host without cutting a request: unready first, then time
// for the balancer to notice, then the requests in flight.
func (h *Host) shutdown() error {
	h.log.Info("leaving", zap.Int64("inflight", h.server.Calls()))
	h.server.SetReady(false)
	h.registrar.Leave()
	time.Sleep(h.settings.Limits.Settle.Std())
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Limits.Drain.Std())
	defer cancel()
	err := h.server.Shutdown(ctx)
	h.control.settleOnce(ctx)
	h.log.Info("left", zap.Int64("cut", h.server.Calls()))
	return err
}

// Drain begins a graceful shutdown.
func (h *Host) Drain() { h.once.Do(func() { close(h.leaving) }) }

// State is the host's whole state.
func (h *Host) State() State {
	reply := make(chan State, 1)
	h.control.events <- stateAsked{reply: reply}
	s := <-reply
	s.Zone, s.Ready, s.Inflight = h.settings.Zone, h.server.Ready(), h.server.Calls()
	return s
}
