package keeper

import (
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/storer"
)

const (
	mostBatch = 256 << 10 // bytes of entries in one commit
	mostTail  = 512 << 10 // bytes of the tail, while its archiving is late
)

// commit is one write of the head that is not settled.
type commit struct {
	head    Head
	entries []*Entry
	archive *archive
	merge   *merge
	doomed  []Segment // forgotten
}

// pump starts the next call of the store, where one is due. At most one read or
// write of the head is under way, so what comes back comes in order.
func (k *Keeper) pump(out *outputs, now time.Time) {
	k.fill(now)
	if k.busy || k.down(now) {
		return
	}
	switch {
	case k.phase == phaseIdle && (k.open || len(k.early) > 0), k.phase == phaseReading:
		k.phase, k.open = phaseReading, false
		k.readAt = now
		k.read(out)
	case k.unsure, k.phase == phaseReady && !k.retryAt.IsZero():
		// The store was down, or a reply was lost: look before writing.
		k.read(out)
	case k.phase == phaseSealing:
		k.seal(out, now)
	case k.phase == phaseLoading:
		k.load(out, now)
	case k.phase == phaseReady:
		k.compact(out, now)
		k.commit(out, now)
		k.confirm(out)
	}
}

// fill counts the commits that may start: bursts at once, so that a lone call
// waits for nothing, and a bounded number in the long run, so that a loaded
// partition puts more calls into each.
func (k *Keeper) fill(now time.Time) {
	if !k.filled.IsZero() {
		k.tokens = min(k.settings.Burst, k.tokens+k.settings.WritesPerSecond*now.Sub(k.filled).Seconds())
	}
	k.filled = now
}

func (k *Keeper) read(out *outputs) {
	k.busy = true
	k.cover()
	out.add(ReadHead{})
}

// commit writes what is pending, all of it at once.
func (k *Keeper) commit(out *outputs, now time.Time) {
	if k.pending.len() == 0 && !k.archive.done() && !k.merge.done() || k.tokens < 1 {
		return
	}
	c := &commit{head: k.head, entries: k.pending.first(mostBatch)}
	c.head.Tail = slices.Clone(k.head.Tail)
	if k.archive.done() {
		c.archive = k.archive
		c.head.Tail = without(c.head.Tail, k.archive.entries)
		c.head.Segments = append(slices.Clone(k.head.Segments), k.archive.segment)
	} else if sizeOf(k.head.Tail) > mostTail {
		return
	}
	if k.merge.done() {
		k.replaceMerged(c)
	}
	c.head.Tail = replace(c.head.Tail, c.entries)
	k.forget(c, now)
	k.tokens--
	k.write(out, c)
}

// replaceMerged names a merged segment in a commit, or gives it up.
func (k *Keeper) replaceMerged(c *commit) {
	segments, ok := k.merge.put(c.head.Segments)
	if !ok {
		k.merge = nil
		return
	}
	c.head.Segments, c.merge = segments, k.merge
}

// write sends one head. Its condition is the version last confirmed, whatever
// was tried since: of all tries from that version at most one takes effect.
func (k *Keeper) write(out *outputs, c *commit) {
	k.writes++
	c.head.Era = k.era + 1
	for _, e := range c.entries {
		c.head.Last = max(c.head.Last, e.At)
	}
	c.head.Stamp = Stamp{Keeper: k.name, Incarnation: k.incarn, Write: k.writes}
	k.tried = append(k.tried, c)
	k.busy = true
	k.cover()
	out.add(WriteHead{Head: c.head, Match: k.version})
}

// wrote takes the end of a write. One whose reply was lost is settled by
// reading back which stamp the head has, never by assuming.
func (k *Keeper) wrote(out *outputs, now time.Time, w HeadWritten) {
	if k.outlasts() {
		return
	}
	if len(k.tried) == 0 || k.tried[len(k.tried)-1].head.Stamp != w.Stamp {
		return // of a time before the partition was lost
	}
	k.busy = false
	switch w.Result {
	case Done:
		k.settle(out, now, w.Stamp, w.Version)
		k.confirmed(out)
	case Down:
		k.tried = k.tried[:len(k.tried)-1]
		k.outage(out, now)
	case Lost, Conflict, Missing:
		k.unsure = true
		if w.Result == Lost {
			k.refill()
		}
	}
}

// refill lets a read-back be followed at once by the write it may call for.
func (k *Keeper) refill() { k.tokens = max(k.tokens, 1) }

