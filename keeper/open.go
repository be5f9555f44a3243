package keeper

import (
	"slices"
	"time"
)

// seal replaces the head with one of this keeper's own epoch. From then on the
// conditional writes of every earlier keeper fail, also of one that was paused
// and still believes that the partition is its own.
func (k *Keeper) seal(out *outputs, now time.Time) {
	c := &commit{head: k.head}
	c.head.Epoch = epochAfter(k.head.Epoch, k.era)
	if k.head.older(k.version) || k.version == 0 && k.era > k.settings.LayoutEra {
		c.head.lose(now)
	}
	k.write(out, c)
}

// sealed begins to read the archived log. The head's own tail is known already:
// the seal kept it.
func (k *Keeper) sealed(out *outputs, now time.Time) {
	k.phase = phaseLoading
	k.loaded, k.wanted = map[Segment][]*Entry{}, map[Segment]bool{}
	k.load(out, now)
}

// load asks for the segments that are still missing. They can't change any more.
func (k *Keeper) load(out *outputs, now time.Time) {
	if len(k.wanted) > 0 {
		return
	}
	for _, s := range k.head.Segments {
		if _, ok := k.loaded[s]; !ok {
			k.wanted[s] = true
			out.add(ReadSegment{Segment: s})
		}
	}
	if len(k.wanted) == 0 {
		k.begin(out, now)
	}
}

func (k *Keeper) segmentRead(out *outputs, now time.Time, r SegmentRead) {
	if k.phase == phaseReady {
		k.mergeRead(out, now, r)
		return
	}
	if k.phase != phaseLoading || !k.wanted[r.Segment] {
		return
	}
	delete(k.wanted, r.Segment)
	if r.Result == Missing {
		// Lost with an older copy of the store, as what a head names is never dropped.
		k.head.Segments = slices.DeleteFunc(slices.Clone(k.head.Segments), func(s Segment) bool { return s == r.Segment })
		k.head.lose(now)
		k.load(out, now)
		return
	}
	if r.Result != Done {
		k.outage(out, now)
		return
	}
	k.loaded[r.Segment] = r.Entries
	k.retryAt = time.Time{}
	k.load(out, now)
}

// begin takes the log into memory and the waiting calls in.
func (k *Keeper) begin(out *outputs, now time.Time) {
	k.phase, k.records, k.answers, k.pending = phaseReady, map[ID]*Entry{}, fifo{}, newQueue()
	for _, s := range k.head.Segments {
		k.replay(k.loaded[s])
		k.lastAt = max(k.lastAt, s.Newest)
	}
	k.replay(k.head.Tail)
	k.loadedAt = k.lastAt
	k.loaded = nil
	early := k.early
	k.early = nil
	for _, c := range early {
		k.admit(out, now, c)
	}
}

func (k *Keeper) replay(entries []*Entry) {
	for _, e := range entries {
		k.note(e)
		k.lastAt = max(k.lastAt, e.At)
	}
}
