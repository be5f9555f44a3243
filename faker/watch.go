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
		l := p.eventsSince(r.PathValue("kind"), after)
		changed := p.changed
		p.mu.Unlock()
		switch {
		case down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case dropped:
			http.Error(w, "revision is forgotten", http.StatusGone)
			return
		case len(l.Events) > 0:
			writeJSON(w, http.StatusOK, l)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) eventsSince(kind string, after uint64) platform.Events {
	l := platform.Events{Revision: max(after, p.revision), Events: []platform.Event{}}
	for _, c := range p.history {
		if c.kind == kind && c.object.Metadata.Revision > after {
			l.Events = append(l.Events, platform.Event{Object: encodeObject(c.object), Deleted: c.deleted})
		}
	}
	return l
}
