package keeper

import (
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/storer"
)

const (
	maxBatchBytes = 256 << 10 // bytes of records in one commit
	maxTailBytes  = 512 << 10 // bytes of the tail; commits wait for archiving beyond it
)

// commit is one write of the head whose result is not known yet.
type commit struct {
	head    Head
	records []*Record
	archive *archive
	merge   *merge
	expired []Segment // past the retention period
}

// startStoreCalls starts the calls of the store that are due. At most one read or write of
// the head is in flight, so their results arrive in order.
func (k *Keeper) startStoreCalls(out *outputs, now time.Time) {
	k.refillTokens(now)
	if k.busy || k.down(now) {
		return
	}
	switch {
	case k.phase == phaseIdle && (k.loadWanted || len(k.queued) > 0), k.phase == phaseReading:
		k.phase, k.loadWanted = phaseReading, false
		k.readAt = now
		k.readHead(out)
	case k.uncertain, k.phase == phaseReady && !k.retryAt.IsZero():
		// The store was down, or a reply was lost: read before writing.
		k.readHead(out)
	case k.phase == phaseSealing:
		k.seal(out, now)
	case k.phase == phaseLoading:
		k.loadSegments(out, now)
	case k.phase == phaseReady:
		k.compact(out, now)
		k.commit(out, now)
		k.readToConfirm(out)
	}
}

// refillTokens refills the token bucket of commits. The burst lets a single call commit
// without waiting; the bounded rate makes a loaded partition put more calls into each
// commit.
func (k *Keeper) refillTokens(now time.Time) {
	if !k.refilledAt.IsZero() {
		k.tokens = min(k.settings.Burst, k.tokens+k.settings.WritesPerSecond*now.Sub(k.refilledAt).Seconds())
	}
	k.refilledAt = now
}

func (k *Keeper) readHead(out *outputs) {
	k.busy = true
	k.coverUnconfirmed()
	out.add(ReadHead{})
}

// commit writes the pending records, and the segments that are ready, in one head.
func (k *Keeper) commit(out *outputs, now time.Time) {
	if k.pending.len() == 0 && !k.archive.ready() && !k.merge.ready() || k.tokens < 1 {
		return
	}
	c := &commit{head: k.head, records: k.pending.oldest(maxBatchBytes)}
	c.head.Tail = slices.Clone(k.head.Tail)
	if k.archive.ready() {
		c.archive = k.archive
		c.head.Tail = without(c.head.Tail, k.archive.records)
		c.head.Segments = append(slices.Clone(k.head.Segments), k.archive.segment)
	} else if sizeOf(k.head.Tail) > maxTailBytes {
		return
	}
	if k.merge.ready() {
		k.commitMerge(c)
	}
	c.head.Tail = appendReplacing(c.head.Tail, c.records)
	k.dropExpired(c, now)
	k.tokens--
	k.writeHead(out, c)
}

// commitMerge names the merged segment in a commit, or abandons the merge.
func (k *Keeper) commitMerge(c *commit) {
	segments, ok := k.merge.substitute(c.head.Segments)
	if !ok {
		k.merge = nil
		return
	}
	c.head.Segments, c.merge = segments, k.merge
}

// writeHead starts a write of the head. Its condition is the version last confirmed,
// regardless of unsettled writes: of all writes with that condition at most one takes
// effect.
func (k *Keeper) writeHead(out *outputs, c *commit) {
	k.writes++
	c.head.Era = k.era + 1
	for _, e := range c.records {
		c.head.Last = max(c.head.Last, e.At)
	}
	c.head.Stamp = Stamp{Keeper: k.name, Incarnation: k.incarnation, Write: k.writes}
	k.unsettled = append(k.unsettled, c)
	k.busy = true
	k.coverUnconfirmed()
	out.add(WriteHead{Head: c.head, Match: k.version})
}

// headWritten handles the result of a write of the head. If the result is uncertain, the
// head is read back: its stamp shows whether the write took effect.
func (k *Keeper) headWritten(out *outputs, now time.Time, w HeadWritten) {
	if k.discardStale() {
		return
	}
	if len(k.unsettled) == 0 || k.unsettled[len(k.unsettled)-1].head.Stamp != w.Stamp {
		return // of a write before the partition was given up
	}
	k.busy = false
	switch w.Result {
	case Done:
		k.settle(out, now, w.Stamp, w.Version)
		k.replyConfirmed(out)
	case Down:
		k.unsettled = k.unsettled[:len(k.unsettled)-1]
		k.storeFailed(out, now)
	case Lost, Conflict, Missing:
		k.uncertain = true
		if w.Result == Lost {
			k.allowCommit()
		}
	}
}

