package faker

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// serviceLoad is the load report of a fake plain service.
type serviceLoad struct {
	running atomic.Int64
	leaving atomic.Bool
}

func (l *serviceLoad) get(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(struct {
		Running int64 `json:"running"`
		Leaving bool  `json:"leaving"`
	}{l.running.Load(), l.leaving.Load()})
}

func (l *serviceLoad) leave(w http.ResponseWriter, _ *http.Request) {
	l.leaving.Store(true)
	w.WriteHeader(http.StatusAccepted)
}
