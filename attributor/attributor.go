// Package attributor finds out which part of prompts crashes workers: a part that crashes each
// worker that begins to answer on it, whatever else the request holds, takes down a whole fleet by
// requests of which no two are alike.
//
// When a worker crashes, each part of the requests that it had is suspected, as most of them are
// there by chance. An Attributor distinguishes them by three observations. The cause is there at each
// crash that no known cause explains, under requests that were sent after the crash before. What is
// not the cause is answered in between. And a request that is repeated after each crash is itself
// there each time, so that only parts count which several requests had.
//
// The package does no I/O and takes the time as an argument. An Attributor is not safe for
// concurrent use.
package attributor

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxMarks is the number of crashes after which a part is taken for their cause.
	maxMarks = 3
	// maxMarksOfServed is maxMarks for a part under which requests were answered recently: it may
	// have become harmful since, with another version of the workers' software.
	maxMarksOfServed = 5
	// minRequests is the number of different requests that must have had the part.
	minRequests = 2
	// settleTime is how long a crash is not judged after its first report. Until then other hosts
	// report the other requests that the worker had.
	settleTime = 50 * time.Millisecond
	// sameCrashTime is how long reports of a worker's crash are about the same one.
	sameCrashTime = time.Second
	// minRestartTime is the time after an apparent crash within which a sign of life of the worker
	// shows that only connections broke.
	minRestartTime = 2 * time.Second
	// resendTime is the time after a crash within which a request that seems to be sent after it may
	// have been sent before, as reports are late.
	resendTime = 100 * time.Millisecond
	// minCrashGap is the least time between two crashes one after another: the request for the second
	// is sent after the first.
	minCrashGap = 5 * time.Millisecond
	// forgetAfter is how long a suspicion lasts without a further crash.
	forgetAfter = time.Hour
	// servedFor is how long a part counts as served after an answer.
	servedFor = 10 * time.Minute
	// maxRecords and maxRecent are the maximum numbers of parts under suspicion and of parts of the
	// latest requests.
	maxRecords, maxRecent = 4096, 4096
	// maxCrashes bounds the crashes that may get further reports.
	maxCrashes = 64
)

// Request is a request that a worker had.
type Request struct {
	Content uint64    // identifies what it asks for, without its ID; 0 if unknown
	Parts   []PartID  // of its prompt, without the last one, which is its own
	SentAt  time.Time // at the earliest, by the clock of the Attributor's host
	// Unproven means that nothing shows that the worker was there to run it: something else may
	// accept the connections of a worker that is down and close them.
	Unproven bool
}

// Mark is a worker's crash while it had a part.
type Mark struct {
	Worker string
	At     time.Time
}

// same reports whether two marks are of the same crash. A worker may start again under its name and
// crash again.
func (m Mark) same(x Mark) bool { return m.Worker == x.Worker && m.At.Sub(x.At).Abs() < sameCrashTime }

// Finding is a part that was found to crash workers.
type Finding struct {
	Part     PartID
	Crashes  []Mark
	Requests int // different requests among them
}

// Known is what is known of the causes of crashes.
type Known interface {
	// Held reports whether requests with a part are held back.
	Held(now time.Time, p PartID) bool
	// OnProbation reports whether a part was held back before, so that a single further crash
	// is enough.
	OnProbation(p PartID) bool
}

// Attributor holds one host's suspicions. The zero Attributor has none, and is ready to use after
// SetKnown.
type Attributor struct {
	known   Known
	crashes []*crash // the latest ones, in the order of their first reports
	records map[PartID]*record
	recent  recency // parts of the latest requests
}

// crash is one worker's crash.
type crash struct {
	Mark
	reportedAt time.Time // when a request last failed so
	proven     bool      // the worker was there: a request that it had shows it
	judged     bool
	explained  bool // a part that is held back is its cause
	parts      map[PartID]*presence
}

// presence is what is known of a part's requests at a crash.
type presence struct {
	sentAt   time.Time // when the last of them was sent
	contents []uint64
}

// record is the suspicion of one part.
type record struct {
	marks    []Mark
	contents []uint64 // of different requests, at most minRequests
	served   bool     // it counted as served at the first mark
}

func (r *record) lastMark() time.Time {
	var last time.Time
	for _, m := range r.marks {
		if m.At.After(last) {
			last = m.At
		}
	}
	return last
}

// SetKnown sets what is known of the causes of crashes.
func (a *Attributor) SetKnown(k Known) { a.known = k }

// Crashed records that a request ended as its worker crashed.
func (a *Attributor) Crashed(now time.Time, worker string, r Request) {
	if len(r.Parts) == 0 {
		return
	}
	c := a.crashOf(now, worker, r.SentAt)
	if c == nil {
		return
	}
	c.proven = c.proven || !r.Unproven
	for _, p := range r.Parts {
		x := c.parts[p]
		if x == nil {
			x = &presence{}
			c.parts[p] = x
		}
		if r.SentAt.After(x.sentAt) {
			x.sentAt = r.SentAt
		}
		x.contents = addContent(x.contents, r.Content)
		if c.judged && !c.explained {
			a.mark(now, c.Mark, p, x)
		}
	}
}

