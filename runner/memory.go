package runner

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadawood/cicadawood/reserver"
)

// registerMemory registers the metrics of the memory that others make this process take.
func registerMemory(m *reserver.Memory, r prometheus.Registerer) {
	gauge := func(name, help string, value func() int64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(value()) })
	}
	taken := func() int64 { now, _ := m.Taken(); return now }
	most := func() int64 { _, most := m.Taken(); return most }
	r.MustRegister(
		gauge("cicadawood_memory_reserved_bytes", "Memory reserved for what others send.", taken),
		gauge("cicadawood_memory_reserved_most_bytes", "The most that ever was reserved.", most),
		gauge("cicadawood_memory_limit_bytes", "Memory that may be reserved.", m.Limit),
	)
	for u := range reserver.Uses() {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cicadawood_memory_refused_total", Help: "Reservations that got no memory, by use.", ConstLabels: prometheus.Labels{"use": u.String()},
		}, func() float64 { return float64(m.Refused(u)) }))
	}
}
