// Package quarantiner detects requests that crash the workers which run them, and quarantines
// them: repeated by callers or by the system's own retries, a single such request can take down
// a whole fleet of workers.
//
// A Tracker holds one host's records of such requests. When a worker crashes, each request that
// it had gets a mark. The cause differs from the other requests in that it crashes workers
// again. So marks only count in sequence, each for a copy that was sent after the previous
// crash. An answer to the request clears its marks; an answer of the worker shows that only a
// connection broke; and a crash that a quarantined request explains is no mark against other
// requests.
//
// The package does no I/O and takes the time as an argument. A Tracker is not safe for
// concurrent use.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxMarks is the number of workers that a request may crash before it is quarantined. One
	// crash may be a coincidence, and so may two if workers fail in turn.
	maxMarks = 3
	// firstDuration is the length of a request's first quarantine. Each later crash after its
	// release doubles it, up to maxDuration.
	firstDuration = 10 * time.Minute
	maxDuration   = 6 * time.Hour
	// forgetAfter is how long the marks of a request that is not quarantined are kept: callers
	// that retry by a timer do so within an hour.
	forgetAfter = time.Hour
	// defaultMinRestartTime is the default of Tracker.MinRestartTime: an engine takes longer to
	// restart.
	defaultMinRestartTime = 2 * time.Second
	// maxRecords bounds the memory. It is enough for all requests at a few dozen workers.
	maxRecords = 4096
	// maxWorkers is the maximum number of workers recorded for one quarantined request.
	maxWorkers = 32
)

const (
	// MaxUpdateDelay is the longest delay of another host's update about an answer, over a link
	// that loses packets. The worker is only known to have been alive that much earlier.
	MaxUpdateDelay = time.Second
	// UsualUpdateDelay is the usual delay of another host's update about a request that it
	// sent.
	UsualUpdateDelay = 50 * time.Millisecond
)

// mark is a worker's crash while it had a request.
type mark struct {
	worker string
	at     time.Time
}

// record is the state of one request.
type record struct {
	marks     []mark
	threshold int           // marks that put it in quarantine
	endsAt    time.Time     // end of the quarantine; zero if there was none
	duration  time.Duration // of the current or last quarantine
	released  bool          // released since the last quarantine
}

func (r *record) quarantined(now time.Time) bool { return now.Before(r.endsAt) }

// explains reports whether the record has the crash that a mark stands for.
func (r *record) explains(m mark) bool {
	return slices.ContainsFunc(r.marks, m.sameCrash)
}

// lastMark returns the time of the latest mark.
func (r *record) lastMark() time.Time {
	var last time.Time
	for _, m := range r.marks {
		if m.at.After(last) {
			last = m.at
		}
	}
	return last
}

// idleSince returns the time of the latest mark or the end of the quarantine, whichever is
// later.
func (r *record) idleSince() time.Time {
	if last := r.lastMark(); last.After(r.endsAt) {
		return last
	}
	return r.endsAt
}

// quarantine puts the request in quarantine for d.
func (r *record) quarantine(now time.Time, d time.Duration) {
	r.endsAt, r.released = now.Add(d), false
}

// empty reports whether the record holds neither marks nor a quarantine.
func (r *record) empty() bool { return len(r.marks) == 0 && r.duration == 0 }

// Entry is a quarantined request.
type Entry struct {
	Fingerprint Fingerprint
	Remaining   time.Duration // time left
	Duration    time.Duration // total length of the quarantine
	Workers     []string      // the first ones that it crashed
}

