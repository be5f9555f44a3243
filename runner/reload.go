package runner

import (
	"context"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/loader"
)

// memoryLimitRatio is the part of a process's memory at which the runtime collects garbage
// more aggressively. The rest is for memory outside the heap, such as the kernel's buffers
// of connections.
const memoryLimitRatio = 0.6

// setMemoryLimit sets the runtime's memory limit from the memory that the process may use.
func setMemoryLimit(l loader.Limits) {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(l.MemoryMB<<20)))
	}
}

// settingsChanged has new settings of this host.
type settingsChanged struct{ settings loader.Host }

func (settingsChanged) event() {}

// applyReloads applies new settings until ctx ends. A nil channel delivers none.
func (h *Host) applyReloads(ctx context.Context, reload <-chan loader.Host) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-reload:
			setMemoryLimit(s.Limits)
			if h.routes != nil {
				h.routes.selector.post(settingsChanged{settings: s})
			}
			h.log.Info("settings in force", zap.Int("memory", s.Limits.MemoryMB), zap.Float64("ratio", s.Repeat.Ratio), zap.Float64("slack", s.Repeat.Slack))
		}
	}
}

// registerDroppedLines registers the metric of log lines that were not written.
func registerDroppedLines(r prometheus.Registerer, dropped func() uint64) {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "cicadawood_log_dropped_total", Help: "Lines of the log that were not written.",
	}, func() float64 { return float64(dropped()) }))
}
