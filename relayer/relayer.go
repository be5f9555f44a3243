// Package relayer lets a few hosts, the watchers, follow a list in the platform's store on
// behalf of all hosts.
//
// Watchers watch the list and send each answer to all other hosts as an Update. Every host
// has a Relay, which accepts updates from any watcher in any order and detects by the store's
// revisions whether one is missing. If so, or if no watcher sends anything, the host calls
// the store itself. So in normal operation only the watchers call the store, and no host
// depends on another one to learn the contents of the store.
//
// A Relay does no I/O, and the time is an argument.
package relayer

import (
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// maxWatchers is the maximum number of hosts that watch on behalf of all. Three, because one
	// may be frozen and another cut off from the store at the moment that one fails.
	maxWatchers = 3
	// HeartbeatInterval is the time between two messages of a watcher that it is up to date.
	HeartbeatInterval = 400 * time.Millisecond
	// watcherTimeout is the time after the last update of a watcher until it no longer counts:
	// three heartbeats. A change must be known to all hosts within 2 s.
	watcherTimeout = 3 * HeartbeatInterval
	// catchUpDelay is the time that a host waits for a missing update before it calls the
	// store: the update may be on its way on another connection.
	catchUpDelay = 50 * time.Millisecond
	// WatchTimeout is how long a watch of the store waits for changes. The store may drop its
	// history while changes are made, and then a waiting watch is not notified of them; or it
	// may leave a watcher without an answer. As a change must be in force within seconds, no
	// watch may wait much longer. Each watch costs the store one read.
	WatchTimeout = 750 * time.Millisecond
	// joinDelay is the time after its first list during which a host does not watch. When all
	// hosts start together, each knows only itself at first, and would watch every list on
	// behalf of all. After the delay it knows the others, and a watcher's first heartbeat was
	// due.
	joinDelay = HeartbeatInterval + 100*time.Millisecond
	// MaxAnswerAge is the maximum age of the store's last answer to a watcher that may send
	// heartbeats: a watch and the slowest answer of an overloaded store.
	MaxAnswerAge = WatchTimeout + 400*time.Millisecond
)

// Update is the set of changes of a list between two versions of the store of the same era.
type Update struct {
	After, Upto storer.Version
	Changed     []storer.Object // in the order of their revisions
}

// Relay is the state of one host that follows a list.
type Relay struct {
	ledger       ledger
	self         string
	list         string
	watching     bool                 // this host watches on behalf of all
	lastReceived map[string]time.Time // last complete update, by watcher
	firstListed  time.Time            // zero before the first list
	hadWatcher   bool                 // an update of a watcher was ever received
	lastAnswer   time.Time            // of the store; zero after a failed call
	behindSince  time.Time            // since when latest exceeds the known revision; zero if it does not
	latest       storer.Version       // highest revision that the store is known to have reached, from other hosts
}

// New returns the Relay of a host for a list. Until SetHosts is called, it assumes that there
// is no other host.
func New(self, list string) *Relay {
	return &Relay{self: self, list: list, watching: true, lastReceived: map[string]time.Time{}}
}

// SetHosts sets the hosts of the fleet, and so whether this host watches.
func (r *Relay) SetHosts(hosts registrar.Roster) {
	owners := hosts.Owners(r.list, maxWatchers)
	r.watching = len(owners) == 0 || slices.ContainsFunc(owners, func(h registrar.Record) bool { return h.Name == r.self })
	for host := range r.lastReceived {
		if _, ok := hosts.Find(host); !ok {
			delete(r.lastReceived, host)
		}
	}
}

// Watching reports whether this host watches the list on behalf of all.
func (r *Relay) Watching() bool { return r.watching }

// Next reports whether the host is to call the store now, and from which revision on. If
// behind is set, the call is for a change that is known to exist but was not received, so
// there is nothing to wait for.
func (r *Relay) Next(now time.Time) (after storer.Version, call, behind bool) {
	behind = !r.behindSince.IsZero() && now.Sub(r.behindSince) >= catchUpDelay
	return r.ledger.upto, behind || r.callDue(now), behind
}

