package runner

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
)

// brittleReported is what a worker said with an answer to a request that was sent at a time:
// how many requests it may turn away in a second; 0 if it did not say.
type brittleReported struct {
	worker  string
	sentAt  time.Time
	allowed int
}

// updateBrittle applies what a worker said, and forwards news to the hosts that receive
// flight updates.
func (p *selector) updateBrittle(now time.Time, e brittleReported) {
	if !p.view.UpdateBrittle(now, e.sentAt, e.worker, e.allowed) {
		return
	}
	p.logBrittle(e.worker, e.allowed, "")
	p.pendingUpdate.Limits = append(p.pendingUpdate.Limits, brittleMessage(placer.BrittleWorker{Worker: e.worker, Allowed: e.allowed}))
	p.scheduleUpdate(now, p.delayFor(sentDelay, sentDelayToListeners))
}

// receiveBrittle applies what a worker said to another host. It returns false if the limit is
// of another kind.
func (p *selector) receiveBrittle(now time.Time, from string, l messenger.WorkerLimit) bool {
	worker, ok := strings.CutPrefix(l.Worker, messenger.BrittlePrefix)
	if !ok {
		return false
	}
	if p.view.IsBrittle(worker) != (l.Rate > 0) {
		p.logBrittle(worker, int(l.Rate), from)
	}
	p.view.ReceiveBrittle(now, placer.BrittleWorker{Worker: worker, Allowed: int(l.Rate)})
	return true
}

func (p *selector) logBrittle(worker string, allowed int, from string) {
	p.log.Info("brittle", zap.String("worker", worker), zap.Int("allowed", allowed), zap.String("by", from))
}

func brittleMessage(b placer.BrittleWorker) messenger.WorkerLimit {
	return messenger.WorkerLimit{Worker: messenger.BrittlePrefix + b.Worker, Rate: float64(b.Allowed)}
}

func (brittleReported) event() {}
