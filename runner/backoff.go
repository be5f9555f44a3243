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
}

// acceptsRequested asks whether a worker still accepts requests from this host.
type acceptsRequested struct {
	worker placer.Worker
	reply  chan<- bool
}

// recordBackoff applies a worker's refusal. It concerns this host alone: the other hosts are
// not told, as the worker may accept their requests.
func (p *selector) recordBackoff(now time.Time, e backoffReported) {
	if p.backoffs.Report(now, e.worker, e.duration) {
		p.log.Info("worker backoff", zap.String("worker", e.worker.Name), zap.Duration("for", e.duration))
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
	return ok && x.Incarnation == w.Incarnation && p.backoffs.Left(now, w) == 0
}

func (backoffReported) event()  {}
func (acceptsRequested) event() {}
