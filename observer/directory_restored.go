package observer

import "time"

// staleHold is how long an entry that was restored by an older snapshot of the source is not
// used if its worker was gone or leaving. By then every running worker has written its entry
// again, and entries that no worker writes have expired.
const staleHold = 6 * time.Second

// removedRetention is how long a removed worker is remembered. It covers the age of the oldest
// snapshot and an outage.
const removedRetention = time.Minute

// Restored applies the complete list of a source that was restored from an older snapshot.
// Missing entries may have been written after the snapshot, and listed ones removed after it;
// neither takes effect before their writers had time to write again.
func (d *Directory) Restored(now time.Time, entries []Entry) {
	d.unavailable, d.readAt, d.recoveredAt = false, now, now
	d.applyList(now, entries, func(e Entry) {
		if known := d.entries[e.Name]; known != nil && known.staysCurrent(e) {
			known.missingSince, known.staleSince, known.restored = time.Time{}, now, &e
			return
		}
		stale := d.knownGone(e)
		if d.put(e); stale {
			d.entries[e.Name].staleSince = now
		}
	})
}

// staysCurrent reports whether the entry stays in use although an older snapshot of the source
// has one of another process of the worker. Otherwise requests would be sent to the address
// that the worker had before it restarted.
func (r *trackedEntry) staysCurrent(e Entry) bool {
	return !r.Leaving && !e.Leaving && r.Incarnation != e.Incarnation && (r.staleSince.IsZero() || r.restored != nil)
}

// available reports whether the worker may get new requests.
func (r *trackedEntry) available() bool {
	return !r.Leaving && (r.staleSince.IsZero() || r.restored != nil)
}

// knownGone reports whether the worker of an entry is known to be gone or leaving.
func (d *Directory) knownGone(e Entry) bool {
	if r := d.entries[e.Name]; r != nil {
		return r.Incarnation == e.Incarnation && !r.available()
	}
	_, removed := d.removedAt[e.Name]
	return removed
}

// isStale reports whether e is the older entry that was restored and is not in use.
func (r *trackedEntry) isStale(e Entry) bool {
	if r.restored != nil {
		return *r.restored == e
	}
	return !r.staleSince.IsZero() && r.Entry == e
}
