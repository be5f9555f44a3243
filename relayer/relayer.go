// Package relayer lets a few hosts follow a list in the platform's store for all of
// them.
//
// The few watch the list and pass on each answer as a Word. Every host keeps a Relay,
// which takes words from any of them in any order, knows by the store's revisions
// whether it missed one, and then, or when the few fall silent, has its host call the
// store itself. So a fleet makes as many calls as the few do while all is well, and
// no host depends on another to learn what the store holds.
//
// A Relay is pure: time is an argument, and it does no I/O.
package relayer

import (
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// watchers is how many hosts watch for all, at most: one may be frozen and another
	// cut off from the store in the moment that a third is missed.
	watchers = 3
	// HeartbeatInterval is how often a watcher says that it is up to date.
	HeartbeatInterval = 400 * time.Millisecond
	// silence is how long a watcher may say nothing before it does not count any more:
	// three beats. A change has to be known within 2 s.
	silence = 3 * HeartbeatInterval
	// catchAfter is how long a host waits for a word that it missed: it may be on its
	// way on another connection.
	catchAfter = 50 * time.Millisecond
	// WatchTimeout is how long a watch waits. Failure: the store drops its history while
	// changes are made, and a watch that waits hears nothing of them and is not told;
	// or it turns a watcher away by silence. A change is to be in force within seconds,
	// so that no watch may wait much longer. Each costs one read.
	WatchTimeout = 750 * time.Millisecond
	// joinFor is how long after its first list a host does not watch. Failure: all hosts come
	// back at once, each knows only itself, and all watch all lists for all. By then it knows
	// the others, and a watcher's first word was due.
	joinFor = HeartbeatInterval + 100*time.Millisecond
	// answerAge is how old a watcher's last answer of the store may be for it to speak:
	// a watch and the slowest answer of a store in trouble.
	answerAge = WatchTimeout + 400*time.Millisecond
)

// Update is all that changed in a list after one version of the store, up to another of the
// same era.
type Update struct {
	After, Upto storer.Version
	Changed     []storer.Object // in the order of their revisions
}

// Relay is one host's part in following a list.
type Relay struct {
	ledger   ledger
	self     string
	list     string
	turn     bool
	heard    map[string]time.Time // the last word that left nothing out, by host
	joined   time.Time            // the first list; zero before
	spoken   bool                 // a watcher was ever heard
	answered time.Time            // the store's last answer; zero after a failure
	missed   time.Time            // since when a change is known of that did not come; zero for none
	told     storer.Version       // the highest revision that a word named
}

// New returns the relay of a host for a list. Until it is enrolled it is alone.
func New(self, list string) *Relay {
	return &Relay{self: self, list: list, turn: true, heard: map[string]time.Time{}}
}

// SetHosts takes the hosts that are there, and from them whose turn it is to watch.
func (r *Relay) SetHosts(hosts registrar.Roster) {
	owners := hosts.Owners(r.list, watchers)
	r.turn = len(owners) == 0 || slices.ContainsFunc(owners, func(h registrar.Record) bool { return h.Name == r.self })
	for host := range r.heard {
		if _, ok := hosts.Find(host); !ok {
			delete(r.heard, host)
		}
	}
}

// Watching says that this host watches the list for all.
func (r *Relay) Watching() bool { return r.turn }

// Next says whether the host is to call the store now, and from which revision on.
// Behind says that it is for a change that did not come: there is nothing to wait for.
func (r *Relay) Next(now time.Time) (after storer.Version, call, behind bool) {
	behind = !r.missed.IsZero() && now.Sub(r.missed) >= catchAfter
	return r.ledger.upto, behind || r.due(now), behind
}

// due says whether it is this host's turn to watch: it is one of the few, or those are not
// heard. Until any was, its own first list stands for their word.
func (r *Relay) due(now time.Time) bool {
	age := now.Sub(r.joined)
	switch {
	case r.spoken:
		return r.turn || !r.HasWatcher(now)
	case r.turn:
		return age >= joinFor
	}
	return age >= silence
}

// HasWatcher says that a watcher whom the store answers was heard of lately.
func (r *Relay) HasWatcher(now time.Time) bool {
	for _, at := range r.heard {
		if now.Sub(at) < silence {
			return true
		}
	}
	return false
}

// Listed takes the whole list at a revision. What words told of later is asked for
// again: the list may be older. One of an earlier era, which was on its way while another
// host told of a later one, is not taken, and it returns false.
func (r *Relay) Listed(now time.Time, revision storer.Version, all []storer.Object) bool {
	if revision.Era() < r.Era() {
		return false
	}
	r.ledger.list(revision, all)
	if r.joined.IsZero() {
		r.joined = now
	}
	r.answered = now
	r.settle(now)
	return true
}

// Watched takes an answer of the store, and returns what was not known before.
func (r *Relay) Watched(now time.Time, w Update) []storer.Object {
	r.answered = now
	fresh, _ := r.ledger.take(w)
	r.settle(now)
	return fresh
}

// Failed takes that a call of the store failed.
func (r *Relay) Failed() { r.answered = time.Time{} }

// WatcherLost takes that the store does not answer another host any more, or that it does
// not watch any more. Failure: the store turns away just those that watch, by
// silence. Their last words would count for as long as words do.
func (r *Relay) WatcherLost(from string) { delete(r.heard, from) }

// Received takes another host's word, and returns what was not known before. Where
// something before it is missing, or it is of another era, nothing of it is taken, and it
// returns false. A host that is still in an earlier era watches for nobody.
func (r *Relay) Received(now time.Time, from string, w Update) ([]storer.Object, bool) {
	r.told = max(r.told, w.After)
	fresh, whole := r.ledger.take(w)
	switch {
	case whole:
		r.heard[from], r.spoken = now, true
	case w.Upto.Era() < r.ledger.upto.Era():
		delete(r.heard, from)
	}
	r.settle(now)
	return fresh, whole
}

// ReceivedList takes another host's word of the whole list, as the store had it when it came
// back from an older copy, and says whether it is news. Failure: all hosts of a fleet ask
// the store in the moment in which it is back.
func (r *Relay) ReceivedList(now time.Time, from string, upto storer.Version, all []storer.Object) bool {
	if upto <= r.ledger.upto || r.joined.IsZero() {
		return false
	}
	r.ledger.list(upto, all)
	r.told = max(r.told, upto)
	r.heard[from], r.spoken = now, true
	r.settle(now)
	return true
}

// Era is the store's era in which the list is known; 0 before the first list.
func (r *Relay) Era() uint64 { return r.ledger.upto.Era() }

// settle notes whether a word told of a revision that this host did not reach.
func (r *Relay) settle(now time.Time) {
	switch {
	case r.told <= r.ledger.upto:
		r.missed = time.Time{}
	case r.missed.IsZero():
		r.missed = now
	}
}

// Heartbeat is the word that a watcher is up to date; false where this host can't say so.
func (r *Relay) Heartbeat(now time.Time) (Update, bool) {
	if !r.turn || r.answered.IsZero() || now.Sub(r.answered) > answerAge {
		return Update{}, false
	}
	return Update{After: r.ledger.upto, Upto: r.ledger.upto}, true
}
