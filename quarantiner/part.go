package quarantiner

import (
	"slices"
	"time"
)

const (
	// partTag is in the high bits of a Fingerprint that stands for a part of prompts.
	partTag = Fingerprint(0x706172) << partBits // "par"
	// partBits is the length of a part's ID in bits.
	partBits = 40
	partMask = Fingerprint(1)<<partBits - 1
)

// FingerprintOfPart returns the fingerprint that stands for all requests with a part of their
// prompts, given the part's ID of 40 bits.
func FingerprintOfPart(id uint64) Fingerprint { return partTag | Fingerprint(id)&partMask }

// Part returns the ID of the part that the fingerprint stands for, and whether it stands for one.
func (f Fingerprint) Part() (uint64, bool) { return uint64(f & partMask), f&^partMask == partTag }

// Crash is a worker's crash.
type Crash struct {
	Worker string
	At     time.Time
}

// Hold puts what a fingerprint stands for in quarantine for the crashes that it caused. They are no
// marks against other requests.
func (t *Tracker) Hold(now time.Time, f Fingerprint, crashes []Crash) {
	r := t.records[f]
	if r != nil && r.quarantined(now) {
		return
	}
	if r == nil {
		r = t.add(f)
	}
	r.marks = nil
	for _, c := range crashes {
		r.addMark(mark{c.Worker, c.At})
		t.noteMark(c.At)
	}
	r.threshold = max(len(r.marks), 1)
	r.duration = min(max(2*r.duration, firstDuration), maxDuration)
	r.quarantine(now, r.duration)
	t.clearExplained(now, r)
	t.newlyQuarantined = append(t.newlyQuarantined, r.entry(now, f))
}

// noteMark records the time of a mark, if it is the latest.
func (t *Tracker) noteMark(at time.Time) {
	if at.After(t.lastMark) {
		t.lastMark = at
	}
}

// Explain removes the marks of whole requests for a crash that has another cause, and releases
// those that are in quarantine for it.
func (t *Tracker) Explain(now time.Time, c Crash) {
	for f, r := range t.records {
		if _, isPart := f.Part(); isPart {
			continue
		}
		r.marks = slices.DeleteFunc(r.marks, mark{c.Worker, c.At}.sameCrash)
		t.releaseBelowThreshold(now, f, r)
	}
}

// releaseBelowThreshold releases a request that has too few marks left, and drops its record if it
// is empty.
func (t *Tracker) releaseBelowThreshold(now time.Time, f Fingerprint, r *record) {
	if len(r.marks) < r.threshold && r.quarantined(now) {
		r.endsAt, r.duration = time.Time{}, 0
	}
	if r.empty() {
		delete(t.records, f)
	}
}

// sameCrash reports whether two marks are of the same crash. A worker may restart under its name
// and crash again, so only marks close in time are.
func (m mark) sameCrash(x mark) bool {
	return m.worker == x.worker && m.at.Sub(x.at).Abs() < MaxUpdateDelay
}

// OnProbation reports whether a quarantine is over, so that a single further crash begins it again.
func (t *Tracker) OnProbation(f Fingerprint) bool {
	r := t.records[f]
	return r != nil && r.released
}

// Release ends the quarantine of what a fingerprint stands for, and forgets its crashes. It reports
// whether it was in quarantine.
func (t *Tracker) Release(f Fingerprint) bool {
	r := t.records[f]
	if r == nil || r.duration == 0 {
		return false
	}
	delete(t.records, f)
	t.newlyCleared = append(t.newlyCleared, f)
	return true
}

// DrainCleared returns what this host has released before its time since the last call.
func (t *Tracker) DrainCleared() []Fingerprint {
	out := t.newlyCleared
	t.newlyCleared = nil
	return out
}
