package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
)

// limitNamed is how many requests a second a worker named as it answered a request.
type limitNamed struct {
	worker string
	rate   float64 // 0 is any number
	known  float64 // as the request was placed
}

// name takes a worker's limit, and has the others told where it is new: it is for all hosts
// together.
func (p *selector) name(now time.Time, e limitNamed) {
	was := p.view.RateLimit(e.worker)
	if !p.view.UpdateLimit(now, e.worker, e.rate, e.known) {
		return
	}
	rate := p.view.RateLimit(e.worker)
	if rate != was {
		p.log.Info("limit", zap.String("worker", e.worker), zap.Float64("was", was), zap.Float64("rate", rate))
	}
	p.pendingUpdate.Limits = append(p.pendingUpdate.Limits, messenger.WorkerLimit{Worker: e.worker, Rate: rate})
	p.scheduleUpdate(now, p.delayFor(sentDelay, sentDelayToListeners))
}

// hearLimits takes what workers named to other hosts.
func (p *selector) hearLimits(now time.Time, from string, limits []messenger.WorkerLimit) {
	for _, l := range limits {
		if was := p.view.RateLimit(l.Worker); was != l.Rate {
			p.log.Info("limit", zap.String("worker", l.Worker), zap.Float64("was", was), zap.Float64("rate", l.Rate), zap.String("by", from))
		}
		p.view.ReceiveLimit(now, placer.WorkerLimit{Worker: l.Worker, Rate: l.Rate})
	}
}

// limitsOf is all limits that this host knows of.
func limitsOf(list []placer.WorkerLimit) []messenger.WorkerLimit {
	var out []messenger.WorkerLimit
	for _, n := range list {
		out = append(out, messenger.WorkerLimit{Worker: n.Worker, Rate: n.Rate})
	}
	return out
}

func (limitNamed) event() {}
