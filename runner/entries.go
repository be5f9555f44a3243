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

// entriesList is the list of the workers' entries, as far as hosts share the watching.
const entriesList = "watch/workers"

// nextAsked asks whether the host is to call the store.
type nextAsked struct{ reply chan<- callNext }

// wordHeard is another host's word of the workers' entries.
type wordHeard struct {
	from string
	word messenger.ListUpdate
}

// entriesHeard is another host's word of all entries.
type entriesHeard struct {
	from    string
	entries messenger.ListSnapshot
}

// next implements listing's question of when to call.
func (p *choosing) next(ctx context.Context) callNext {
	return askChoosing(ctx, p, func(reply chan<- callNext) event { return nextAsked{reply: reply} })
}

// takeTurn notes whether this host is to watch the store, and logs a change of that.
func (p *choosing) takeTurn(now time.Time, why string) {
	call := p.callNext(now).call
	if p.calls.Swap(call) == call {
		return
	}
	p.log.Info("watching the store", zap.Bool("self", call), zap.Bool("for_all", p.relay.Watching()), zap.String("why", why),
		zap.Duration("age", now.Sub(p.listed)))
}

// callNext is the relay's answer to next.
func (p *choosing) callNext(now time.Time) callNext {
	after, call, behind := p.relay.Next(now)
	n := callNext{after: after, call: call, wait: relayer.WatchTimeout, forAll: p.relay.Watching()}
	if behind {
		n.wait = catchWait
	}
	return n
}

// see takes what the platform's store told of the workers' entries.
func (p *choosing) see(now time.Time, e entriesSeen) {
	switch {
	case e.failed:
		p.relay.Failed()
		p.beat(now)
		// While the watchers speak, the store is there, if not for this host.
		if !p.relay.HasWatcher(now) {
			p.directory.Failed()
		}
	case e.whole:
		p.list(now, e.word)
	default:
		p.change(now, p.relay.Watched(now, e.word))
		if p.relay.Watching() && e.word.Upto > e.word.After {
			p.spread(e.word)
		}
	}
}

// list takes all entries, as this host's own call brought them.
func (p *choosing) list(now time.Time, w relayer.Update) {
	restored := p.known.Load() && w.Upto.Era() > p.relay.Era()
	if !p.relay.Listed(now, w.Upto, w.Changed) {
		p.log.Info("list of an earlier era left out", zap.Stringer("version", w.Upto), zap.Uint64("era", p.relay.Era()))
		return
	}
	p.takeList(now, w.Changed, restored)
	p.known.Store(true)
	if restored && p.relay.Watching() {
		p.toOthers(messenger.ListSnapshot{Upto: uint64(w.Upto), All: changesOf(w.Changed)})
	}
}

// takeList takes all entries; restored says that they are of a later era than those before.
func (p *choosing) takeList(now time.Time, objects []storer.Object, restored bool) {
	p.listed = now
	entries := p.decode(objects).changed
	if restored {
		p.directory.Restored(now, entries)
	} else {
		p.directory.Listed(now, entries)
	}
	p.setWorkers(now)
}

// hearEntries takes all entries, as another host had them of the store.
func (p *choosing) hearEntries(now time.Time, e entriesHeard) {
	upto := storer.Version(e.entries.Upto)
	restored := upto.Era() > p.relay.Era()
	objects := objectsOf(e.entries.All)
	if !p.relay.ReceivedList(now, e.from, upto, objects) {
		return
	}
	p.log.Info("workers told after the store came back", zap.String("from", e.from), zap.Stringer("version", upto), zap.Int("entries", len(objects)))
	if p.reach != nil {
		p.reach(upto.Era(), e.from)
	}
	p.takeList(now, objects, restored)
}

// hearWord takes another host's word of the entries.
func (p *choosing) hearWord(now time.Time, e wordHeard) {
	if e.word.StoreDown {
		p.relay.WatcherLost(e.from)
		p.takeTurn(now, "watcher blind")
		return
	}
	w := relayer.Update{After: storer.Version(e.word.After), Upto: storer.Version(e.word.Upto), Changed: objectsOf(e.word.Changed)}
	if fresh, whole := p.relay.Received(now, e.from, w); whole {
		p.change(now, fresh)
	}
}

// change takes changed entries, those new to this host only.
func (p *choosing) change(now time.Time, objects []storer.Object) {
	p.listed = now
	d := p.decode(objects)
	for _, x := range d.changed {
		p.directory.Changed(now, x)
	}
	for _, name := range d.removed {
		p.directory.Removed(now, name)
	}
	if len(objects) > 0 {
		p.setWorkers(now)
	}
}

// spread tells all other hosts a word.
func (p *choosing) spread(w relayer.Update) {
	p.toOthers(messenger.ListUpdate{After: uint64(w.After), Upto: uint64(w.Upto), Changed: changesOf(w.Changed)})
}

// changesOf is objects of the store as hosts tell them to each other.
func changesOf(objects []storer.Object) []messenger.Change {
	var out []messenger.Change
	for _, o := range objects {
		out = append(out, messenger.Change{Key: o.Key, Value: o.Value, Version: uint64(o.Version), Deleted: o.Deleted})
	}
	return out
}

// objectsOf is what changesOf was made of.
func objectsOf(changes []messenger.Change) []storer.Object {
	var out []storer.Object
	for _, c := range changes {
		out = append(out, storer.Object{Key: c.Key, Value: c.Value, Version: storer.Version(c.Version), Deleted: c.Deleted})
	}
	return out
}

// beat tells the others that this host, if it watches for them, is up to date, and
// at once when it is so no more.
func (p *choosing) beat(now time.Time) {
	w, ok := p.relay.Heartbeat(now)
	switch {
	case ok && now.Sub(p.beaten) >= relayer.HeartbeatInterval:
		p.beaten, p.watching = now, true
		p.spread(w)
	case !ok && p.watching:
		p.watching = false
		p.toOthers(messenger.ListUpdate{StoreDown: true})
	}
}

// decoded is entries of the store, read.
type decoded struct {
	changed []observer.Entry
	removed []string // names
}

// decode takes the entries of a call, the last word on each worker. One that can't
// be read names no worker; the others hold.
func (p *choosing) decode(objects []storer.Object) decoded {
	var d decoded
	last := map[string]int{}
	for i, o := range objects {
		last[o.Key] = i
	}
	for i, o := range objects {
		if last[o.Key] != i {
			continue
		}
		e, err := platform.DecodeWorker(o)
		switch {
		case o.Deleted:
			d.removed = append(d.removed, platform.WorkerName(o))
		case err != nil:
			p.log.Warn("worker's entry", zap.String("worker", platform.WorkerName(o)), zap.Stringer("version", o.Version), zap.Error(err))
			d.removed = append(d.removed, platform.WorkerName(o))
		default:
			d.changed = append(d.changed, e)
		}
	}
	return d
}

func (nextAsked) event()    {}
func (wordHeard) event()    {}
func (entriesHeard) event() {}
func (entriesSeen) event()  {}