// headRead takes the head as it is.
func (k *Keeper) headRead(out *outputs, now time.Time, r HeadRead) {
	if k.outlasts() || !k.busy {
		return
	}
	k.busy = false
	if r.Result == Down || r.Result == Lost {
		k.outage(out, now)
		return
	}
	k.retryAt = time.Time{}
	if r.Result == Missing {
		r.Version, r.Head = 0, Head{}
	} else {
		r.Era = r.Version.Era()
	}
	restored := r.Era > k.era
	if restored && k.phase == phaseReady && k.owned < r.Era {
		k.outage(out, now) // until the host says whether it still owns the partition
		return
	}
	k.era = r.Era
	switch {
	case k.phase == phaseReady && restored:
		k.reread(out, now, r)
	case k.phase == phaseReading, k.phase == phaseSealing && restored:
		k.head, k.version, k.tried = r.Head, r.Version, nil
		k.phase, k.unsure = phaseSealing, false
	case r.Version == k.version:
		// Not there, but a late write may still arrive: the next one has the same
		// condition, so at most one of them takes effect.
		k.unsure = false
		k.confirmed(out)
	case k.isTried(r.Head.Stamp):
		k.settle(out, now, r.Head.Stamp, r.Version)
		k.confirmed(out)
	case k.phase == phaseSealing:
		k.head, k.version, k.tried, k.unsure = r.Head, r.Version, nil, false
	case r.Head.older(r.Version):
		k.repeat(out, r)
	default:
		k.lost(out)
	}
}

func (k *Keeper) isTried(s Stamp) bool {
	return slices.ContainsFunc(k.tried, func(c *commit) bool { return c.head.Stamp == s })
}

// settle takes a try as written: the others from the same version never will be.
func (k *Keeper) settle(out *outputs, now time.Time, s Stamp, version storer.Version) {
	i := slices.IndexFunc(k.tried, func(c *commit) bool { return c.head.Stamp == s })
	c := k.tried[i]
	k.era = version.Era()
	k.head, k.version, k.tried, k.unsure, k.retryAt = c.head, version, nil, false, time.Time{}
	if k.phase == phaseSealing {
		k.sealed(out, now)
		return
	}
	if c.archive != nil {
		k.archive = nil
	}
	if c.merge != nil {
		k.merge = nil
		for _, d := range c.merge.sources {
			out.add(DropSegment{Segment: d})
		}
	}
	k.forgotten(out, c.doomed)
	for _, e := range c.entries {
		k.pending.written(e)
		k.recorded(out, e)
	}
}

// recorded tells an operation that the log has its entry.
func (k *Keeper) recorded(out *outputs, e *Entry) {
	op := k.ops[e.ID]
	switch {
	case op == nil:
	case op.intent == e:
		op.recorded = true
		k.send(out, op)
	case op.outcome == e:
		k.finish(out, op)
	}
}

// mayHold says that the log has the entry, or may get it from a try that is
// not settled.
func (k *Keeper) mayHold(e *Entry) bool {
	if e == nil {
		return false
	}
	if slices.Contains(k.head.Tail, e) || k.archive != nil && slices.Contains(k.archive.entries, e) {
		return true
	}
	if op := k.ops[e.ID]; op != nil && op.recorded {
		return true
	}
	return slices.ContainsFunc(k.tried, func(c *commit) bool { return slices.Contains(c.entries, e) })
}

// entry makes an operation's next record. Their times grow strictly, so that
// they stand for the order of the log too.
func (k *Keeper) entry(now time.Time, op *operation, s State, a *Answer) *Entry {
	return &Entry{ID: op.id, Hash: op.hash, Dated: op.dated, State: s, Answer: a, At: k.stampTime(now.UnixMilli())}
}

func (k *Keeper) stampTime(ms int64) int64 {
	k.lastAt = max(ms, k.lastAt+1)
	return k.lastAt
}

// replace appends entries to a tail and takes earlier ones of their IDs out.
func replace(tail, entries []*Entry) []*Entry {
	newer := make(map[ID]bool, len(entries))
	for _, e := range entries {
		newer[e.ID] = true
	}
	tail = slices.DeleteFunc(tail, func(e *Entry) bool { return newer[e.ID] })
	return append(tail, entries...)
}

func without(tail, entries []*Entry) []*Entry {
	gone := make(map[*Entry]bool, len(entries))
	for _, e := range entries {
		gone[e] = true
	}
	return slices.DeleteFunc(tail, func(e *Entry) bool { return gone[e] })
}

func sizeOf(entries []*Entry) int {
	n := 0
	for _, e := range entries {
		n += e.size()
	}
	return n
}
