package relayer

import "github.com/cicadawood/cicadawood/storer"

// maxDeleted is the maximum number of deleted objects that are remembered.
const maxDeleted = 4096

// ledger records the changes of a list that were applied. The zero ledger is empty.
type ledger struct {
	upto        storer.Version        // all changes up to this revision are known
	baseVersion storer.Version        // no change up to this version is new, except deletions
	lastChanges map[string]lastChange // by key
	deleted     int                   // number of deletions in lastChanges
}

// lastChange is the last change of an object that was applied.
type lastChange struct {
	version storer.Version
	deleted bool
}

// reset replaces the contents by the complete list at a revision.
func (l *ledger) reset(revision storer.Version, all []storer.Object) {
	*l = ledger{upto: revision, baseVersion: revision, lastChanges: make(map[string]lastChange, len(all))}
	for _, o := range all {
		l.lastChanges[o.Key] = lastChange{version: o.Version}
	}
}

// follows reports whether no changes before an update are missing.
func (l *ledger) follows(u Update) bool { return u.After <= l.upto && u.Upto.Era() == l.upto.Era() }

// apply applies an update and returns those of its changes that are new. It returns false if
// changes before the update are missing.
func (l *ledger) apply(u Update) ([]storer.Object, bool) {
	if !l.follows(u) {
		return nil, false
	}
	var fresh []storer.Object
	for _, o := range u.Changed {
		if l.isNew(o) {
			l.record(o)
			fresh = append(fresh, o)
		}
	}
	l.upto = max(l.upto, u.Upto)
	l.prune()
	return fresh, true
}

// isNew reports whether a change is new. A host that was frozen, or whose connection stalled,
// may send an entry of a worker that was deleted since; the worker must not reappear. A
// change without a version can't be compared and always counts as new.
func (l *ledger) isNew(o storer.Object) bool {
	known := l.lastChanges[o.Key]
	switch {
	case o.Version == 0:
		return true
	case o.Deleted:
		return !known.deleted && o.Version >= known.version
	}
	return o.Version > max(known.version, l.baseVersion)
}

func (l *ledger) record(o storer.Object) {
	if l.lastChanges == nil {
		l.lastChanges = map[string]lastChange{}
	}
	if l.lastChanges[o.Key].deleted {
		l.deleted--
	}
	if o.Deleted {
		l.deleted++
	}
	l.lastChanges[o.Key] = lastChange{version: o.Version, deleted: o.Deleted}
}

// prune forgets the deleted objects if there are more than maxDeleted. From then on no change
// up to the current revision counts as new.
func (l *ledger) prune() {
	if l.deleted <= maxDeleted {
		return
	}
	l.baseVersion, l.deleted = l.upto, 0
	for key, x := range l.lastChanges {
		if x.deleted {
			delete(l.lastChanges, key)
		}
	}
}