// Tracker holds one host's records of requests that crashed workers. The zero Tracker is empty
// and ready to use.
type Tracker struct {
	// MinRestartTime is the time after an apparent crash within which an answer of the worker
	// shows that it did not crash; 0 means two seconds. A process that did crash must take
	// longer to restart, if it restarts under the same name.
	MinRestartTime time.Duration
	// RenamedOnRestart states that workers restart under a new name, or not within
	// MinRestartTime. A worker that is seen again under its name within that time did not
	// crash.
	RenamedOnRestart bool

	records          map[Fingerprint]*record
	lastMark         time.Time     // time of the latest mark
	newlyQuarantined []Entry       // quarantined since the last DrainQuarantined
	newlyReleased    []Fingerprint // released since the last DrainReleased
	newlyCleared     []Fingerprint // released before their time since the last DrainCleared
}

// WorkerCrashed records that a worker crashed with a request that was sent to it at the given
// time.
func (t *Tracker) WorkerCrashed(now time.Time, f Fingerprint, worker string, sent time.Time) {
	r := t.records[f]
	switch {
	case f == 0:
		return
	case r != nil && r.quarantined(now):
		r.addMark(mark{worker, now})
		return
	case t.isExplained(mark{worker, now}):
		return
	case r == nil:
		r = t.add(f)
	case !sent.After(r.lastMark()):
		return // the previous crash happened while this copy was under way
	case t.stillRunning(now, r, worker):
		return
	}
	r.marks = append(r.marks, mark{worker, now})
	t.lastMark = now
	if len(r.marks) < r.threshold {
		return
	}
	r.duration = min(max(2*r.duration, firstDuration), maxDuration)
	r.quarantine(now, r.duration)
	t.clearExplained(now, r)
	t.newlyQuarantined = append(t.newlyQuarantined, r.entry(now, f))
}

// stillRunning reports whether the request has a recent mark for the same worker. The worker
// then did not crash the first time, only a connection broke; the mark moves to now.
func (t *Tracker) stillRunning(now time.Time, r *record, worker string) bool {
	i := slices.IndexFunc(r.marks, func(m mark) bool { return m.worker == worker })
	if !t.RenamedOnRestart || i < 0 || now.Sub(r.marks[i].at) >= t.minRestartTime() {
		return false
	}
	r.marks[i].at = now
	return true
}

// minRestartTime returns MinRestartTime or its default.
func (t *Tracker) minRestartTime() time.Duration {
	return cmp.Or(t.MinRestartTime, defaultMinRestartTime)
}

// DrainQuarantined returns the requests quarantined by this host since the last call.
func (t *Tracker) DrainQuarantined() []Entry {
	out := t.newlyQuarantined
	t.newlyQuarantined = nil
	return out
}

// DrainReleased returns the requests released since the last call.
func (t *Tracker) DrainReleased() []Fingerprint {
	out := t.newlyReleased
	t.newlyReleased = nil
	return out
}

// addMark adds the crash of a worker by a copy that was under way as the request was
// quarantined.
func (r *record) addMark(m mark) {
	if !r.explains(m) {
		r.marks = append(r.marks, m)
		r.marks = slices.Delete(r.marks, 0, max(0, len(r.marks)-maxWorkers))
	}
}

// isExplained reports whether a quarantined request caused the crash that a mark stands for.
func (t *Tracker) isExplained(m mark) bool {
	for _, r := range t.records {
		if r.quarantined(m.at) && r.explains(m) {
			return true
		}
	}
	return false
}

// clearExplained removes the marks of other requests for crashes that a quarantined request
// explains.
func (t *Tracker) clearExplained(now time.Time, by *record) {
	for f, r := range t.records {
		if r == by || r.quarantined(now) {
			continue
		}
		r.marks = slices.DeleteFunc(r.marks, by.explains)
		if r.empty() {
			delete(t.records, f)
		}
	}
}

// add creates a record, after dropping old ones if there are too many.
func (t *Tracker) add(f Fingerprint) *record {
	if t.records == nil {
		t.records = map[Fingerprint]*record{}
	}
	if len(t.records) >= maxRecords {
		t.shrink()
	}
	r := &record{threshold: maxMarks}
	t.records[f] = r
	return r
}

