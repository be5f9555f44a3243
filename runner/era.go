package runner

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// eraTracker tracks the latest era of the store, as reported by this host's own calls or by
// other hosts. A later era means that the store was restored from an older snapshot and has
// lost its last writes. The zero value knows no era.
type eraTracker struct {
	log *zap.Logger

	mu       sync.Mutex
	latest   uint64
	known    bool
	restored func(era uint64) // called for each later era
}

// storeRestored reports that the store was restored from an older snapshot.
type storeRestored struct{ era uint64 }

func (storeRestored) event() {}

// onRestored sets the function that is called, on its own goroutine, whenever a later era
// begins. It must be called before the first call of the store.
func (e *eraTracker) onRestored(f func(era uint64)) { e.restored = f }

// advance records an era reported by a source. One that is not later has no effect.
func (e *eraTracker) advance(n uint64, source string) {
	e.mu.Lock()
	previous, first := e.latest, !e.known
	if !first && n <= previous {
		e.mu.Unlock()
		return
	}
	e.latest, e.known = n, true
	e.mu.Unlock()
	if first || e.restored == nil {
		return
	}
	e.log.Warn("store came back from an older copy", zap.Uint64("before", previous), zap.Uint64("era", n), zap.String("from", source))
	go e.restored(n) // advance is also called by the goroutines that restored notifies
}

// current returns the latest era; 0 before any is known.
func (e *eraTracker) current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest
}

func (e *eraTracker) register(r prometheus.Registerer) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cicadawood_store_era", Help: "How often the platform's store came back from an older copy, as it tells; 0 where it does not.",
	}, func() float64 { return float64(e.current()) }))
}
