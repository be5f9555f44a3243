package observer

import (
	"cmp"
	"slices"
	"time"
)

// recoveryGrace is how long after an outage of the source a worker whose entry is missing
// still counts as present. Entries may expire while their writers can't reach the source; a
// running worker writes its entry again within two seconds after the source is available.
const recoveryGrace = 2 * time.Second

// minExpiry is the shortest time in which an entry that its worker can't write expires: three
// heartbeats.
const minExpiry = time.Second

// Entry describes one worker as it registered itself at the source.
type Entry struct {
	Listing
	Incarnation string        // distinguishes a process from an earlier one with the same name; may be empty
	WarmUp      time.Duration // time for which it is still slow
	Version     string        // of its software; "" if it does not state one
}

// Directory is the set of workers that registered themselves at a source that may be
// unavailable. It does no I/O and is not safe for concurrent use. The zero Directory is empty.
type Directory struct {
	entries     map[string]*trackedEntry // by name
	unavailable bool                     // the source can't be read
	readAt      time.Time                // when the source was last read
	outageSince time.Time                // the last read before reads began to fail; zero if they don't
	failedUntil time.Time                // the first read after the last failed one
	recoveredAt time.Time                // when an outage in which entries may have expired ended
	loaded      bool                     // the source was read at least once
	removedAt   map[string]time.Time     // when an entry was removed, by name
	leaving     map[Process]time.Time    // when each leaving process was last known to have an entry
}

// trackedEntry is an entry with its state at the source.
type trackedEntry struct {
	Entry
	missingSince time.Time // since when the source does not have the entry; zero if it does
	staleSince   time.Time // when the source was restored with an older entry of the worker; zero if not
	restored     *Entry    // that entry, of an earlier process; nil if the worker is leaving or gone
}

// Loaded reports whether the source was ever read.
func (d *Directory) Loaded() bool { return d.loaded }

// Failed records that the source can't be read. The known entries are kept.
func (d *Directory) Failed() {
	if !d.loaded {
		return
	}
	d.unavailable = true
	if d.outageSince.IsZero() {
		d.outageSince = d.readAt
	}
}

// Listed applies the complete list of the source.
func (d *Directory) Listed(now time.Time, entries []Entry) {
	d.noteRead(now)
	d.applyList(now, entries, func(e Entry) {
		// The list may come from the same older snapshot; a worker that left must not become
		// available by it.
		if r := d.entries[e.Name]; r != nil && r.isStale(e) {
			r.missingSince = time.Time{}
			return
		}
		d.put(e)
	})
}

// applyList applies the complete list of the source: it calls apply for each entry and removes
// those that are not in the list.
func (d *Directory) applyList(now time.Time, entries []Entry, apply func(Entry)) {
	d.loaded = true
	present := map[string]bool{}
	for _, e := range entries {
		present[e.Name] = true
		apply(e)
	}
	for name := range d.entries {
		if !present[name] {
			d.Removed(now, name)
		}
	}
}

// noteRead records that the source was read. It ends an outage, which counts as one with those shortly
// before it.
func (d *Directory) noteRead(now time.Time) {
	d.readAt = now
	switch {
	case d.unavailable:
		d.unavailable, d.failedUntil = false, now
		if now.Sub(d.outageSince) >= minExpiry {
			d.recoveredAt = now
		}
	case now.Sub(d.failedUntil) >= recoveryGrace:
		d.outageSince = time.Time{}
	}
}

// Answered records that the source answered at a time, and had no changes.
func (d *Directory) Answered(at time.Time) {
	if d.loaded && !d.unavailable && at.After(d.readAt) {
		d.noteRead(at)
	}
}

// Changed applies one new or changed entry.
func (d *Directory) Changed(now time.Time, e Entry) {
	d.noteRead(now)
	d.put(e)
}

func (d *Directory) put(e Entry) {
	if d.entries == nil {
		d.entries = map[string]*trackedEntry{}
	}
	d.entries[e.Name] = &trackedEntry{Entry: e}
}

// Removed applies the removal of an entry. Its worker gets no new requests, except shortly
// after an outage of the source, when the entry may have expired because of the outage.
func (d *Directory) Removed(now time.Time, name string) {
	r := d.entries[name]
	if r == nil {
		return
	}
	if r.Leaving || !d.recentlyRecovered(now) {
		d.remove(now, name)
		return
	}
	if r.missingSince.IsZero() {
		r.missingSince = now
	}
}

// recentlyRecovered reports whether an outage of the source ended within recoveryGrace.
func (d *Directory) recentlyRecovered(now time.Time) bool {
	return !d.recoveredAt.IsZero() && now.Sub(d.recoveredAt) < recoveryGrace
}

// Settled reports whether the entries are those of the running workers: the source is available,
// and was for the time in which workers write their entries again after an outage.
func (d *Directory) Settled(now time.Time) bool { return !d.unavailable && !d.recentlyRecovered(now) }

// remove forgets an entry, but remembers that it was removed.
func (d *Directory) remove(now time.Time, name string) {
	delete(d.entries, name)
	if d.removedAt == nil {
		d.removedAt = map[string]time.Time{}
	}
	d.removedAt[name] = now
}

// Sweep removes the entries that are still missing after an outage, and makes available those
// that an older snapshot restored and that are still at the source after staleHold. It reports
// whether there were any.
func (d *Directory) Sweep(now time.Time) bool {
	d.sweepLeaving(now)
	for name, at := range d.removedAt {
		if now.Sub(at) >= removedRetention {
			delete(d.removedAt, name)
		}
	}
	if d.unavailable || d.recentlyRecovered(now) {
		return false
	}
	swept := false
	for name, r := range d.entries {
		switch {
		case !r.missingSince.IsZero():
			d.remove(now, name)
			swept = true
		case !r.staleSince.IsZero() && now.Sub(r.staleSince) >= staleHold:
			if r.restored != nil {
				r.Entry = *r.restored
			}
			r.staleSince, r.restored, swept = time.Time{}, nil, true
		}
	}
	return swept
}

// All returns all entries that the source has, or had before an outage, also of workers that are
// leaving.
func (d *Directory) All() []Entry {
	out := make([]Entry, 0, len(d.entries))
	for _, r := range d.entries {
		out = append(out, r.Entry)
	}
	return out
}

// Available returns the workers that may get new requests, sorted by service and name.
func (d *Directory) Available() []Entry {
	out := []Entry{}
	for _, r := range d.entries {
		if r.available() && !d.IsLeaving(r.process()) {
			out = append(out, r.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return out
}
