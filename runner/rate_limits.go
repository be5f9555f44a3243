package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
)

// limitReported is a rate limit, in requests a second, that a worker reported with an
// answer.
type limitReported struct {
	worker   string
	rate     float64 // 0 for unlimited
	previous float64 // limit known when the request was placed
}

// updateLimit applies a worker's limit and forwards a new one to the other hosts: it
// applies to all hosts together.
func (p *selector) updateLimit(now time.Time, e limitReported) {
	oldRate := p.view.RateLimit(e.worker)
	if !p.view.UpdateLimit(now, e.worker, e.rate, e.previous) {
		return
	}
	rate := p.view.RateLimit(e.worker)
	if rate != oldRate {
		p.log.Info("limit", zap.String("worker", e.worker), zap.Float64("was", oldRate), zap.Float64("rate", rate))
	}
	p.pendingUpdate.Limits = append(p.pendingUpdate.Limits, messenger.WorkerLimit{Worker: e.worker, Rate: rate})
	p.scheduleUpdate(now, p.delayFor(sentDelay, sentDelayToListeners))
}

// receiveLimits applies the limits that workers reported to another host.
func (p *selector) receiveLimits(now time.Time, from string, limits []messenger.WorkerLimit) {
	for _, l := range limits {
		if l.Worker == messenger.OriginsFeature {
			p.origins.readers[from] = true
			continue
		}
		if p.receiveBrittle(now, from, l) {
			continue
		}
		if oldRate := p.view.RateLimit(l.Worker); oldRate != l.Rate {
			p.log.Info("limit", zap.String("worker", l.Worker), zap.Float64("was", oldRate), zap.Float64("rate", l.Rate), zap.String("by", from))
		}
		p.view.ReceiveLimit(now, placer.WorkerLimit{Worker: l.Worker, Rate: l.Rate})
	}
}

// limitMessages converts limits to their messages.
func limitMessages(list []placer.WorkerLimit) []messenger.WorkerLimit {
	var out []messenger.WorkerLimit
	for _, n := range list {
		out = append(out, messenger.WorkerLimit{Worker: n.Worker, Rate: n.Rate})
	}
	return out
}

func (limitReported) event() {}
