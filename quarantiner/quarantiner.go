// Package quarantiner finds requests that end the workers which run them, and holds them
// back: sent again and again, by callers that try anew or by the system itself, one of them
// takes down a whole fleet of workers.
//
// A Book is what one host knows. A worker that ended is a mark against each request that
// it had; what tells the one that did it from the others is that it does so again. So
// marks count only one after another, each of a request that was sent after the one
// before; an answer to the request clears it, an answer of the worker shows that only a
// connection broke, and what a request held back explains is no mark against others.
//
// It is pure: time is an argument, and nothing in it does I/O. It is not safe for
// concurrent use.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// marksMost is the workers that a request may end before it is held back. One may be
	// a coincidence, and so may two where workers fail by turns.
	marksMost = 3
	// heldFirst is for how long a request is held back; each time that it ends another
	// worker afterwards doubles that, up to heldMost.
	heldFirst = 10 * time.Minute
	heldMost  = 6 * time.Hour
	// forgetAfter is how long marks of a request that is not held back are kept: a caller
	// that tries again by a timer does so within an hour.
	forgetAfter = time.Hour
	// aliveWithin is the default of Book.AliveWithin: an engine takes longer to come back.
	aliveWithin = 2 * time.Second
	// recordsMost bounds the memory: the records of all requests at a few dozen workers.
	recordsMost = 4096
	// workersMost is the workers that are kept of a request that is held back.
	workersMost = 32
)

const (
	// MaxUpdateDelay is how late word of an answer may come from another host, over a link that
	// loses packets: a worker is known to have been there by so much earlier.
	MaxUpdateDelay = time.Second
	// UsualUpdateDelay is how late word of what another host sends comes as a rule.
	UsualUpdateDelay = 50 * time.Millisecond
)

// mark is the end of a worker that had a request.
type mark struct {
	worker string
	at     time.Time
}

// record is what is known of one request.
type record struct {
	marks []mark
	need  int           // marks that have it held back
	until time.Time     // it is held back; zero where it never was
	span  time.Duration // for which it is, or was
	let   bool          // it was let go since
}

func (r *record) held(now time.Time) bool { return now.Before(r.until) }

// explains says that a mark is of an end that this record has, too. A worker may come back
// under its name, and end again.
func (r *record) explains(m mark) bool {
	return slices.ContainsFunc(r.marks, func(x mark) bool { return x.worker == m.worker && m.at.Sub(x.at).Abs() < MaxUpdateDelay })
}

// last is when the last mark was made.
func (r *record) last() time.Time {
	var last time.Time
	for _, m := range r.marks {
		if m.at.After(last) {
			last = m.at
		}
	}
	return last
}

// idle is since when nothing has spoken against the request.
func (r *record) idle() time.Time {
	if last := r.last(); last.After(r.until) {
		return last
	}
	return r.until
}

// hold has the request held back for a time.
func (r *record) hold(now time.Time, d time.Duration) {
	r.until, r.let = now.Add(d), false
}

// empty says that there is nothing in the record.
func (r *record) empty() bool { return len(r.marks) == 0 && r.span == 0 }

// Entry is a request that is held back.
type Entry struct {
	Fingerprint Fingerprint
	Remaining   time.Duration // from now on
	Duration    time.Duration // in all
	Workers     []string      // that it ended, the first ones
}

// Tracker is what one host knows of requests that ended workers. The zero Tracker is empty.
type Tracker struct {
	// MinRestartTime is how soon after its end an answer of a worker shows that it did not end;
	// 0 is two seconds. A process that ended must take longer to come back, if it comes back
	// under the same name.
	MinRestartTime time.Duration
	// RenamedOnRestart says that a worker comes back under a new name, or not so soon: one that is
	// there again did not end.
	RenamedOnRestart bool

	records map[Fingerprint]*record
	marked  time.Time     // when the last mark was made
	caught  []Entry       // held back since it was last asked
	freed   []Fingerprint // let go since it was last asked
}

// WorkerCrashed takes that a worker ended with a request that was sent to it at a time.
func (b *Tracker) WorkerCrashed(now time.Time, f Fingerprint, worker string, sent time.Time) {
	r := b.records[f]
	switch {
	case f == 0:
		return
	case r != nil && r.held(now):
		r.take(mark{worker, now})
		return
	case b.explained(mark{worker, now}):
		return
	case r == nil:
		r = b.add(f)
	case !sent.After(r.last()):
		return // it was on its way as the worker before ended
	case b.again(now, r, worker):
		return
	}
	r.marks = append(r.marks, mark{worker, now})
	b.marked = now
	if len(r.marks) < r.need {
		return
	}
	r.span = min(max(2*r.span, heldFirst), heldMost)
	r.hold(now, r.span)
	b.clear(now, r)
	b.caught = append(b.caught, r.as(now, f))
}

// again says that a worker ended under a request that has just had a mark of it: it was
// there, so that what ended then was a connection.
func (b *Tracker) again(now time.Time, r *record, worker string) bool {
	i := slices.IndexFunc(r.marks, func(m mark) bool { return m.worker == worker })
	if !b.RenamedOnRestart || i < 0 || now.Sub(r.marks[i].at) >= b.within() {
		return false
	}
	r.marks[i].at = now
	return true
}

// within is how soon after its end an answer shows that a worker did not end.
func (b *Tracker) within() time.Duration { return cmp.Or(b.MinRestartTime, aliveWithin) }

