package runner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/reacher"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/tunneler"
)

// servedShare is the number of requests in flight that a host may have for each tunnel that
// other hosts may open through it: their callers must not displace its own.
const servedShare = 4

// newTunnels returns a host's connections to backend servers, and through other hosts.
func newTunnels(s loader.Host, log *zap.Logger, r prometheus.Registerer) *tunneler.Dialer {
	return tunneler.New(tunneler.Config{
		Self: s.Name, Zone: s.Zone, Direct: connector.Direct{Translate: s.Translations(), Observe: countConnects(r)},
		MaxServed: max(s.Limits.MaxCalls/servedShare, 1), Log: log, Metrics: tunneler.NewMetrics(r),
	})
}

// backoffReceived is another host's report that a worker refused a request which it sent
// through this host, and wants no other from this host for a time.
type backoffReceived struct {
	from     string
	address  string
	duration time.Duration
}

// helpersOf returns the hosts of a roster that may help another one. One that could not be
// reached is among them: only the next attempt shows whether it can be now.
func helpersOf(r registrar.Roster, self string) []reacher.Host {
	var out []reacher.Host
	for _, h := range r.Hosts() {
		if h.Name != self && !h.Leaving {
			out = append(out, reacher.Host{Name: h.Name, Zone: h.Zone, Address: h.Control, Incarnation: h.Incarnation})
		}
	}
	return out
}

// heldBack returns the workers of a service that get no requests from this host now: those
// that want none, and those that no host connects to.
func (p *selector) heldBack(now time.Time, service string) []placer.Backoff {
	out := p.view.Backoffs(now, service, &p.backoffs)
	if !p.tunnels.AnyBlocked(now) {
		return out
	}
	for _, w := range p.view.WorkersOf(service) {
		if left := p.tunnels.Blocked(now, w.Address); left > 0 {
			out = append(out, placer.Backoff{Worker: w.Name, Left: left, NoPath: true})
		}
	}
	return out
}

// sendsTo reports whether this host sends requests to a worker now.
func (p *selector) sendsTo(now time.Time, w placer.Worker) bool {
	return p.backoffs.Left(now, w) == 0 && p.tunnels.Blocked(now, w.Address) == 0
}

// tellHelper reports a worker's refusal to the host through which the request was sent: for
// the worker, that is the host that sent it.
func (p *selector) tellHelper(e backoffReported) {
	h, ok := p.roster.Find(e.via)
	if !ok {
		return
	}
	if err := p.sender.Send(h.Control, messenger.WorkerBackoff{Address: e.worker.Address, RetryAfter: e.duration}); err != nil {
		p.log.Warn("send", zap.String("peer", e.via), zap.Error(err))
	}
}

// receiveBackoff applies a refusal of a request that another host sent through this one.
func (p *selector) receiveBackoff(now time.Time, e backoffReceived) {
	w, ok := p.view.WorkerAt(e.address)
	if !ok {
		return
	}
	p.applyBackoff(now, w, e.duration, e.from)
}

// setTunnelWorkers sets the workers that the tunneler connects to: also those that are leaving, as
// requests are under way there.
func (p *selector) setTunnelWorkers() {
	var list []reacher.Worker
	for _, e := range p.directory.All() {
		list = append(list, reacher.Worker{Address: e.Address, Service: e.Service})
	}
	p.tunnels.SetWorkers(list)
}

// setTunnelWorkers sets the backend servers of the own interface that the tunneler connects to.
func (c *control) setTunnelWorkers() {
	if c.tunnels == nil {
		return
	}
	var list []reacher.Worker
	for name, s := range c.observer.Services() {
		for _, w := range s.Workers {
			list = append(list, reacher.Worker{Address: w.Address, Service: name})
		}
	}
	c.tunnels.SetWorkers(list)
}

func (backoffReceived) event() {}
