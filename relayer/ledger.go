package relayer

import "github.com/cicadawood/cicadawood/storer"

// goneMost bounds what is remembered of objects that are gone.
const goneMost = 4096

// ledger is which changes of a list were taken. The zero ledger knows nothing.
type ledger struct {
	upto  storer.Version  // all changes up to this revision are known
	floor storer.Version  // no change as old as this is new, but for deletions
	last  map[string]last // by key
	gone  int             // of these, how many are gone
}

// last is the last change of an object that was taken.
type last struct {
	version storer.Version
	gone    bool
}

// list takes the whole list at a revision.
func (l *ledger) list(revision storer.Version, all []storer.Object) {
	*l = ledger{upto: revision, floor: revision, last: make(map[string]last, len(all))}
	for _, o := range all {
		l.last[o.Key] = last{version: o.Version}
	}
}

// take takes a word and returns its changes that are new; false where something
// before it is missing.
func (l *ledger) take(w Update) ([]storer.Object, bool) {
	if w.After > l.upto || w.Upto.Era() != l.upto.Era() {
		return nil, false
	}
	var fresh []storer.Object
	for _, o := range w.Changed {
		if l.fresh(o) {
			l.note(o)
			fresh = append(fresh, o)
		}
	}
	l.upto = max(l.upto, w.Upto)
	l.prune()
	return fresh, true
}

// fresh says whether a change is new. Failure: a host that was frozen, or whose
// connection stalled, tells of a worker that has gone since; the worker must not come
// back by that. A change without a version can't be told apart, and always counts.
func (l *ledger) fresh(o storer.Object) bool {
	known := l.last[o.Key]
	switch {
	case o.Version == 0:
		return true
	case o.Deleted:
		return !known.gone && o.Version >= known.version
	}
	return o.Version > max(known.version, l.floor)
}

func (l *ledger) note(o storer.Object) {
	if l.last == nil {
		l.last = map[string]last{}
	}
	if l.last[o.Key].gone {
		l.gone--
	}
	if o.Deleted {
		l.gone++
	}
	l.last[o.Key] = last{version: o.Version, gone: o.Deleted}
}

// prune forgets objects that are gone, once they are many. Nothing as old as what is
// known now can then be new.
func (l *ledger) prune() {
	if l.gone <= goneMost {
		return
	}
	l.floor, l.gone = l.upto, 0
	for key, x := range l.last {
		if x.gone {
			delete(l.last, key)
		}
	}
}
