package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/observer"
	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/storer"
)

// workersList names the list of the workers' entries among the lists that hosts watch
// for each other.
const workersList = "watch/workers"

const (
	// maxPartBytes bounds what is sent of an update in one frame: a fraction of it, as other
	// messages wait behind it.
	maxPartBytes = messenger.MaxBody / 4
	// changeOverhead is an upper bound of the bytes of a change beside its key and value.
	changeOverhead = 32
)

// storeCallRequested asks for the next call of the store.
type storeCallRequested struct{ reply chan<- storeCall }

// listUpdateReceived is another host's update of the workers' entries.
type listUpdateReceived struct {
	from   string
	update messenger.ListUpdate
}

// listSnapshotReceived is another host's full list of the workers' entries.
type listSnapshotReceived struct {
	from     string
	snapshot messenger.ListSnapshot
}

// nextCall implements storeWatch.nextCall.
func (p *selector) nextCall(ctx context.Context) storeCall {
	return askSelector(ctx, p, func(reply chan<- storeCall) event { return storeCallRequested{reply: reply} })
}

// updateWatching records whether this host has to watch the store, and logs a change.
func (p *selector) updateWatching(now time.Time, why string) {
	required := p.planCall(now).required
	if p.watchesStore.Swap(required) == required {
		return
	}
	p.log.Info("watching the store", zap.Bool("self", required), zap.Bool("for_all", p.relay.Watching()), zap.String("why", why),
		zap.Duration("age", now.Sub(p.updatedAt)))
}

// planCall returns the next call of the store that the relay requires.
func (p *selector) planCall(now time.Time) storeCall {
	after, required, behind := p.relay.Next(now)
	n := storeCall{after: after, required: required, wait: relayer.WatchTimeout, forAll: p.relay.Watching()}
	if behind {
		n.wait = catchUpWait
	}
	return n
}

// handleStoreResult applies the result of a call to the platform's store.
func (p *selector) handleStoreResult(now time.Time, e storeResult) {
	if !e.failed && !e.full && !p.relay.Follows(e.update) {
		return // a list that was read earlier has arrived since
	}
	if !e.failed {
		p.confirmation.answered(e.sentAt)
	}
	switch {
	case e.failed:
		p.listCallFailed(now, e.sentAt, e.throttled)
		p.relay.Failed()
		p.sendHeartbeat(now)
		// While a watcher sends heartbeats, or the store refuses calls as too many, it is available,
		// though not to this host.
		if !e.throttled && !p.relay.HasWatcher(now) {
			p.directory.Failed()
		}
	case e.full:
		p.applyStoreList(now, e)
	default:
		p.noteAnswer(now, now)
		p.applyChanges(now, p.relay.Watched(now, e.update))
		if p.relay.Watching() && e.update.Upto > e.update.After {
			p.broadcastChanges(e.update)
		}
	}
	if !e.failed {
		p.startsRead(now, e)
		p.origins.resumer.ListConfirmed(now, e.sentAt)
		p.origins.answerHeld(now, e.sentAt)
	}
}

// startsRead records up to when the list has each start of a worker, if an answer of the store
// was applied.
func (p *selector) startsRead(now time.Time, e storeResult) {
	upto, known := e.update.Upto, p.relay.Version()
	switch {
	case !p.directory.Settled(now) || upto.Era() != known.Era() || upto > known:
	case e.full:
		p.origins.resumer.StartsListed(e.sentAt)
	default:
		p.origins.resumer.StartsUpdated(e.sentAt)
	}
}

// applyStoreList applies a full list that this host read from the store.
func (p *selector) applyStoreList(now time.Time, e storeResult) {
	w := e.update
	overtaken := w.Upto < p.relay.Version()
	restored := p.loaded.Load() && w.Upto.Era() > p.relay.Era()
	if !p.relay.Listed(now, w.Upto, w.Changed) {
		p.log.Info("list of an earlier era ignored", zap.Stringer("version", w.Upto), zap.Uint64("era", p.relay.Era()))
		return
	}
	if overtaken {
		p.confirmation.at = e.sentAt
	}
	p.applyMissed(now, e)
	p.applyList(now, w.Changed, restored)
	p.loaded.Store(true)
	if restored && p.relay.Watching() {
		p.broadcast(messenger.ListSnapshot{Upto: uint64(w.Upto), All: encodeChanges(w.Changed)})
	}
}

// applyList applies a full list of entries. restored is set if the list is of a later era
// than the previous one.
func (p *selector) applyList(now time.Time, objects []storer.Object, restored bool) {
	p.received(now)
	entries := p.decodeWorkers(objects).changed
	if restored {
		p.directory.Restored(now, entries)
	} else {
		p.directory.Listed(now, entries)
	}
	p.setWorkers(now)
}

// receiveSnapshot applies a full list that another host read from the store.
func (p *selector) receiveSnapshot(now time.Time, e listSnapshotReceived) {
	upto := storer.Version(e.snapshot.Upto)
	restored := upto.Era() > p.relay.Era()
	objects := decodeChanges(e.snapshot.All)
	if !p.relay.ReceivedList(now, e.from, upto, objects) {
		return
	}
	p.log.Info("workers told after the store came back", zap.String("from", e.from), zap.Stringer("version", upto), zap.Int("entries", len(objects)))
	if p.onEra != nil {
		p.onEra(upto.Era(), e.from)
	}
	p.noteUnseen(now, now)
	p.applyList(now, objects, restored)
}

