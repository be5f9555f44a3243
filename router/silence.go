package router

import (
	"context"
	"time"
)

const (
	// A worker may stay silent on a repeatable request for silenceWaitFactor times the
	// expected wait, or silenceTargetFactor times the target for the first event,
	// whichever is longer.
	silenceWaitFactor   = 4
	silenceTargetFactor = 2
)

// mayFollow reports whether the request may be sent to another worker if the current one may have
// run it.
func (t *transaction) mayFollow() bool {
	return t.q.Repeatable() && t.mayHaveRunCount+1 < t.q.MaxAttempts && t.sends < maxSends
}

// silenceTimeout returns the maximum wait until an answer begins, with its first event or
// as a whole. It leaves time to try another worker. 0 allows the whole time: there is a limit
// only where another send may follow.
func (t *transaction) silenceTimeout(p Placement) time.Duration {
	if !t.mayFollow() {
		return 0
	}
	bound := max(silenceWaitFactor*p.ExpectedWait, silenceTargetFactor*t.q.LatencyTarget.Std())
	return min(bound, t.q.timeLeft(time.Now())/2)
}

// watchSilence ends a send by cancel if its answer has not begun in time and there is another
// worker that may be tried. The function returned ends the watch.
func (t *transaction) watchSilence(ctx context.Context, p Placement, bound time.Duration, cancel context.CancelCauseFunc) func() {
	watched, stop := context.WithCancel(ctx)
	workers, request := t.router.Placer, t.q.placement
	timer := time.AfterFunc(bound, func() {
		for !workers.HasOther(watched, p, request) {
			if !sleep(watched, quietInterval) {
				return
			}
		}
		if watched.Err() == nil {
			cancel(errSilent)
		}
	})
	return func() {
		timer.Stop()
		stop()
	}
}
