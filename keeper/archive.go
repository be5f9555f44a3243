package keeper

import (
	"slices"
	"time"
)

// archive is a part of the tail on its way into a segment.
type archive struct {
	segment Segment
	entries []*Entry
	stored  bool // the segment's object is there; the head does not name it yet
	writing bool
}

// compact moves a tail that has grown into a segment. The head is never deleted
// and made anew: a paused keeper could then succeed with a condition that holds
// for both (ABA). The segment is written first and named by a commit after, so
// what the head names is always there.
func (k *Keeper) compact(out *outputs, _ time.Time) {
	if k.archive == nil && sizeOf(k.head.Tail) > k.settings.MaxTailBytes {
		entries := slices.Clone(k.head.Tail)
		k.archive = &archive{entries: entries, segment: k.segmentOf(entries, 0)}
	}
	k.archive.start(out)
	k.merge.start(out)
	if k.merge == nil {
		k.startMerge(out)
	}
}

// segmentOf names a new segment. Its name is never used again.
func (k *Keeper) segmentOf(entries []*Entry, level uint8) Segment {
	k.sequence++
	s := Segment{Epoch: k.head.Epoch, Sequence: k.sequence, Level: level, Size: sizeOf(entries)}
	for _, e := range entries {
		s.Newest, s.Dated = max(s.Newest, e.At), max(s.Dated, e.Dated)
	}
	return s
}

// start writes the segment's object unless it is stored or being written.
func (a *archive) start(out *outputs) {
	if a == nil || a.stored || a.writing || a.entries == nil {
		return
	}
	a.writing = true
	out.add(WriteSegment{Segment: a.segment, Entries: a.entries})
}

// done is a segment that the next commit can name.
func (a *archive) done() bool { return a != nil && a.stored }

func (k *Keeper) segmentWrote(out *outputs, now time.Time, w SegmentWritten) {
	for _, a := range []*archive{k.archive, k.merge.target()} {
		if a == nil || a.segment != w.Segment {
			continue
		}
		a.writing, a.stored = false, w.Result == Done
		if !a.stored {
			k.outage(out, now)
		}
	}
}

// forget leaves the segments out of a commit that are older than the retention.
// A key that carries a date can't run again after: the floor keeps the latest
// date that was forgotten.
func (k *Keeper) forget(c *commit, now time.Time) {
	limit := now.Add(-k.settings.Retention).UnixMilli()
	for _, op := range k.ops {
		if op.intent != nil {
			limit = min(limit, op.intent.At-1)
		}
	}
	kept := c.head.Segments[:0:0]
	for _, s := range c.head.Segments {
		if s.Newest > limit {
			kept = append(kept, s)
			continue
		}
		c.doomed = append(c.doomed, s)
		c.head.Floor = max(c.head.Floor, s.Dated)
	}
	c.head.Segments = kept
}

// forgotten takes the records of dropped segments out of memory. It runs when
// the head that drops them is known to be written: before that, its floor does
// not guard their keys.
func (k *Keeper) forgotten(out *outputs, doomed []Segment) {
	if len(doomed) == 0 {
		return
	}
	last := int64(0)
	for _, d := range doomed {
		out.add(DropSegment{Segment: d})
		last = max(last, d.Newest)
	}
	for id, e := range k.records {
		if e.At <= last {
			delete(k.records, id)
		}
	}
}
