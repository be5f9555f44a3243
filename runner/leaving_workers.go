package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/observer"
)

// leavingReported is a worker's statement in an answer that it is leaving.
type leavingReported struct{ process observer.Process }

// reportLeaving applies a worker's statement that it is leaving, and forwards it to the
// other hosts if it is news: until the worker's entry in the store states it, they may have
// no answer that does.
func (p *selector) reportLeaving(now time.Time, x observer.Process) {
	if p.applyLeaving(now, "", x) {
		p.announceLeaving(now, x)
	}
}

// applyLeaving removes a leaving worker from those that may get requests. from is the host
// that forwarded its statement; "" is this host. It returns false if this host knew it.
func (p *selector) applyLeaving(now time.Time, from string, x observer.Process) bool {
	if !p.directory.ReportLeaving(now, x) {
		return false
	}
	p.log.Info("worker leaving", zap.String("worker", x.Name), zap.String("incarnation", x.Incarnation), zap.String("by", from))
	p.setWorkers(now)
	return true
}

func (p *selector) announceLeaving(now time.Time, x observer.Process) {
	p.pendingUpdate.Leaving = append(p.pendingUpdate.Leaving, messenger.WorkerProcess{Worker: x.Name, Incarnation: x.Incarnation})
	p.scheduleUpdate(now, p.delayFor(sentDelay, sentDelayToListeners))
}

// remindOfLeaving announces a leaving worker again, as a decider placed a request there.
func (p *selector) remindOfLeaving(now time.Time, worker string) {
	for _, x := range p.directory.Leaving() {
		if x.Name == worker {
			p.announceLeaving(now, x)
		}
	}
}

// receiveLeaving applies what workers stated to another host.
func (p *selector) receiveLeaving(now time.Time, from string, processes []messenger.WorkerProcess) {
	for _, x := range processes {
		p.applyLeaving(now, from, observer.Process{Name: x.Worker, Incarnation: x.Incarnation})
	}
}

// processMessages converts worker processes to their messages.
func processMessages(list []observer.Process) []messenger.WorkerProcess {
	var out []messenger.WorkerProcess
	for _, x := range list {
		out = append(out, messenger.WorkerProcess{Worker: x.Name, Incarnation: x.Incarnation})
	}
	return out
}

func (leavingReported) event() {}
