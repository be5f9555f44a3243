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

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/router"
	"github.com/cicadawood/cicadawood/storer"
)

// routing is the parts of a host that answer host routes.
type routing struct {
	choosing *selector
	listing  *storeWatch
	router   *router.Router
	pool     *connector.Pool
	close    func()
}

func newRouting(s loader.Host, store storer.Store, m sender, f *following, log *zap.Logger, registry prometheus.Registerer) *routing {
	g := &routing{choosing: newSelector(s.Name, s.Zone, m, store, s.Repeat, log)}
	g.choosing.quarantine.register(registry)
	g.pool, g.close = connector.New()
	g.listing = &storeWatch{store: store, log: log, report: func(e storeResult) { g.choosing.post(e) }, nextCall: g.choosing.nextCall}
	g.router = router.New(router.Config{
		Dialect: platform.Wire{}, Configuration: f, Placer: g.choosing, Pool: g.pool, Log: log, Metrics: router.NewMetrics(registry),
		MaxAnswer: s.Limits.MaxAnswer, WriteTimeout: s.Limits.WriteTimeout.Std(), MaxBuffered: s.Limits.MaxBuffered,
	})
	return g
}

// hear takes a frame of another host, and says whether it was for the routing.
func (g *routing) hear(from string, m messenger.Message) bool {
	if g == nil {
		return false
	}
	switch m := m.(type) {
	case messenger.FlightUpdate:
		g.choosing.post(flightsReceived{from: from, update: m})
	case messenger.PlacementRequest:
		g.choosing.post(placementRequested{from: from, request: m})
	case messenger.PlacementReply:
		g.choosing.post(placementReplied{from: from, reply: m})
	case messenger.Quarantine:
		g.choosing.post(quarantineReceived{from: from, entries: decodeQuarantine(m)})
	case messenger.ListUpdate:
		g.choosing.post(listUpdateReceived{from: from, update: m})
	case messenger.ListSnapshot:
		g.choosing.post(listSnapshotReceived{from: from, snapshot: m})
	default:
		return false
	}
	return true
}

// enroll takes a new roster.
func (g *routing) enroll(r registrar.Roster) {
	if g != nil {
		g.choosing.post(rosterChanged{roster: r})
	}
}

// runRoutes starts the goroutines of host routes, or, where the host serves none,
// those that only the product's own interface needs. It returns how to end what
// listens.
func (h *Host) runRoutes(ctx context.Context, tasks *sync.WaitGroup) (func(), error) {
	if h.routing == nil {
		tasks.Go(func() { h.control.keeping.runLayout(ctx) })
		tasks.Go(func() { h.control.quarantine.store.run(ctx) })
		tasks.Go(func() { h.observing.run(ctx) })
		return func() {}, nil
	}
	boundMemory(h.settings.Limits)
	tasks.Go(func() { h.routing.choosing.run(ctx) })
	tasks.Go(func() { h.routing.listing.run(ctx) })
	tasks.Go(func() { h.routing.choosing.quarantine.store.run(ctx) })
	tasks.Go(func() { h.routing.sweep(ctx) })
	if h.settings.Ready == "" {
		return h.routing.close, nil
	}
	l, err := net.Listen("tcp", h.settings.Ready)
	if err != nil {
		return nil, fmt.Errorf("listen for the balancer: %w", err)
	}
	ready := &http.Server{Handler: h.ready(), ReadHeaderTimeout: time.Second}
	tasks.Go(func() { _ = ready.Serve(l) })
	return func() {
		_ = ready.Close()
		h.routing.close()
	}, nil
}

// ready answers the balancer. A host that knows no workers yet would refuse what
// another host can serve.
func (h *Host) ready() http.Handler {
	own := h.server.ReadyHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.routing.choosing.loaded.Load() {
			http.Error(w, "no workers known", http.StatusServiceUnavailable)
			return
		}
		own.ServeHTTP(w, r)
	})
}

// sweep closes idle connections to workers that were not used for long.
func (g *routing) sweep(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.pool.CloseExpired(now)
		}
	}
}
