package router

import (
	"errors"
	"time"

	"github.com/cicadawood/cicadawood/connector"
)

// pathFailed reports whether a send failed on its way: the error says nothing about the
// worker.
func (t *transaction) pathFailed(p Placement, err error) bool {
	if errors.Is(err, connector.ErrNoPath) || errors.Is(err, connector.ErrDetour) {
		return true
	}
	fromWorker := errors.Is(err, errNotRun) || errors.Is(err, errWorkerFailed)
	return !fromWorker && t.via == "" && t.router.Reach.Lost(p.Worker.Address)
}

// suspectSilence has it checked whether this host reaches the worker, if its answer does not
// begin in time. The request goes on: a silent worker has not failed.
func (t *transaction) suspectSilence(p Placement) *time.Timer {
	bound := max(silenceWaitFactor*p.ExpectedWait, silenceTargetFactor*t.q.LatencyTarget.Std())
	return time.AfterFunc(bound, func() { t.router.Reach.Suspect(p.Worker.Address) })
}
