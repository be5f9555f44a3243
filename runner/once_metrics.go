package runner

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadawood/cicadawood/keeper"
)

// onceMetrics are the metrics of the keeper role. Their number does not grow with
// partitions, organisations or hosts.
type onceMetrics struct {
	verdicts   *prometheus.CounterVec
	calls      *prometheus.CounterVec
	written    prometheus.Counter
	partitions prometheus.Gauge
	operations prometheus.Gauge
	records    prometheus.Gauge
	down       prometheus.Gauge
}

func newOnceMetrics(r prometheus.Registerer) *onceMetrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	}
	m := &onceMetrics{
		verdicts:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadawood_once_verdicts_total", Help: "What keepers said of calls that must not be repeated."}, []string{"verdict"}),
		calls:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadawood_once_store_calls_total", Help: "Calls of the Object API by keepers."}, []string{"call"}),
		written:    prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadawood_once_store_bytes_total", Help: "Bytes of heads written."}),
		partitions: gauge("cicadawood_once_partitions", "Partitions kept by this host."),
		operations: gauge("cicadawood_once_operations", "Operations in flight at this host's keepers."),
		records:    gauge("cicadawood_once_records", "Records in memory."),
		down:       gauge("cicadawood_once_down", "Partitions whose keeper can't reach the Object API."),
	}
	r.MustRegister(m.verdicts, m.calls, m.written, m.partitions, m.operations, m.records, m.down)
	return m
}

func (m *onceMetrics) countVerdict(k keeper.Kind) { m.verdicts.WithLabelValues(k.String()).Inc() }

func (m *onceMetrics) countBytes(n int) { m.written.Add(float64(n)) }

func (m *onceMetrics) countCall(o keeper.Output) {
	name := ""
	switch o.(type) {
	case keeper.WriteHead:
		name = "write_head"
	case keeper.ReadHead:
		name = "read_head"
	case keeper.WriteSegment:
		name = "write_segment"
	case keeper.ReadSegment:
		name = "read_segment"
	case keeper.DropSegment:
		name = "drop_segment"
	}
	m.calls.WithLabelValues(name).Inc()
}

func (m *onceMetrics) setGauges(keepers map[int]*partitionKeeper) {
	ready, operations, records, down := 0, 0, 0, 0
	for _, p := range keepers {
		s := p.keeper.Summary()
		operations, records = operations+s.Operations, records+s.Records
		if s.Ready {
			ready++
		}
		if s.Down {
			down++
		}
	}
	m.partitions.Set(float64(ready))
	m.operations.Set(float64(operations))
	m.records.Set(float64(records))
	m.down.Set(float64(down))
}
