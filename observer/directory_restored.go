package observer

import "time"

// doubtTime is how long an entry that an older copy of the source brought back does not
// count: its worker had gone, or told that it leaves. Until then who lives has written
// again, and what nobody writes has lapsed.
const doubtTime = 6 * time.Second

// goneTime is how long a worker that is gone is remembered: the oldest copy and an outage.
const goneTime = time.Minute

// Restored takes all entries of a source that came back from an older copy of itself. What
// is missing may have been written since, and what is there may have gone since: neither
// counts before their writers had time to write again.
func (d *Directory) Restored(now time.Time, entries []Entry) {
	d.away, d.back = false, now
	d.list(now, entries, func(e Entry) {
		if known := d.entries[e.Name]; known != nil && known.stands(e) {
			known.missing, known.doubted, known.older = time.Time{}, now, &e
			return
		}
		doubted := d.left(e)
		if d.put(e); doubted {
			d.entries[e.Name].doubted = now
		}
	})
}

// stands says that an entry goes on to count, though an older copy of the source has one of
// another process of the worker. Failure: a worker that had restarted is asked where it was
// before.
func (r *registered) stands(e Entry) bool {
	return !r.Leaving && !e.Leaving && r.Incarnation != e.Incarnation && (r.doubted.IsZero() || r.older != nil)
}

// counts says that the worker may get new requests.
func (r *registered) counts() bool {
	return !r.Leaving && (r.doubted.IsZero() || r.older != nil)
}

// left says that an entry's worker is known to be gone or to leave.
func (d *Directory) left(e Entry) bool {
	if r := d.entries[e.Name]; r != nil {
		return r.Incarnation == e.Incarnation && !r.counts()
	}
	_, gone := d.gone[e.Name]
	return gone
}

// doubts says that an entry is the older word that does not count.
func (r *registered) doubts(e Entry) bool {
	if r.older != nil {
		return *r.older == e
	}
	return !r.doubted.IsZero() && r.Entry == e
}
