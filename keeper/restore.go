package keeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/storer"
)

// epochBits is the bits of an epoch below its era: a keeper that seals in a later era of
// the store has a larger epoch than all of the earlier ones, which it may not know of.
const epochBits = 20

// mostEpochEra bounds the era in an epoch, of which 32 bits go into an order.
const mostEpochEra = 1<<(32-epochBits) - 1

// eraOf is the era in which a head was written; false where its writer did not say.
func (h Head) eraOf() (uint64, bool) { return h.Era - 1, h.Era != 0 }

// older says that a head, read at a version, is from an older copy of the store: nobody
// has written it since the store came back.
func (h Head) older(version storer.Version) bool {
	era, known := h.eraOf()
	return known && era < version.Era()
}

// epochAfter is the epoch of a keeper that seals a head in an era of the store.
func epochAfter(epoch, era uint64) uint64 {
	return max(epoch+1, min(era, mostEpochEra)<<epochBits)
}

// restored takes that the log may have come back from an older copy of the store. Failure:
// a keeper that was sealed out and has not noticed finds its own head there again, as the
// seal was lost, and takes its old memory for the whole log. The store can't tell any more;
// so only who owned the partition all the while goes by its memory.
func (k *Keeper) restored(out *outputs, in StoreRestored) {
	if k.phase != phaseIdle && (in.OwnedSince.IsZero() || in.OwnedSince.After(k.readAt)) {
		k.rejoin(out)
		return
	}
	k.owned = max(k.owned, in.Era)
	switch k.phase {
	case phaseReady, phaseSealing:
		k.unsure = true
	case phaseLoading:
		// The segments that its head names may be gone.
		k.phase, k.wanted, k.loaded = phaseReading, nil, nil
	}
}

// restore writes again what an older copy of the store lacks, on top of what it has.
// Failure: a key whose outcome was lost with the copy runs a second time under the next
// keeper. This keeper's memory has the whole log: it owned the partition all the while.
func (k *Keeper) restore(out *outputs, r HeadRead) {
	c := &commit{head: r.Head, entries: k.missing(r.Head)}
	c.head.Epoch = epochAfter(max(k.head.Epoch, r.Head.Epoch), r.Version.Era())
	c.head.Floor = max(k.head.Floor, r.Head.Floor)
	c.head.LostUntil = max(k.head.LostUntil, r.Head.LostUntil)
	c.head.Tail = replace(slices.Clone(r.Head.Tail), c.entries)
	for _, op := range k.ops {
		if op.stage <= stagePlaced {
			op.recorded = false // until this is written
		}
	}
	k.version, k.tried, k.unsure, k.archive, k.merge = r.Version, nil, false, nil, nil
	k.write(out, c)
}

// reread takes the head of a store that came back from an older copy.
func (k *Keeper) reread(out *outputs, now time.Time, r HeadRead) {
	switch {
	case k.isTried(r.Head.Stamp):
		// A write of before took effect after. It may have replaced another keeper's, and
		// name a segment that was lost.
		r.Head.Segments, r.Head.Last = k.head.Segments, k.head.Last
		r.Head.lose(now)
		k.restore(out, r)
	case r.Result == Missing, r.Head.older(r.Version), r.Head.Era == 0:
		k.restore(out, r)
	default:
		k.lost(out)
	}
}

// repeat writes the head again over one from before the store came back. Failure: a write
// of an earlier keeper comes late, and its condition holds as the revision was given out
// again; what this keeper has recorded since is gone.
func (k *Keeper) repeat(out *outputs, r HeadRead) {
	for _, e := range r.Head.Tail {
		if k.records[e.ID] == nil {
			k.note(e)
		}
	}
	c := &commit{head: k.head}
	c.head.Tail = replace(slices.Clone(r.Head.Tail), k.head.Tail)
	k.version, k.tried, k.unsure = r.Version, nil, false
	k.write(out, c)
}

// missing is the records in memory that a head from an older copy may lack: those later
// than all in it, and those of this keeper's own epoch.
func (k *Keeper) missing(h Head) []*Entry {
	after := h.Last
	if h.Epoch < k.head.Epoch {
		after = min(after, k.loadedAt)
	}
	var out []*Entry
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
	slices.SortFunc(out, func(a, b *Entry) int { return cmp.Compare(a.At, b.At) })
	return fitted(out)
}

// fitted leaves the answers out where the records would be too large for a head. A
// repeated key is then told that it ran.
func fitted(entries []*Entry) []*Entry {
	if sizeOf(entries) <= mostTail {
		return entries
	}
	bare := make([]*Entry, 0, len(entries))
	for _, e := range entries {
		if e.Answer == nil {
			bare = append(bare, e)
			continue
		}
		x := *e
		x.Answer = nil
		bare = append(bare, &x)
	}
	return bare
}

// lose notes in a head that keys may have run of which it knows nothing.
func (h *Head) lose(now time.Time) { h.LostUntil = max(h.LostUntil, now.UnixMilli()) }

// mayBeLost says that a key of which the log knows nothing may have run all the same: its
// record may have been lost with an older copy of the store, and with the memory of the
// keeper that had it. A key that carries a later time is certainly new.
func (k *Keeper) mayBeLost(now time.Time, c Call) bool {
	lost := k.head.LostUntil
	switch {
	case lost == 0 || now.UnixMilli() >= lost+k.settings.Retention.Milliseconds():
		return false
	case c.Dated != 0:
		return c.Dated <= lost+clockSkew.Milliseconds()
	}
	return true
}
