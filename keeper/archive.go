package keeper

import (
	"slices"
	"time"
)

// archive is a part of the tail that is being moved into a segment.
type archive struct {
	segment Segment
	records []*Record
	written bool // the segment's object is stored; the head does not name it yet
	writing bool
}

// compact moves a tail that has grown past its limit into a segment, and merges small
// segments. The head is never deleted and created again: the condition of a paused
// keeper's write could then hold for the new object (the ABA problem). A segment's object
// is written before a commit names it, so every segment that the head names exists.
func (k *Keeper) compact(out *outputs, _ time.Time) {
	if k.archive == nil && sizeOf(k.head.Tail) > k.settings.ArchiveTailBytes {
		records := slices.Clone(k.head.Tail)
		k.archive = &archive{records: records, segment: k.newSegment(records, 0)}
	}
	k.archive.start(out)
	k.merge.start(out)
	if k.merge == nil {
		k.startMerge(out)
	}
}

// newSegment returns a segment under a name that is never used again.
func (k *Keeper) newSegment(records []*Record, level uint8) Segment {
	k.sequence++
	s := Segment{Epoch: k.head.Epoch, Sequence: k.sequence, Level: level, Size: sizeOf(records)}
	for _, e := range records {
		s.NewestAt, s.NewestKeyTime = max(s.NewestAt, e.At), max(s.NewestKeyTime, e.KeyTime)
	}
	return s
}

// start writes the segment's object unless it is stored or being written.
func (a *archive) start(out *outputs) {
	if a == nil || a.written || a.writing || a.records == nil {
		return
	}
	a.writing = true
	out.add(WriteSegment{Segment: a.segment, Records: a.records})
}

// ready reports whether the next commit can name the segment.
func (a *archive) ready() bool { return a != nil && a.written }

func (k *Keeper) segmentWritten(out *outputs, now time.Time, w SegmentWritten) {
	for _, a := range []*archive{k.archive, k.merge.target()} {
		if a == nil || a.segment != w.Segment {
			continue
		}
		a.writing, a.written = false, w.Result == Done
		if !a.written {
			k.storeFailed(out, now)
		}
	}
}

// dropExpired removes the segments that are past the retention period from a commit. The
// head's floor keeps the latest key date among them, so that a key that carries a date
// can't run again after its record has expired.
func (k *Keeper) dropExpired(c *commit, now time.Time) {
	limit := now.Add(-k.settings.Retention).UnixMilli()
	for _, op := range k.ops {
		if op.intent != nil {
			limit = min(limit, op.intent.At-1)
		}
	}
	retained := c.head.Segments[:0:0]
	for _, s := range c.head.Segments {
		if s.NewestAt > limit {
			retained = append(retained, s)
			continue
		}
		c.expired = append(c.expired, s)
		c.head.Floor = max(c.head.Floor, s.NewestKeyTime)
	}
	c.head.Segments = retained
}

// forgetExpired removes the records of expired segments from memory and deletes the
// segments' objects. It must not run before the head that drops them is known to be
// written: until then its floor does not guard their keys.
func (k *Keeper) forgetExpired(out *outputs, expired []Segment) {
	if len(expired) == 0 {
		return
	}
	last := int64(0)
	for _, d := range expired {
		out.add(DropSegment{Segment: d})
		last = max(last, d.NewestAt)
	}
	for id, e := range k.records {
		if e.At <= last {
			delete(k.records, id)
		}
	}
}
