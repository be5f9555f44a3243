package keeper

import (
	"slices"
	"time"
)

// seal replaces the head with one of this keeper's own epoch. From then on the conditional
// writes of every earlier keeper fail, including those of a keeper that was paused and
// still considers itself the owner.
func (k *Keeper) seal(out *outputs, now time.Time) {
	c := &commit{head: k.head}
	c.head.Epoch = epochAfter(k.head.Epoch, k.era)
	if k.head.predatesRestore(k.version) || k.version == 0 && k.era > k.settings.LayoutEra {
		c.head.markLost(now)
	}
	k.writeHead(out, c)
}

// sealed starts loading the archived part of the log. The tail is known already: the seal
// kept it.
func (k *Keeper) sealed(out *outputs, now time.Time) {
	k.phase = phaseLoading
	k.loaded, k.missingSegments = map[Segment][]*Record{}, map[Segment]bool{}
	k.loadSegments(out, now)
}

// loadSegments requests the segments that are not loaded yet, and ends the load when there
// are none. Segments never change.
func (k *Keeper) loadSegments(out *outputs, now time.Time) {
	if len(k.missingSegments) > 0 {
		return
	}
	for _, s := range k.head.Segments {
		if _, ok := k.loaded[s]; !ok {
			k.missingSegments[s] = true
			out.add(ReadSegment{Segment: s})
		}
	}
	if len(k.missingSegments) == 0 {
		k.becomeReady(out, now)
	}
}

func (k *Keeper) segmentRead(out *outputs, now time.Time, r SegmentRead) {
	if k.phase == phaseReady {
		k.mergeSourceRead(out, now, r)
		return
	}
	if k.phase != phaseLoading || !k.missingSegments[r.Segment] {
		return
	}
	delete(k.missingSegments, r.Segment)
	if r.Result == Missing {
		// Only a store restored from an older snapshot can lack a segment that the head
		// names, as segments are deleted only after the head has dropped them.
		k.head.Segments = slices.DeleteFunc(slices.Clone(k.head.Segments), func(s Segment) bool { return s == r.Segment })
		k.head.markLost(now)
		k.loadSegments(out, now)
		return
	}
	if r.Result != Done {
		k.storeFailed(out, now)
		return
	}
	k.loaded[r.Segment] = r.Records
	k.retryAt = time.Time{}
	k.loadSegments(out, now)
}

// becomeReady replays the loaded log and admits the calls that waited for it.
func (k *Keeper) becomeReady(out *outputs, now time.Time) {
	k.phase, k.records, k.answers, k.pending = phaseReady, map[ID]*Record{}, fifo{}, newQueue()
	for _, s := range k.head.Segments {
		k.replay(k.loaded[s])
		k.lastAt = max(k.lastAt, s.NewestAt)
	}
	k.replay(k.head.Tail)
	k.loadedAt = k.lastAt
	k.loaded = nil
	queued := k.queued
	k.queued = nil
	for _, c := range queued {
		k.admit(out, now, c)
	}
}

func (k *Keeper) replay(records []*Record) {
	for _, e := range records {
		k.remember(e)
		k.lastAt = max(k.lastAt, e.At)
	}
}
