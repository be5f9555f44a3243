package faker

import (
	"io"
	"net/http"
	"strings"

	"github.com/cicadawood/cicadawood/platform"
)

// hasPoisonPart reports whether a request's prompt has the part, other than as its last.
func hasPoisonPart(h http.Header, part string) bool {
	parts := strings.Split(h.Get(platform.HeaderPromptParts), ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(strings.TrimSpace(p), ":"); id == part {
			return true
		}
	}
	return false
}

// crashAnswering begins to answer the request and crashes: half of the requests get the status
// and a first event before that, the others nothing. It doesn't return.
func (k *Worker) crashAnswering(w http.ResponseWriter, r *http.Request) {
	sleep(r, k.Delay)
	k.mu.Lock()
	k.poisoned++
	begins := k.Events > 0 && k.poisoned%2 == 0
	k.mu.Unlock()
	if begins {
		w.Header().Set(platform.HeaderSeal, k.ID)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, k.event(1))
		flush(w)
		sleep(r, k.Delay)
	}
	go k.crash()
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