// crashOf returns the crash that a report is about, a new one if there is none; nil if the report says
// nothing about the request, as the worker had crashed before it was sent: something else accepts its
// connections and closes them.
func (a *Attributor) crashOf(now time.Time, worker string, sentAt time.Time) *crash {
	i := slices.IndexFunc(a.crashes, func(c *crash) bool { return c.Worker == worker })
	if i >= 0 {
		c := a.crashes[i]
		c.reportedAt = now
		if sentAt.Sub(c.At) < resendTime && now.Sub(c.At) < sameCrashTime {
			return c
		}
		return nil
	}
	c := &crash{Mark: Mark{Worker: worker, At: now}, reportedAt: now, parts: map[PartID]*presence{}}
	a.crashes = append(a.crashes, c)
	a.crashes = slices.Delete(a.crashes, 0, max(0, len(a.crashes)-maxCrashes))
	return c
}

// refute withdraws a crash: its worker goes on.
func (a *Attributor) refute(c *crash) {
	a.crashes = slices.DeleteFunc(a.crashes, func(x *crash) bool { return x == c })
	a.unmark(func(m Mark) bool { return m.same(c.Mark) })
}

// unmark removes marks, and the records that have none left.
func (a *Attributor) unmark(remove func(Mark) bool) {
	for p, r := range a.records {
		r.marks = slices.DeleteFunc(r.marks, remove)
		if len(r.marks) == 0 {
			delete(a.records, p)
		}
	}
}

// Alive records that a worker was alive at a time. If it seemed to crash shortly before, it did not.
func (a *Attributor) Alive(now time.Time, worker string, at time.Time) {
	for _, c := range slices.Clone(a.crashes) {
		if c.Worker == worker && at.Sub(c.At) > settleTime && now.Sub(c.At) < minRestartTime {
			a.refute(c)
		}
	}
}

// Sent records that a request with these parts was sent. What crashes workers is in fewer requests
// than what all of them share.
func (a *Attributor) Sent(parts []PartID) {
	for _, p := range parts {
		a.recent.touch(p).sent++
	}
}

// Served records that a request with these parts was answered to its end, or that its worker lives
// on while it answers: none of them crashes workers.
func (a *Attributor) Served(now time.Time, parts []PartID) {
	for _, p := range parts {
		a.recent.touch(p).servedAt = now
		delete(a.records, p)
		for _, c := range a.crashes {
			delete(c.parts, p)
		}
	}
}

// Active reports whether any part is suspected.
func (a *Attributor) Active() bool { return len(a.records) > 0 || len(a.crashes) > 0 }

// Suspected reports whether requests with a part should be kept apart from others: it was at a
// crash. Of a part that was served before, one crash says nothing yet.
func (a *Attributor) Suspected(now time.Time, p PartID) bool {
	crashes := 0
	if r := a.records[p]; r != nil {
		crashes = len(r.marks)
	}
	for _, c := range a.crashes {
		if !c.judged && c.parts[p] != nil {
			crashes++
		}
	}
	return crashes > 1 || crashes == 1 && !a.recent.servedSince(p, now.Add(-servedFor))
}

// Undecided returns how long until a crash is judged that may show a part to be the cause: until
// then a request with it is better not sent. It is 0 for other parts.
func (a *Attributor) Undecided(now time.Time, p PartID) time.Duration {
	crashes, wait := 0, time.Duration(0)
	if r := a.records[p]; r != nil {
		crashes = len(r.marks)
	}
	for _, c := range a.crashes {
		if !c.judged && c.parts[p] != nil {
			crashes++
			wait = settleTime - now.Sub(c.At)
		}
	}
	enough := maxMarks
	if a.recent.servedSince(p, now.Add(-servedFor)) {
		enough = maxMarksOfServed
	}
	if crashes < enough && !a.onProbation(p) {
		return 0
	}
	return max(wait, 0)
}

// HeldElsewhere records that another host holds a part back, for crashes of these workers.
func (a *Attributor) HeldElsewhere(p PartID, workers []string) {
	var f Finding
	f.Part = p
	if r := a.records[p]; r != nil {
		f.Crashes = r.marks
	}
	a.clear([]Finding{f})
	a.unmark(func(m Mark) bool { return slices.Contains(workers, m.Worker) })
}

// add creates a record, after dropping old ones if there are too many.
func (a *Attributor) add(p PartID) *record {
	if a.records == nil {
		a.records = map[PartID]*record{}
	}
	if len(a.records) >= maxRecords {
		a.shrink()
	}
	r := &record{}
	a.records[p] = r
	return r
}

// shrink drops a quarter of the records, those with the fewest and oldest marks first.
func (a *Attributor) shrink() {
	all := slices.SortedFunc(maps.Keys(a.records), func(x, y PartID) int {
		r, s := a.records[x], a.records[y]
		return cmp.Or(cmp.Compare(len(r.marks), len(s.marks)), r.lastMark().Compare(s.lastMark()), cmp.Compare(x, y))
	})
	for _, p := range all[:len(all)/4] {
		delete(a.records, p)
	}
}

// Sweep forgets suspicions without a recent crash.
func (a *Attributor) Sweep(now time.Time) {
	for p, r := range a.records {
		if now.Sub(r.lastMark()) > forgetAfter {
			delete(a.records, p)
		}
	}
}

// Len returns the number of suspected parts.
func (a *Attributor) Len() int { return len(a.records) }
