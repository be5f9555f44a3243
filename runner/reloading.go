package runner

import (
	"context"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/loader"
)

// memoryShare is the part of a process's memory at which the runtime collects
// garbage harder: connections' buffers in the kernel count, too.
const memoryShare = 0.6

// boundMemory tells the runtime how much memory the process may take.
func boundMemory(l loader.Limits) {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(l.MemoryMB<<20)))
	}
}

// settingsChanged is new settings of this host.
type settingsChanged struct{ settings loader.Host }

func (settingsChanged) event() {}

// follow takes new settings until ctx ends. A nil channel brings none.
func (h *Host) follow(ctx context.Context, reload <-chan loader.Host) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-reload:
			boundMemory(s.Limits)
			if h.routing != nil {
				h.routing.choosing.post(settingsChanged{settings: s})
			}
			h.log.Info("settings in force", zap.Int("memory", s.Limits.MemoryMB), zap.Float64("ratio", s.Repeat.Ratio), zap.Float64("slack", s.Repeat.Slack))
		}
	}
}

// registerDropped has the lines that the log dropped counted as a metric.
func registerDropped(r prometheus.Registerer, dropped func() uint64) {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "cicadawood_log_dropped_total", Help: "Lines of the log that were not written.",
	}, func() float64 { return float64(dropped()) }))
}
