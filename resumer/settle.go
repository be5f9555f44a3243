package resumer

import "time"

// entryDelay is how long after the start of a worker its entry is at the source of the list, while that
// is up. restartedEntryDelay is the same for a worker that may start again under its name: it may take
// connections before it has registered, and the source may be slow.
const (
	entryDelay          = 50 * time.Millisecond
	restartedEntryDelay = 400 * time.Millisecond
)

// EntryDelay returns how long after it took connections the entry of a worker is at the source of the
// list.
func (w Worker) EntryDelay() time.Duration {
	if w.Incarnation == "" {
		return entryDelay
	}
	return restartedEntryDelay
}

// StartsListed records that the whole list was read, and has each start of a worker up to a time:
// its source did not fail for the time in which workers write their entries again.
func (r *Resumer) StartsListed(at time.Time) { r.history.startsAt = at }

// StartsUpdated records that the changes of the list were read up to a time.
func (r *Resumer) StartsUpdated(at time.Time) {
	if at.After(r.history.startsAt) {
		r.history.startsAt = at
	}
}

// ForgetListed forgets what was listed of workers: the source was restored from an older snapshot,
// which may have entries that were replaced.
func (r *Resumer) ForgetListed() {
	r.history.startsAt = time.Time{}
	for _, x := range r.records.byKey {
		x.Listed = Worker{}
	}
}

// settled returns the record of a stream, nil if there is none. Where it was not certain which
// start of a worker began the stream, a list read later shows it: another start would have
// replaced the listed one. The host that carried the stream may have failed before it knew.
func (r *Resumer) settled(k Key) *record {
	x := r.records.get(k)
	if x == nil || !x.Worker.IsUncertain() || x.Listed.Version == "" && x.Listed.Incarnation == "" {
		return x
	}
	if r.history.startsAt.Sub(x.At) >= x.Listed.EntryDelay() && r.history.starts[x.Listed.Name] == x.Listed {
		x.Worker = x.Listed
	}
	return x
}
