package observer

import (
	"cmp"
	"slices"
	"time"
)

// returnTime is how long after an outage of the source a worker whose entry is
// missing still counts as there. Entries may lapse while their writers can't
// reach the source; who lives writes again within two seconds of its return.
const returnTime = 2 * time.Second

// Entry is one worker as it describes itself at the source.
type Entry struct {
	Listing
	Incarnation string        // tells a process from the one before it under the same name; may be empty
	WarmUp      time.Duration // it stays slow for that much longer
}

// Directory is the workers that registered themselves at a source that may be
// away. It is pure, and not safe for concurrent use. The zero Directory is empty.
type Directory struct {
	entries map[string]*registered // by name
	away    bool                   // the source can't be read
	back    time.Time              // when it could be read again
	listed  bool                   // it was ever read
	gone    map[string]time.Time   // when an entry went, by name
}

// registered is an entry and whether it still lies at the source.
type registered struct {
	Entry
	missing time.Time // since when it does not; zero where it does
	doubted time.Time // since when the source has only an older word of it; zero where not
	older   *Entry    // that word, of an earlier process; nil where the worker is leaving or gone
}

// Loaded says that the source was ever read.
func (d *Directory) Loaded() bool { return d.listed }

// Failed takes that the source can't be read. What is known stays.
func (d *Directory) Failed() { d.away = d.listed }

// Listed takes all entries of the source.
func (d *Directory) Listed(now time.Time, entries []Entry) {
	d.returned(now)
	d.list(now, entries, func(e Entry) {
		// Failure: the list is of the same older copy; a worker that left would count by it.
		if r := d.entries[e.Name]; r != nil && r.doubts(e) {
			r.missing = time.Time{}
			return
		}
		d.put(e)
	})
}

// list takes all entries of the source, one by one with take.
func (d *Directory) list(now time.Time, entries []Entry, take func(Entry)) {
	d.listed = true
	present := map[string]bool{}
	for _, e := range entries {
		present[e.Name] = true
		take(e)
	}
	for name := range d.entries {
		if !present[name] {
			d.Removed(now, name)
		}
	}
}

// returned notes the source's return from an outage.
func (d *Directory) returned(now time.Time) {
	if d.away {
		d.away, d.back = false, now
	}
}

// Changed takes one new or changed entry.
func (d *Directory) Changed(now time.Time, e Entry) {
	d.returned(now)
	d.put(e)
}

func (d *Directory) put(e Entry) {
	if d.entries == nil {
		d.entries = map[string]*registered{}
	}
	d.entries[e.Name] = &registered{Entry: e}
}

// Removed takes that an entry is gone. Its worker gets nothing new, except just
// after an outage, where the entry may have lapsed for want of the source.
func (d *Directory) Removed(now time.Time, name string) {
	r := d.entries[name]
	if r == nil {
		return
	}
	if r.Leaving || !d.returning(now) {
		d.drop(now, name)
		return
	}
	if r.missing.IsZero() {
		r.missing = now
	}
}

// returning says that the source came back a moment ago.
func (d *Directory) returning(now time.Time) bool {
	return !d.back.IsZero() && now.Sub(d.back) < returnTime
}

// drop forgets a worker, but for that it is gone.
func (d *Directory) drop(now time.Time, name string) {
	delete(d.entries, name)
	if d.gone == nil {
		d.gone = map[string]time.Time{}
	}
	d.gone[name] = now
}

// Sweep drops the entries that did not come back after an outage, and has those count that
// came back with an older copy and still lie there. It says whether there were any.
func (d *Directory) Sweep(now time.Time) bool {
	for name, at := range d.gone {
		if now.Sub(at) >= goneTime {
			delete(d.gone, name)
		}
	}
	if d.away || d.returning(now) {
		return false
	}
	swept := false
	for name, r := range d.entries {
		switch {
		case !r.missing.IsZero():
			d.drop(now, name)
			swept = true
		case !r.doubted.IsZero() && now.Sub(r.doubted) >= doubtTime:
			if r.older != nil {
				r.Entry = *r.older
			}
			r.doubted, r.older, swept = time.Time{}, nil, true
		}
	}
	return swept
}

// Available is the workers that may get new requests, by service and name.
func (d *Directory) Available() []Entry {
	out := []Entry{}
	for _, r := range d.entries {
		if r.counts() {
			out = append(out, r.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return out
}