// allowCommit makes sure that the write after a read-back need not wait for a token.
func (k *Keeper) allowCommit() { k.tokens = max(k.tokens, 1) }

// headRead handles the result of a read of the head.
func (k *Keeper) headRead(out *outputs, now time.Time, r HeadRead) {
	if k.discardStale() || !k.busy {
		return
	}
	k.busy = false
	if r.Result == Down || r.Result == Lost {
		k.storeFailed(out, now)
		return
	}
	k.retryAt = time.Time{}
	if r.Result == Missing {
		r.Version, r.Head = 0, Head{}
	} else {
		r.Era = r.Version.Era()
	}
	restored := r.Era > k.era
	if restored && k.phase == phaseReady && k.ownedEra < r.Era {
		k.storeFailed(out, now) // until StoreRestored states whether the host still owns the partition
		return
	}
	k.era = r.Era
	switch {
	case k.phase == phaseReady && restored:
		k.restoredHeadRead(out, now, r)
	case k.phase == phaseReading, k.phase == phaseSealing && restored:
		k.head, k.version, k.unsettled = r.Head, r.Version, nil
		k.phase, k.uncertain = phaseSealing, false
	case r.Version == k.version:
		// No unsettled write has taken effect, but one may still do so: the next write has
		// the same condition, so at most one of them takes effect.
		k.uncertain = false
		k.replyConfirmed(out)
	case k.isUnsettled(r.Head.Stamp):
		k.settle(out, now, r.Head.Stamp, r.Version)
		k.replyConfirmed(out)
	case k.phase == phaseSealing:
		k.head, k.version, k.unsettled, k.uncertain = r.Head, r.Version, nil, false
	case r.Head.predatesRestore(r.Version):
		k.rewriteOverDelayed(out, r)
	default:
		k.relinquish(out)
	}
}

func (k *Keeper) isUnsettled(s Stamp) bool {
	return slices.ContainsFunc(k.unsettled, func(c *commit) bool { return c.head.Stamp == s })
}

// settle marks an unsettled write as done. The others with the same condition can't take
// effect any more.
func (k *Keeper) settle(out *outputs, now time.Time, s Stamp, version storer.Version) {
	i := slices.IndexFunc(k.unsettled, func(c *commit) bool { return c.head.Stamp == s })
	c := k.unsettled[i]
	k.era = version.Era()
	k.head, k.version, k.unsettled, k.uncertain, k.retryAt = c.head, version, nil, false, time.Time{}
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
	k.forgetExpired(out, c.expired)
	for _, e := range c.records {
		k.pending.written(e)
		k.recorded(out, e)
	}
}

// recorded continues an operation once its record is in the log.
func (k *Keeper) recorded(out *outputs, e *Record) {
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

// maybeLogged reports whether the log has the record, or may get it from an unsettled
// write.
func (k *Keeper) maybeLogged(e *Record) bool {
	if e == nil {
		return false
	}
	if slices.Contains(k.head.Tail, e) || k.archive != nil && slices.Contains(k.archive.records, e) {
		return true
	}
	if op := k.ops[e.ID]; op != nil && op.recorded {
		return true
	}
	return slices.ContainsFunc(k.unsettled, func(c *commit) bool { return slices.Contains(c.records, e) })
}

// newRecord makes an operation's next record. Times are strictly increasing, so that they
// also give the order of records in the log.
func (k *Keeper) newRecord(now time.Time, op *operation, s State, a *Answer) *Record {
	return &Record{ID: op.id, Hash: op.hash, KeyTime: op.keyTime, State: s, Answer: a, At: k.nextTime(now.UnixMilli())}
}

func (k *Keeper) nextTime(ms int64) int64 {
	k.lastAt = max(ms, k.lastAt+1)
	return k.lastAt
}

// appendReplacing appends records to a tail and removes earlier ones with the same IDs.
func appendReplacing(tail, records []*Record) []*Record {
	newer := make(map[ID]bool, len(records))
	for _, e := range records {
		newer[e.ID] = true
	}
	tail = slices.DeleteFunc(tail, func(e *Record) bool { return newer[e.ID] })
	return append(tail, records...)
}

func without(tail, records []*Record) []*Record {
	removed := make(map[*Record]bool, len(records))
	for _, e := range records {
		removed[e] = true
	}
	return slices.DeleteFunc(tail, func(e *Record) bool { return removed[e] })
}

func sizeOf(records []*Record) int {
	n := 0
	for _, e := range records {
		n += e.size()
	}
	return n
}
