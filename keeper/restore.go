package keeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/storer"
)

// epochBits is the number of bits of an epoch below the era in it. As an epoch includes the
// era, a keeper that seals in a later era of the store has a larger epoch than all keepers
// of earlier eras, including those of which the restored store has no record.
const epochBits = 20

// maxEpochEra is the largest era in an epoch, of which 32 bits go into an order number.
const maxEpochEra = 1<<(32-epochBits) - 1

// writtenEra returns the era in which a head was written; false if its writer did not record
// it.
func (h Head) writtenEra() (uint64, bool) { return h.Era - 1, h.Era != 0 }

// predatesRestore reports whether a head, read at a version, was written before the store
// was restored: no keeper has written it since.
func (h Head) predatesRestore(version storer.Version) bool {
	era, known := h.writtenEra()
	return known && era < version.Era()
}

// epochAfter returns the epoch of a keeper that seals a head in an era of the store.
func epochAfter(epoch, era uint64) uint64 {
	return max(epoch+1, min(era, maxEpochEra)<<epochBits)
}

// storeRestored handles that the log may have been restored from an older snapshot. It
// guards against this failure: a keeper that was sealed out and has not noticed finds its
// own head in the store again, as the seal was lost, and treats its outdated memory as the
// complete log. The store can't tell the difference any more, so a keeper relies on its
// memory only if its host has owned the partition since before the log was read.
func (k *Keeper) storeRestored(out *outputs, in StoreRestored) {
	if k.phase != phaseIdle && (in.OwnedSince.IsZero() || in.OwnedSince.After(k.readAt)) {
		k.forgetLog(out)
		return
	}
	k.ownedEra = max(k.ownedEra, in.Era)
	switch k.phase {
	case phaseReady, phaseSealing:
		k.uncertain = true
	case phaseLoading:
		// The segments that the head names may be lost.
		k.phase, k.missingSegments, k.loaded = phaseReading, nil, nil
	}
}

// rewriteRestored writes the records that the restored store lacks, on top of those that it
// has. It guards against this failure: a key whose outcome was lost in the restore runs a
// second time under the next keeper. This keeper's memory has the complete log, as its host
// has owned the partition since before the log was read.
func (k *Keeper) rewriteRestored(out *outputs, r HeadRead) {
	c := &commit{head: r.Head, records: k.recordsMissingFrom(r.Head)}
	c.head.Epoch = epochAfter(max(k.head.Epoch, r.Head.Epoch), r.Version.Era())
	c.head.Floor = max(k.head.Floor, r.Head.Floor)
	c.head.LostUntil = max(k.head.LostUntil, r.Head.LostUntil)
	c.head.Tail = appendReplacing(slices.Clone(r.Head.Tail), c.records)
	for _, op := range k.ops {
		if op.stage <= stagePlaced {
			op.recorded = false // until this write is done
		}
	}
	k.version, k.unsettled, k.uncertain, k.archive, k.merge = r.Version, nil, false, nil, nil
	k.writeHead(out, c)
}

// restoredHeadRead handles the head of a store that was restored from an older snapshot.
func (k *Keeper) restoredHeadRead(out *outputs, now time.Time, r HeadRead) {
	switch {
	case k.isUnsettled(r.Head.Stamp):
		// An unsettled write from before the restore took effect after it. It may have
		// replaced another keeper's head, and may name a segment that was lost.
		r.Head.Segments, r.Head.Last = k.head.Segments, k.head.Last
		r.Head.markLost(now)
		k.rewriteRestored(out, r)
	case r.Result == Missing, r.Head.predatesRestore(r.Version), r.Head.Era == 0:
		k.rewriteRestored(out, r)
	default:
		k.relinquish(out)
	}
}

// rewriteOverDelayed writes the head again over one from before the restore. It guards
// against this failure: a delayed write of an earlier keeper takes effect, as the restored
// store assigned the revision in its condition again, and replaces what this keeper has
// recorded since.
func (k *Keeper) rewriteOverDelayed(out *outputs, r HeadRead) {
	for _, e := range r.Head.Tail {
		if k.records[e.ID] == nil {
			k.remember(e)
		}
	}
	c := &commit{head: k.head}
	c.head.Tail = appendReplacing(slices.Clone(r.Head.Tail), k.head.Tail)
	k.version, k.unsettled, k.uncertain = r.Version, nil, false
	k.writeHead(out, c)
}

// recordsMissingFrom returns the records in memory that a restored head may lack: those
// later than all in its log and, if it is of an earlier epoch, those of this keeper's own
// epoch.
func (k *Keeper) recordsMissingFrom(h Head) []*Record {
	after := h.Last
	if h.Epoch < k.head.Epoch {
		after = min(after, k.loadedAt)
	}
	var out []*Record
	for _, e := range k.records {
		if e.At > after {
			out = append(out, e)
		}
	}
	for _, op := range k.ops {
		if op.recorded && op.outcome == nil && op.intent.At > after {
			out = append(out, op.intent)
		}
	}
	slices.SortFunc(out, func(a, b *Record) int { return cmp.Compare(a.At, b.At) })
	return dropAnswersToFit(out)
}

// dropAnswersToFit removes the answers if the records would be too large for a head. A
// repeated key then gets KindGone.
func dropAnswersToFit(records []*Record) []*Record {
	if sizeOf(records) <= maxTailBytes {
		return records
	}
	withoutAnswers := make([]*Record, 0, len(records))
	for _, e := range records {
		if e.Answer == nil {
			withoutAnswers = append(withoutAnswers, e)
			continue
		}
		x := *e
		x.Answer = nil
		withoutAnswers = append(withoutAnswers, &x)
	}
	return withoutAnswers
}

// markLost records in a head that keys may have run whose records are lost.
func (h *Head) markLost(now time.Time) { h.LostUntil = max(h.LostUntil, now.UnixMilli()) }

// mayBeLost reports whether a key without a record may have run all the same: its record
// may have been lost in a restore of the store, and with the memory of the keeper that had
// it. A key that carries a later time is certainly new.
func (k *Keeper) mayBeLost(now time.Time, c Call) bool {
	lost := k.head.LostUntil
	switch {
	case lost == 0 || now.UnixMilli() >= lost+k.settings.Retention.Milliseconds():
		return false
	case c.KeyTime != 0:
		return c.KeyTime <= lost+maxClockSkew.Milliseconds()
	}
	return true
}