// callDue reports whether this host has to watch: because it is a watcher, or because no
// watcher sends updates. Until the first update of any watcher, this host's first list counts
// as that update.
func (r *Relay) callDue(now time.Time) bool {
	age := now.Sub(r.firstListed)
	switch {
	case r.hadWatcher:
		return r.watching || !r.HasWatcher(now)
	case r.watching:
		return age >= joinDelay
	}
	return age >= watcherTimeout
}

// HasWatcher reports whether a complete update of a watcher was received within
// watcherTimeout. Watchers send updates only while the store answers them.
func (r *Relay) HasWatcher(now time.Time) bool {
	for _, at := range r.lastReceived {
		if now.Sub(at) < watcherTimeout {
			return true
		}
	}
	return false
}

// Listed applies the complete list at a revision. As the list may be older than updates that
// were received, changes after its revision are requested again. A list of an earlier era is
// rejected, and Listed returns false: it was on its way while another host sent a later era.
func (r *Relay) Listed(now time.Time, revision storer.Version, all []storer.Object) bool {
	if revision.Era() < r.Era() {
		return false
	}
	r.ledger.reset(revision, all)
	if r.firstListed.IsZero() {
		r.firstListed = now
	}
	r.lastAnswer = now
	r.updateBehind(now)
	return true
}

// Follows reports whether an update follows on the known list, without a gap.
func (r *Relay) Follows(u Update) bool { return r.ledger.follows(u) }

// Watched applies an answer of the store and returns the changes that were not known.
func (r *Relay) Watched(now time.Time, u Update) []storer.Object {
	r.lastAnswer = now
	fresh, _ := r.ledger.apply(u)
	r.updateBehind(now)
	return fresh
}

// Failed records that a call of the store failed.
func (r *Relay) Failed() { r.lastAnswer = time.Time{} }

// WatcherLost records that another host no longer watches, or that the store no longer
// answers it. If the store left only the watchers without an answer, their last updates
// would otherwise count until watcherTimeout.
func (r *Relay) WatcherLost(from string) { delete(r.lastReceived, from) }

// Received applies another host's update and returns the changes that were not known. It
// rejects the update and returns false if changes before it are missing or if it is of
// another era. A host in an earlier era does not count as a watcher.
func (r *Relay) Received(now time.Time, from string, u Update) ([]storer.Object, bool) {
	r.latest = max(r.latest, u.After)
	fresh, complete := r.ledger.apply(u)
	switch {
	case complete:
		r.lastReceived[from], r.hadWatcher = now, true
	case u.Upto.Era() < r.ledger.upto.Era():
		delete(r.lastReceived, from)
	}
	r.updateBehind(now)
	return fresh, complete
}

// ReceivedList applies the complete list, sent by another host, of a store that was restored
// from an older snapshot, and returns whether it is newer than the known list. Without it all
// hosts of a fleet would call the store at the moment it is available again.
func (r *Relay) ReceivedList(now time.Time, from string, upto storer.Version, all []storer.Object) bool {
	if upto <= r.ledger.upto || r.firstListed.IsZero() {
		return false
	}
	r.ledger.reset(upto, all)
	r.latest = max(r.latest, upto)
	r.lastReceived[from], r.hadWatcher = now, true
	r.updateBehind(now)
	return true
}

// Era returns the store's era of the known list; 0 before the first list.
func (r *Relay) Era() uint64 { return r.ledger.upto.Era() }

// Version returns the version of the known list.
func (r *Relay) Version() storer.Version { return r.ledger.upto }

// updateBehind records whether other hosts know a later revision than this one.
func (r *Relay) updateBehind(now time.Time) {
	switch {
	case r.latest <= r.ledger.upto:
		r.behindSince = time.Time{}
	case r.behindSince.IsZero():
		r.behindSince = now
	}
}

// Heartbeat returns an empty update, which a watcher sends to show that it is up to date. It
// returns false if this host does not watch or is not known to be up to date.
func (r *Relay) Heartbeat(now time.Time) (Update, bool) {
	if !r.watching || r.lastAnswer.IsZero() || now.Sub(r.lastAnswer) > MaxAnswerAge {
		return Update{}, false
	}
	return Update{After: r.ledger.upto, Upto: r.ledger.upto}, true
}
