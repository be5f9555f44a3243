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
	"github.com/cicadawood/cicadawood/framer"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/reserver"
	"github.com/cicadawood/cicadawood/router"
	"github.com/cicadawood/cicadawood/storer"
	"github.com/cicadawood/cicadawood/tunneler"
)

// hostRoutes are the parts of a host that serve host routes.
type hostRoutes struct {
	selector   *selector
	storeWatch *storeWatch
	router     *router.Router
	pool       *connector.Pool
	close      func()
}

func newHostRoutes(s loader.Host, store storer.Store, m sender, f *configFollower, d *tunneler.Dialer, memory *reserver.Memory, log *zap.Logger, registry prometheus.Registerer) *hostRoutes {
	g := &hostRoutes{selector: newSelector(time.Now(), s, m, store, d, log)}
	g.selector.quarantine.register(registry)
	g.selector.origins.register(registry)
	registry.MustRegister(g.selector.standstills)
	g.selector.oddEntries.register(registry)
	g.selector.repeats.metrics.register(registry)
	g.pool, g.close = connector.New(d)
	g.pool.SetMaxHead(s.Limits.MaxAnswerHead)
	g.pool.SetMemory(memory)
	d.OnLost(g.pool.CloseAllIdle)
	g.storeWatch = &storeWatch{store: store, log: log, report: func(e storeResult) { g.selector.post(e) }, nextCall: g.selector.nextCall}
	g.selector.confirmation.read = g.storeWatch.confirm
	g.router = router.New(router.Config{
		Dialect: platform.Wire{}, Configuration: f, Placer: g.selector, Pool: g.pool, Reach: d, Origins: g.selector, Log: log, Metrics: router.NewMetrics(registry),
		MaxAnswer: s.Limits.MaxAnswer, WriteTimeout: s.Limits.WriteTimeout.Std(), Memory: memory,
	})
	return g
}

// receive handles a frame of another host, and returns whether it was for host routes.
func (g *hostRoutes) receive(from string, m messenger.Message) bool {
	if g == nil {
		return false
	}
	switch m := m.(type) {
	case messenger.FlightUpdate:
		g.selector.post(flightsReceived{from: from, update: m})
	case messenger.PlacementRequest:
		g.selector.post(placementRequested{from: from, request: m})
	case messenger.PlacementReply:
		g.selector.post(placementReplied{from: from, reply: m})
	case messenger.Quarantine:
		g.selector.post(quarantineReceived{from: from, entries: decodeQuarantine(m)})
	case messenger.LeavingWorkers:
		g.selector.post(leavingReceived{from: from, processes: decodeProcesses(m)})
	case messenger.WorkerBackoff:
		g.selector.post(backoffReceived{from: from, address: m.Address, duration: m.RetryAfter})
	case messenger.BoundRequest:
		g.selector.post(boundRequested{from: from, request: m})
	case messenger.StreamOrigins:
		g.selector.post(originsReceived{from: from, streams: m.Streams})
	case messenger.ListedOrigins:
		g.selector.post(originsListed{from: from, listed: m})
	case messenger.OriginRequest:
		g.selector.post(originRequested{from: from, request: m})
	case messenger.OriginReply:
		g.selector.post(originReplied{from: from, reply: m})
	case messenger.RepeatBorrow:
		g.selector.post(repeatBorrowed{from: from, request: m})
	case messenger.RepeatLend:
		g.selector.post(repeatLent{from: from, reply: m})
	case messenger.RepeatReturn:
		g.selector.post(repeatReturned{from: from, back: m})
	case messenger.RepeatArrived:
		g.selector.post(repeatArrived{from: from, arrived: m})
	case messenger.ListUpdate:
		g.selector.post(listUpdateReceived{from: from, update: m})
	case messenger.ListSnapshot:
		g.selector.post(listSnapshotReceived{from: from, snapshot: m})
	default:
		return false
	}
	return true
}

// setRoster applies a new roster.
func (g *hostRoutes) setRoster(r registrar.Roster) {
	if g != nil {
		g.selector.post(rosterChanged{roster: r})
	}
}

// recordWritten applies whether this host's record is the first one under its name.
func (g *hostRoutes) recordWritten(fresh bool) {
	if g != nil {
		g.selector.post(recordWritten{fresh: fresh})
	}
}

// runRoutes starts the goroutines of host routes, or, where the host serves none, those
// that only the product's own interface needs. It returns a function that closes the
// listener and the connections.
func (h *Host) runRoutes(ctx context.Context, tasks *sync.WaitGroup) (func(), error) {
	if h.routes == nil {
		tasks.Go(func() { h.control.once.loadLayout(ctx) })
		tasks.Go(func() { h.control.quarantine.runStore(ctx) })
		tasks.Go(func() { h.poller.run(ctx) })
		return func() {}, nil
	}
	setMemoryLimit(h.settings.Limits)
	tasks.Go(func() { h.routes.selector.run(ctx) })
	tasks.Go(func() { h.routes.storeWatch.run(ctx) })
	tasks.Go(func() { h.routes.selector.quarantine.runStore(ctx) })
	tasks.Go(func() { h.routes.closeExpired(ctx) })
	if h.settings.Ready == "" {
		return h.routes.close, nil
	}
	l, err := net.Listen("tcp", h.settings.Ready)
	if err != nil {
		return nil, fmt.Errorf("listen for the balancer: %w", err)
	}
	ready := &http.Server{Handler: framer.Handler(h.readyHandler()), DisableGeneralOptionsHandler: true, ReadHeaderTimeout: time.Second}
	tasks.Go(func() { h.serveHTTP(ready, l) })
	return func() {
		_ = ready.Close()
		h.routes.close()
	}, nil
}

// readyHandler answers the balancer. A host that knows no workers yet is unready: it would
// refuse requests that another host can serve.
func (h *Host) readyHandler() http.Handler {
	ownHandler := h.server.ReadyHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.routes.selector.loaded.Load() {
			http.Error(w, "no workers known", http.StatusServiceUnavailable)
			return
		}
		ownHandler.ServeHTTP(w, r)
	})
}

// closeExpired closes connections to workers that have been idle for too long.
func (g *hostRoutes) closeExpired(ctx context.Context) {
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
