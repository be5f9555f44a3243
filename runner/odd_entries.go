package runner

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// maxOddEntries bounds the odd entries that are remembered.
	maxOddEntries = 1024
	// skippedLogInterval is the shortest time between two log lines of elements without a name.
	skippedLogInterval = 10 * time.Minute
)

// oddEntries logs and counts the workers' entries that are not used: each of them once, until
// its reason changes or the worker can be used again. The zero oddEntries has seen none.
type oddEntries struct {
	reasons map[string]string // by worker
	refused prometheus.Counter
}

// record records an entry that is not used.
func (x *oddEntries) record(log *zap.Logger, o storer.Object, err error) {
	worker := platform.WorkerName(o)
	if reason, known := x.reasons[worker]; known && reason == err.Error() {
		return
	}
	if x.reasons == nil || len(x.reasons) >= maxOddEntries {
		x.reasons = map[string]string{}
	}
	x.reasons[worker] = err.Error()
	if x.refused != nil {
		x.refused.Inc()
	}
	log.Warn("worker's entry", zap.String("worker", worker), zap.Stringer("version", o.Version), zap.Error(err))
}

// forget records that a worker's entry is used or deleted.
func (x *oddEntries) forget(o storer.Object) { delete(x.reasons, platform.WorkerName(o)) }

// register adds the counter to a host's metrics.
func (x *oddEntries) register(r prometheus.Registerer) {
	x.refused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cicadawood_worker_entries_refused_total", Help: "Workers' entries that can't be used, each counted again when its reason changes.",
	})
	r.MustRegister(x.refused)
}

// countSkipped returns the function that counts the store's elements without a name, and logs them
// now and then.
func countSkipped(log *zap.Logger, r prometheus.Registerer) func(kind string) {
	skipped := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cicadawood_store_elements_skipped_total", Help: "Elements of the store's lists and watches without a name that can be decoded.",
	})
	r.MustRegister(skipped)
	var mu sync.Mutex
	var logged time.Time
	return func(kind string) {
		skipped.Inc()
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); now.Sub(logged) >= skippedLogInterval {
			logged = now
			log.Warn("element of the store skipped", zap.String("kind", kind))
		}
	}
}