// receiveListUpdate applies another host's update of the entries.
func (p *selector) receiveListUpdate(now time.Time, e listUpdateReceived) {
	if e.update.StoreDown {
		p.relay.WatcherLost(e.from)
		p.updateWatching(now, "watcher blind")
		return
	}
	w := relayer.Update{After: storer.Version(e.update.After), Upto: storer.Version(e.update.Upto), Changed: decodeChanges(e.update.Changed)}
	if changes, complete := p.relay.Received(now, e.from, w); complete {
		p.noteAnswer(now, now.Add(-relayer.MaxAnswerAge))
		p.applyChanges(now, changes)
	}
}

// applyChanges applies changed entries, only those that are new to this host.
func (p *selector) applyChanges(now time.Time, objects []storer.Object) {
	p.received(now)
	d := p.decodeWorkers(objects)
	for _, x := range d.changed {
		p.directory.Changed(now, x)
	}
	for _, name := range d.removed {
		p.directory.Removed(now, name)
	}
	p.origins.served(now, d.replaced)
	if len(objects) == 0 {
		p.listUpdated(now)
		return
	}
	p.setWorkers(now)
}

// broadcastChanges sends changed entries to all other hosts.
func (p *selector) broadcastChanges(w relayer.Update) {
	for _, part := range splitUpdate(w) {
		p.broadcast(messenger.ListUpdate{After: uint64(part.After), Upto: uint64(part.Upto), Changed: encodeChanges(part.Changed)})
	}
}

// splitUpdate splits an update into parts that each fit a frame. Each part follows from the one
// before, so that a host that misses one calls the store.
func splitUpdate(w relayer.Update) []relayer.Update {
	var parts []relayer.Update
	part, size := relayer.Update{After: w.After, Upto: w.After}, 0
	for _, o := range w.Changed {
		n := changeOverhead + len(o.Key) + len(relayedValue(o))
		if size+n > maxPartBytes && size > 0 {
			parts = append(parts, part)
			part, size = relayer.Update{After: part.Upto, Upto: part.Upto}, 0
		}
		part.Changed, part.Upto = append(part.Changed, o), max(part.Upto, o.Version)
		size += n
	}
	part.Upto = max(part.Upto, w.Upto)
	return append(parts, part)
}

// relayedValue returns the value of an entry as it is sent to other hosts: none if it is so large
// that no host uses it.
func relayedValue(o storer.Object) []byte {
	if len(o.Value) > platform.MaxEntryBytes {
		return nil
	}
	return o.Value
}

// encodeChanges converts objects of the store for a message.
func encodeChanges(objects []storer.Object) []messenger.Change {
	var out []messenger.Change
	for _, o := range objects {
		out = append(out, messenger.Change{Key: o.Key, Value: relayedValue(o), Version: uint64(o.Version), Deleted: o.Deleted})
	}
	return out
}

// decodeChanges reverses encodeChanges.
func decodeChanges(changes []messenger.Change) []storer.Object {
	var out []storer.Object
	for _, c := range changes {
		out = append(out, storer.Object{Key: c.Key, Value: c.Value, Version: storer.Version(c.Version), Deleted: c.Deleted})
	}
	return out
}

// sendHeartbeat announces to the other hosts that this host, if it watches the store for
// them, is up to date, and immediately when that is no longer so.
func (p *selector) sendHeartbeat(now time.Time) {
	w, ok := p.relay.Heartbeat(now)
	ok = ok && !p.doubtsList(now)
	switch {
	case ok && now.Sub(p.lastHeartbeat) >= relayer.HeartbeatInterval:
		p.lastHeartbeat, p.announced = now, true
		p.broadcastChanges(w)
	case !ok && p.announced:
		p.announced = false
		p.broadcast(messenger.ListUpdate{StoreDown: true})
	}
}

// workerChanges is the decoded form of changed entries.
type workerChanges struct {
	changed  []observer.Entry
	replaced []observer.Entry // entries of the call that a later one of the same worker replaced
	removed  []string         // names
}

// decodeWorkers decodes the entries of a call, the last one of each worker. A worker
// whose entry can't be decoded counts as removed; all other entries apply.
func (p *selector) decodeWorkers(objects []storer.Object) workerChanges {
	var d workerChanges
	last := map[string]int{}
	for i, o := range objects {
		last[o.Key] = i
	}
	for i, o := range objects {
		e, err := platform.DecodeWorker(o)
		switch {
		case last[o.Key] != i:
			if err == nil && !o.Deleted {
				d.replaced = append(d.replaced, e)
			}
		case o.Deleted:
			p.oddEntries.forget(o)
			d.removed = append(d.removed, platform.WorkerName(o))
		case err != nil:
			p.oddEntries.record(p.log, o, err)
			d.removed = append(d.removed, platform.WorkerName(o))
		default:
			p.oddEntries.forget(o)
			d.changed = append(d.changed, e)
		}
	}
	return d
}

func (storeCallRequested) event()   {}
func (listUpdateReceived) event()   {}
func (listSnapshotReceived) event() {}
func (storeResult) event()          {}
