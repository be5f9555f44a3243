package runner

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/placer"
)

// backoffReported is a worker's refusal by which it wants no requests from this host for a
// time.
type backoffReported struct {
	worker   placer.Worker
	duration time.Duration
	via      string // host through which the request was sent; "" for none
}

// acceptsRequested asks whether a worker still accepts requests from this host, and whether the
// request may still be sent.
type acceptsRequested struct {
	worker  placer.Worker
	request placer.Request
	reply   chan<- bool
}

// otherRequested asks whether there is another worker than the named one that a request of this host
// may be sent to.
type otherRequested struct {
	worker  string
	request placer.Request
	reply   chan<- bool
}

// recordBackoff applies a worker's refusal. It concerns this host alone, and the one through
// which the request was sent: the others get no report, as the worker may accept their
// requests.
func (p *selector) recordBackoff(now time.Time, e backoffReported) {
	if e.via != "" {
		p.tellHelper(e)
	}
	p.applyBackoff(now, e.worker, e.duration, e.via)
}

// applyBackoff holds back requests of this host, and tunnels through it, for a time. other is
// the host that the refused request came from, or went through.
func (p *selector) applyBackoff(now time.Time, w placer.Worker, d time.Duration, other string) {
	p.tunnels.Rest(w.Address, now.Add(d))
	if p.backoffs.Report(now, w, d) {
		p.log.Info("worker backoff", zap.String("worker", w.Name), zap.Duration("for", d), zap.String("other", other))
	}
}

// excludeBackoffs adds the workers that want no requests from this host, of which a decider
// does not know, to those that a request is not placed on.
func excludeBackoffs(exclude []string, backoffs []placer.Backoff) []string {
	out := slices.Clone(exclude)
	for _, b := range backoffs {
		out = append(out, b.Worker)
	}
	return out
}

// accepts reports whether a worker accepts requests from this host.
func (p *selector) accepts(now time.Time, w placer.Worker) bool {
	x, ok := p.view.Worker(w.Name)
	return ok && x.Incarnation == w.Incarnation && p.sendsTo(now, w)
}

// hasOther reports whether there is another worker that a request of this host may be sent to.
func (p *selector) hasOther(now time.Time, e otherRequested) bool {
	e.request.Bound = p.origins.boundNow(e.request)
	return p.view.HasOther(now, e.worker, e.request, func(w placer.Worker) bool { return p.sendsTo(now, w) })
}

func (backoffReported) event()  {}
func (acceptsRequested) event() {}
func (otherRequested) event()   {}