// DrainQuarantined is the requests that are held back by what was told since DrainQuarantined was last asked.
func (b *Tracker) DrainQuarantined() []Entry {
	caught := b.caught
	b.caught = nil
	return caught
}

// DrainReleased is the requests whose time was over since DrainReleased was last asked.
func (b *Tracker) DrainReleased() []Fingerprint {
	freed := b.freed
	b.freed = nil
	return freed
}

// take takes the end of a worker by a copy that was under way.
func (r *record) take(m mark) {
	if !r.explains(m) {
		r.marks = append(r.marks, m)
		r.marks = slices.Delete(r.marks, 0, max(0, len(r.marks)-workersMost))
	}
}

// explained says that a request that is held back ended the worker in that moment.
func (b *Tracker) explained(m mark) bool {
	for _, r := range b.records {
		if r.held(m.at) && r.explains(m) {
			return true
		}
	}
	return false
}

// clear takes the marks off others that a request held back explains.
func (b *Tracker) clear(now time.Time, by *record) {
	for f, r := range b.records {
		if r == by || r.held(now) {
			continue
		}
		r.marks = slices.DeleteFunc(r.marks, by.explains)
		if r.empty() {
			delete(b.records, f)
		}
	}
}

// add begins a record; where there are too many, some go.
func (b *Tracker) add(f Fingerprint) *record {
	if b.records == nil {
		b.records = map[Fingerprint]*record{}
	}
	if len(b.records) >= recordsMost {
		b.shrink()
	}
	r := &record{need: marksMost}
	b.records[f] = r
	return r
}

// shrink drops a quarter of the records: the oldest, of those not held back first.
func (b *Tracker) shrink() {
	all := slices.SortedFunc(maps.Keys(b.records), func(x, y Fingerprint) int {
		return cmp.Or(b.records[x].until.Compare(b.records[y].until), b.records[x].last().Compare(b.records[y].last()))
	})
	for _, f := range all[:len(all)/4] {
		delete(b.records, f)
	}
}

// Answered takes that a worker answered a request, whatever it said: it runs, and the
// worker goes on.
func (b *Tracker) Answered(f Fingerprint) { delete(b.records, f) }

// Alive takes that a worker was there at a time. What ended before that was a connection,
// not the worker. It returns true where that takes a mark off.
func (b *Tracker) Alive(now time.Time, worker string, at time.Time) bool {
	within := b.within()
	if now.Sub(b.marked) >= within {
		return false // no mark is young enough
	}
	some := false
	for f, r := range b.records {
		before := len(r.marks)
		r.marks = slices.DeleteFunc(r.marks, func(m mark) bool {
			return m.worker == worker && at.Sub(m.at) > UsualUpdateDelay && now.Sub(m.at) < within
		})
		some = some || len(r.marks) < before
		if len(r.marks) < r.need && r.held(now) {
			r.until, r.span = time.Time{}, 0
		}
		if r.empty() {
			delete(b.records, f)
		}
	}
	return some
}

// Suspected says that a request has a mark.
func (b *Tracker) Suspected(f Fingerprint) bool { return b.records[f] != nil }

// Quarantined says whether a request is held back, and for how long.
func (b *Tracker) Quarantined(now time.Time, f Fingerprint) (time.Duration, bool) {
	r := b.records[f]
	if r == nil || !r.held(now) {
		return 0, false
	}
	return r.until.Sub(now), true
}

// List is the requests that are held back, by their fingerprints.
func (b *Tracker) List(now time.Time) []Entry {
	var out []Entry
	for f, r := range b.records {
		if r.held(now) {
			out = append(out, r.as(now, f))
		}
	}
	slices.SortFunc(out, func(x, y Entry) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return out
}

func (r *record) as(now time.Time, f Fingerprint) Entry {
	return Entry{Fingerprint: f, Remaining: r.until.Sub(now), Duration: r.span, Workers: r.workers()}
}

func (r *record) workers() []string {
	var out []string
	for _, m := range r.marks[:min(len(r.marks), marksMost)] {
		out = append(out, m.worker)
	}
	return out
}

// Receive takes a request that another host holds back. It returns true where this one did
// not.
func (b *Tracker) Receive(now time.Time, h Entry) bool {
	if h.Fingerprint == 0 || h.Remaining <= 0 {
		return false
	}
	r := b.records[h.Fingerprint]
	if r != nil && r.held(now) {
		return false
	}
	if r == nil {
		r = b.add(h.Fingerprint)
	}
	r.marks = nil
	for _, worker := range h.Workers {
		r.marks = append(r.marks, mark{worker, now})
	}
	r.span = min(h.Duration, heldMost)
	r.hold(now, min(h.Remaining, heldMost))
	b.clear(now, r)
	return true
}

// Sweep lets go those whose time is over, on probation: one more end, and they are held
// back again, for longer. It forgets marks that are old.
func (b *Tracker) Sweep(now time.Time) {
	for f, r := range b.records {
		switch {
		case r.held(now):
		case r.span > 0 && !r.let:
			b.freed = append(b.freed, f)
			r.marks, r.need, r.let = nil, 1, true
		case now.Sub(r.idle()) > max(forgetAfter, r.span):
			delete(b.records, f)
		}
	}
	slices.Sort(b.freed)
}
