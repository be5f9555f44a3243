package keeper

import (
	"slices"
	"time"
)

const (
	mergeCount = 8         // segments of a level that become one of the next
	mergeBytes = 512 << 10 // of the largest merged segment
)

// merge makes one segment of several, so that the head, which every commit
// writes whole, names few.
type merge struct {
	archive
	sources []Segment
	loaded  map[Segment][]*Entry
}

func (m *merge) start(out *outputs) {
	if m != nil {
		m.archive.start(out)
	}
}

func (m *merge) done() bool { return m != nil && m.archive.done() }

// target is the merged segment; nil where there is none.
func (m *merge) target() *archive {
	if m == nil {
		return nil
	}
	return &m.archive
}

// startMerge reads the first run of segments that can become one.
func (k *Keeper) startMerge(out *outputs) {
	run := mergeable(k.head.Segments)
	if run == nil {
		return
	}
	k.merge = &merge{sources: run, loaded: map[Segment][]*Entry{}}
	for _, s := range run {
		out.add(ReadSegment{Segment: s})
	}
}

// mergeable is the first mergeCount neighbours of one level that fit together.
func mergeable(segments []Segment) []Segment {
	for i := 0; i+mergeCount <= len(segments); i++ {
		run, size := segments[i:i+mergeCount], 0
		same := !slices.ContainsFunc(run, func(s Segment) bool { return s.Level != run[0].Level })
		for _, s := range run {
			size += s.Size
		}
		if same && size <= mergeBytes {
			return slices.Clone(run)
		}
	}
	return nil
}

// mergeRead takes one source. A read that failed gives the merge up: it is
// begun again when the store answers.
func (k *Keeper) mergeRead(out *outputs, now time.Time, r SegmentRead) {
	m := k.merge
	if m == nil || m.entries != nil || !slices.Contains(m.sources, r.Segment) {
		return
	}
	if r.Result != Done {
		k.merge = nil
		k.outage(out, now)
		return
	}
	m.loaded[r.Segment] = r.Entries
	if len(m.loaded) < len(m.sources) {
		return
	}
	var entries []*Entry
	for _, s := range m.sources {
		entries = replace(entries, m.loaded[s])
	}
	m.entries, m.loaded = entries, nil
	m.segment = k.segmentOf(entries, m.sources[0].Level+1)
	// What the sources held may have been replaced; their ages have not.
	for _, s := range m.sources {
		m.segment.Newest, m.segment.Dated = max(m.segment.Newest, s.Newest), max(m.segment.Dated, s.Dated)
	}
}

// put names the merged segment in place of its sources. Where one of them has
// been dropped meanwhile, the merge is of no use any more.
func (m *merge) put(segments []Segment) ([]Segment, bool) {
	i := slices.Index(segments, m.sources[0])
	if i < 0 || len(segments)-i < len(m.sources) || !slices.Equal(segments[i:i+len(m.sources)], m.sources) {
		return segments, false
	}
	return slices.Concat(segments[:i], []Segment{m.segment}, segments[i+len(m.sources):]), true
}
