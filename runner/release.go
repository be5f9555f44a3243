package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/cicadawood/cicadawood/attributor"
	"github.com/cicadawood/cicadawood/quarantiner"
)

// releaseRequested asks to release what is in quarantine before its time, as the operator wants it.
type releaseRequested struct {
	fingerprint quarantiner.Fingerprint
	reply       chan<- bool // whether it was in quarantine
}

// release releases an entry on all hosts, and reports whether there was one. The owner of the role
// removes it from the store.
func (q *quarantineSync) releaseByOperator(now time.Time, e releaseRequested) {
	e.reply <- q != nil && q.tracker.Release(e.fingerprint)
	if q != nil {
		q.announceNew(now)
	}
}

// serveRelease serves POST /release/{id}.
func (h *Host) serveRelease(w http.ResponseWriter, r *http.Request) {
	f, err := parseHeldID(mux.Vars(r)["id"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !h.release(r.Context(), f) {
		http.Error(w, "nothing of that name is held back", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// release releases an entry through the goroutine that owns the quarantine.
func (h *Host) release(ctx context.Context, f quarantiner.Fingerprint) bool {
	ask := func(reply chan<- bool) event { return releaseRequested{fingerprint: f, reply: reply} }
	if h.routes != nil {
		return askSelector(ctx, h.routes.selector, ask)
	}
	reply := make(chan bool, 1)
	if !h.control.post(ask(reply)) {
		return false
	}
	select {
	case ok := <-reply:
		return ok
	case <-h.control.ended:
	case <-ctx.Done():
	}
	return false
}

// parseHeldID parses the ID of a part, or the fingerprint of a request, as they are logged.
func parseHeldID(text string) (quarantiner.Fingerprint, error) {
	if p, err := attributor.ParseID(text); err == nil {
		return quarantiner.FingerprintOfPart(uint64(p)), nil
	}
	var f quarantiner.Fingerprint
	err := f.UnmarshalText([]byte(text))
	return f, err
}

func (releaseRequested) event() {}
