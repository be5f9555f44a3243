package router

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cicadawood/cicadawood/connector"
)

const (
	// minQuiet is the minimum time without bytes after which it is checked whether this host
	// still reaches the worker, and quietGapTargets that time within a stream, in multiples of
	// the route's target for the gap.
	minQuiet        = 250 * time.Millisecond
	quietGapTargets = 1
	// quietInterval is the interval of further checks while the quiet lasts.
	quietInterval = 100 * time.Millisecond
)

// errPathLost is why a send ends whose worker is lost to this host, and reached by another one.
var errPathLost = errors.New("this host has lost its links to the worker")

// pathFailed reports whether a send failed on its way: the error says nothing about the
// worker.
func (t *transaction) pathFailed(p Placement, err error) bool {
	for _, e := range []error{connector.ErrNoPath, connector.ErrDetour, connector.ErrUnconfirmed, errPathLost} {
		if errors.Is(err, e) {
			return true
		}
	}
	fromWorker := errors.Is(err, errNotRun) || errors.Is(err, errWorkerFailed)
	return !fromWorker && t.via == "" && t.router.Reach.Lost(p.Worker.Address)
}

// pathWatch checks, while a worker sends nothing, whether this host still reaches it. The
// request goes on, as a silent worker has not failed; but if only this host has lost its links
// to it and the request may be sent to another worker, the send ends.
type pathWatch struct {
	timer *time.Timer
	quiet time.Duration // after bytes of a stream
	ended atomic.Bool
}

// watchPath starts the watch of a send, which ends the send by cancel.
func (t *transaction) watchPath(p Placement, cancel context.CancelCauseFunc) *pathWatch {
	first := max(minQuiet, silenceWaitFactor*p.ExpectedWait, silenceTargetFactor*t.q.LatencyTarget.Std())
	w := &pathWatch{quiet: max(minQuiet, quietGapTargets*t.q.GapTarget.Std())}
	mayFollow := t.mayFollow()
	reach, address := t.router.Reach, p.Worker.Address
	check := func() {
		if w.ended.Load() {
			return
		}
		reach.Suspect(address)
		if mayFollow && reach.Lost(address) {
			cancel(errPathLost)
			return
		}
		w.timer.Reset(quietInterval)
	}
	w.timer = time.AfterFunc(time.Hour, check)
	w.timer.Reset(first)
	return w
}

// progress records bytes of a stream.
func (w *pathWatch) progress() {
	if !w.ended.Load() {
		w.timer.Reset(w.quiet)
	}
}

// stop ends the watch.
func (w *pathWatch) stop() {
	w.ended.Store(true)
	w.timer.Stop()
}