// shrink drops a quarter of the records: those not quarantined first, the oldest of them before
// others.
func (t *Tracker) shrink() {
	all := slices.SortedFunc(maps.Keys(t.records), func(x, y Fingerprint) int {
		return cmp.Or(t.records[x].endsAt.Compare(t.records[y].endsAt), t.records[x].lastMark().Compare(t.records[y].lastMark()))
	})
	for _, f := range all[:len(all)/4] {
		delete(t.records, f)
	}
}

// Answered records that a worker answered a request, even with an error: the request does not
// crash its worker, so its record is removed.
func (t *Tracker) Answered(f Fingerprint) { delete(t.records, f) }

// Alive records that a worker was alive at a given time. If it seemed to crash before that,
// only a connection broke. Alive reports whether it removed a mark.
func (t *Tracker) Alive(now time.Time, worker string, at time.Time) bool {
	minRestart := t.minRestartTime()
	if now.Sub(t.lastMark) >= minRestart {
		return false // no mark is recent enough
	}
	removed := false
	for f, r := range t.records {
		before := len(r.marks)
		r.marks = slices.DeleteFunc(r.marks, func(m mark) bool {
			return m.worker == worker && at.Sub(m.at) > UsualUpdateDelay && now.Sub(m.at) < minRestart
		})
		removed = removed || len(r.marks) < before
		t.releaseBelowThreshold(now, f, r)
	}
	return removed
}

// Suspected reports whether a request has a record.
func (t *Tracker) Suspected(f Fingerprint) bool { return t.records[f] != nil }

// Quarantined reports whether a request is quarantined, and for how much longer.
func (t *Tracker) Quarantined(now time.Time, f Fingerprint) (time.Duration, bool) {
	r := t.records[f]
	if r == nil || !r.quarantined(now) {
		return 0, false
	}
	return r.endsAt.Sub(now), true
}

// List returns the quarantined requests, ordered by fingerprint.
func (t *Tracker) List(now time.Time) []Entry {
	var out []Entry
	for f, r := range t.records {
		if r.quarantined(now) {
			out = append(out, r.entry(now, f))
		}
	}
	slices.SortFunc(out, func(x, y Entry) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return out
}

func (r *record) entry(now time.Time, f Fingerprint) Entry {
	return Entry{Fingerprint: f, Remaining: r.endsAt.Sub(now), Duration: r.duration, Workers: r.workers()}
}

func (r *record) workers() []string {
	var out []string
	for _, m := range r.marks[:min(len(r.marks), maxMarks)] {
		out = append(out, m.worker)
	}
	return out
}

// Receive adds a request that another host has quarantined. It reports whether it was not
// quarantined here yet.
func (t *Tracker) Receive(now time.Time, e Entry) bool {
	if e.Fingerprint == 0 || e.Remaining <= 0 {
		return false
	}
	r := t.records[e.Fingerprint]
	if r != nil && r.quarantined(now) {
		return false
	}
	if r == nil {
		r = t.add(e.Fingerprint)
	}
	r.marks = nil
	for _, worker := range e.Workers {
		r.marks = append(r.marks, mark{worker, now})
	}
	r.duration = min(e.Duration, maxDuration)
	r.quarantine(now, min(e.Remaining, maxDuration))
	t.clearExplained(now, r)
	return true
}

// Sweep releases requests whose quarantine is over, on probation: a single further crash
// quarantines them again, for longer. It also removes old records.
func (t *Tracker) Sweep(now time.Time) {
	for f, r := range t.records {
		switch {
		case r.quarantined(now):
		case r.duration > 0 && !r.released:
			t.newlyReleased = append(t.newlyReleased, f)
			r.marks, r.threshold, r.released = nil, 1, true
		case now.Sub(r.idleSince()) > max(forgetAfter, r.duration):
			delete(t.records, f)
		}
	}
	slices.Sort(t.newlyReleased)
}
