package keeper

import (
	"slices"
	"time"
)

const (
	mergeCount    = 8         // segments of one level that are merged into one of the next
	maxMergeBytes = 512 << 10 // size limit of a merged segment
)

// merge replaces several segments by one. It keeps the head short, which every commit
// writes as a whole.
type merge struct {
	archive
	sources []Segment
	loaded  map[Segment][]*Record
}

func (m *merge) start(out *outputs) {
	if m != nil {
		m.archive.start(out)
	}
}

func (m *merge) ready() bool { return m != nil && m.archive.ready() }

// target returns the merged segment, or nil if there is no merge.
func (m *merge) target() *archive {
	if m == nil {
		return nil
	}
	return &m.archive
}

// startMerge reads the first run of segments that can be merged.
func (k *Keeper) startMerge(out *outputs) {
	run := mergeable(k.head.Segments)
	if run == nil {
		return
	}
	k.merge = &merge{sources: run, loaded: map[Segment][]*Record{}}
	for _, s := range run {
		out.add(ReadSegment{Segment: s})
	}
}

// mergeable returns the first mergeCount adjacent segments of one level that together fit
// into maxMergeBytes, or nil.
func mergeable(segments []Segment) []Segment {
	for i := 0; i+mergeCount <= len(segments); i++ {
		run, size := segments[i:i+mergeCount], 0
		same := !slices.ContainsFunc(run, func(s Segment) bool { return s.Level != run[0].Level })
		for _, s := range run {
			size += s.Size
		}
		if same && size <= maxMergeBytes {
			return slices.Clone(run)
		}
	}
	return nil
}

// mergeSourceRead handles the result of reading one source. A failed read abandons the
// merge; it starts again when the store answers.
func (k *Keeper) mergeSourceRead(out *outputs, now time.Time, r SegmentRead) {
	m := k.merge
	if m == nil || m.records != nil || !slices.Contains(m.sources, r.Segment) {
		return
	}
	if r.Result != Done {
		k.merge = nil
		k.storeFailed(out, now)
		return
	}
	m.loaded[r.Segment] = r.Records
	if len(m.loaded) < len(m.sources) {
		return
	}
	var records []*Record
	for _, s := range m.sources {
		records = appendReplacing(records, m.loaded[s])
	}
	m.records, m.loaded = records, nil
	m.segment = k.newSegment(records, m.sources[0].Level+1)
	// Newer records may have replaced the newest of a source; its ages must still count.
	for _, s := range m.sources {
		m.segment.NewestAt, m.segment.NewestKeyTime = max(m.segment.NewestAt, s.NewestAt), max(m.segment.NewestKeyTime, s.NewestKeyTime)
	}
}

// substitute replaces the sources by the merged segment in a list of segments. It reports
// false if a source has been dropped meanwhile: the merge is then obsolete.
func (m *merge) substitute(segments []Segment) ([]Segment, bool) {
	i := slices.Index(segments, m.sources[0])
	if i < 0 || len(segments)-i < len(m.sources) || !slices.Equal(segments[i:i+len(m.sources)], m.sources) {
		return segments, false
	}
	return slices.Concat(segments[:i], []Segment{m.segment}, segments[i+len(m.sources):]), true
}
