package placer

import (
	"math"
	"time"
)

const (
	// confirmDelay is how long after a connection to a worker broke the list of workers must
	// have been current for the worker to be the one that is listed: a worker that has started
	// again may take requests before its new entry is known. It is longer than the time for
	// which a list counts as current though the store is silent.
	confirmDelay = 1200 * time.Millisecond
	// breakReportDelay is the longest usual delay of another host's report of a broken
	// connection.
	breakReportDelay = 20 * time.Millisecond
	// keptShare is the part of one worker's slots that all workers of a version together keep
	// for streams that go on: new ones begin less often for it.
	keptShare = 1.0 / 4
	// loneKeptShare is the part of its slots that the only worker of a version keeps for streams
	// that go on.
	loneKeptShare = 1.0 / 8
	// confirmRetryAfter is the retry time of a stream whose workers may have started again.
	confirmRetryAfter = confirmDelay + 200*time.Millisecond
)

// Reasons to refuse a stream that goes on only at the version that began it.
const (
	// ReasonVersionGone means that no worker of the version is left.
	ReasonVersionGone = "version_gone"
	// ReasonUnconfirmed means that its workers may have started again at another version.
	ReasonUnconfirmed = "version_unconfirmed"
	// ReasonUncertain means that the worker that began it may have been another start than the
	// listed one.
	ReasonUncertain = "version_uncertain"
)

// SetConfirmed records when the list of workers was last known to be current.
func (v *View) SetConfirmed(at time.Time) { v.confirmedAt = at }

// ConfirmedSince reports whether a worker that answers over a connection which was made at
// openedAt is the one that is listed: breaks of other connections after that don't matter.
func (v *View) ConfirmedSince(name string, openedAt time.Time) bool {
	w := v.workers[name]
	return w != nil && (v.confirmed(w) || w.brokenAt.Sub(openedAt) > breakReportDelay)
}

func (v *View) confirmed(w *worker) bool {
	return w.brokenAt.IsZero() || v.confirmedAt.Sub(w.brokenAt) >= confirmDelay
}

// MayContinue reports whether a request may go to a worker by the software that began its
// stream, if any.
func (v *View) MayContinue(w Worker, req Request) bool {
	x := v.workers[w.Name]
	return x != nil && v.mayContinue(x, req)
}

// mayContinue reports whether a request may go to a worker by the software that began its
// stream, if any.
func (v *View) mayContinue(w *worker, req Request) bool {
	return req.Bound == nil || w.Software().Continues(*req.Bound) && v.confirmed(w)
}

// refuseBound refuses a stream for which there is no worker of the software that began it. It
// returns nil if there is one.
func (v *View) refuseBound(req Request) *Refusal {
	if req.Bound == nil {
		return nil
	}
	if req.Bound.IsUncertain() {
		return &Refusal{Reason: ReasonUncertain}
	}
	left := false
	for _, w := range v.sorted {
		if !w.Software().Continues(*req.Bound) || excluded(req, w.Name) {
			continue
		}
		if v.confirmed(w) {
			return nil
		}
		left = true
	}
	if left {
		return &Refusal{RetryAfter: confirmRetryAfter, Reason: ReasonUnconfirmed}
	}
	return &Refusal{Reason: ReasonVersionGone}
}

// countVersions counts the workers of each service by their software.
func (v *View) countVersions() {
	v.versions = map[string]map[string]int{}
	for _, w := range v.sorted {
		if v.versions[w.Service] == nil {
			v.versions[w.Service] = map[string]int{}
		}
		v.versions[w.Service][w.Software().Software()]++
	}
}

// Versions returns the number of workers by service and software version; those without a
// known version are counted under "".
func (v *View) Versions() map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, w := range v.sorted {
		if out[w.Service] == nil {
			out[w.Service] = map[string]int{}
		}
		out[w.Service][w.Version]++
	}
	return out
}

// preferred reports whether a request goes before those that begin: it goes on with a stream
// that only workers of its version can go on with.
func (v *View) preferred(req Request) bool {
	return req.Resumed && req.Bound != nil && len(v.versions[req.Service]) > 1
}

// keptForResumed returns the slots of an engine that new streams leave to those that may have to
// go on there. If one worker of a version fails, only the others can go on with its streams,
// so each keeps its part of the slots for them. A service with one version keeps none, as all
// workers can; nor does a worker without a version.
func (v *View) keptForResumed(w *worker, req Request) int {
	list := v.versions[w.Service]
	if req.Resumed || w.CacheTokens == 0 || w.Version == "" || len(list) < 2 {
		return 0
	}
	n := list[w.Software().Software()]
	if n < 2 {
		return int(loneKeptShare * float64(w.Slots))
	}
	return int(math.Ceil(keptShare * float64(w.Slots) / float64(n)))
}
