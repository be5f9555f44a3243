package faker

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cicadawood/cicadawood/platform"
)

func (p *Platform) addChange(c change) {
	p.history = append(p.history, c)
	if len(p.history) > maxHistoryEvents {
		p.droppedUpTo = p.history[0].object.Metadata.Revision
		p.history = slices.Clone(p.history[len(p.history)-maxHistoryEvents:])
	}
	p.notifyWatchers()
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// watch answers at the first change of the kind after a revision, or after the wait that
// the request names.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get(platform.ParamWatch), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(platform.ParamWait))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		p.mu.Lock()
		p.setEraHeader(w)
		down, dropped := p.faults.Down, after < p.droppedUpTo || after > p.revision
		events, revision := p.eventsSince(r.PathValue("kind"), after)
		changed := p.changed
		p.mu.Unlock()
		switch {
		case down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case dropped:
			http.Error(w, "revision is forgotten", http.StatusGone)
			return
		case len(events) > 0:
			writeText(w, encodeEvents(events, revision))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeText(w, encodeEvents(events, revision))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the encoded events of a kind after a revision, and the revision after them.
func (p *Platform) eventsSince(kind string, after uint64) ([][]byte, uint64) {
	var events [][]byte
	for _, c := range p.history {
		if c.kind == kind && c.object.Metadata.Revision > after {
			events = append(events, encodeEvent(encodeObject(c.object), c.deleted))
		}
	}
	return events, max(after, p.revision)
}
