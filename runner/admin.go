package runner

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// admin returns the handler of the operators' HTTP interface.
func (h *Host) admin(registry *prometheus.Registry) http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	r.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(h.State())
	}).Methods(http.MethodGet)
	r.HandleFunc("/drain", func(w http.ResponseWriter, _ *http.Request) {
		h.Drain()
		w.WriteHeader(http.StatusAccepted)
	}).Methods(http.MethodPost)
	r.HandleFunc("/release/{id}", h.serveRelease).Methods(http.MethodPost)
	registerProfiles(r)
	return r
}

// registerProfiles adds the handlers of net/http/pprof.
func registerProfiles(r *mux.Router) {
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
	r.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	r.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
}
