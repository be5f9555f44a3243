package runner

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadawood/cicadawood/dispatcher"
)

// dispatchMetrics collects the metrics of this host's dispatchers from the state dump when
// they are scraped: nothing is counted twice, and a host that is not scraped has no cost.
// The labels are classes, never cells or organisations. The counts restart at zero when a
// cell moves to another host, like the counters of a restarted process.
type dispatchMetrics struct {
	state func() State
}

var (
	waitingDesc = prometheus.NewDesc("cicadawood_dispatch_waiting", "Requests that wait for a place in this host's cells.", []string{"class"}, nil)
	heldDesc    = prometheus.NewDesc("cicadawood_dispatch_held", "Places in use in this host's cells.", []string{"class"}, nil)
	ejectedDesc = prometheus.NewDesc("cicadawood_dispatch_workers_out", "Workers that the breaker keeps out of this host's cells.", nil, nil)
	grantedDesc = prometheus.NewDesc("cicadawood_dispatch_granted_total", "Places granted.", []string{"class"}, nil)
	refusedDesc = prometheus.NewDesc("cicadawood_dispatch_refused_total", "Requests refused.", []string{"class"}, nil)
	preemptDesc = prometheus.NewDesc("cicadawood_dispatch_preempted_total", "Places taken back for a more urgent class.", []string{"class"}, nil)
	reclaimDesc = prometheus.NewDesc("cicadawood_dispatch_reclaimed_total", "Places taken back without a Done.", []string{"class"}, nil)
)

// Describe implements prometheus.Collector.
func (d dispatchMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{waitingDesc, heldDesc, ejectedDesc, grantedDesc, refusedDesc, preemptDesc, reclaimDesc} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (d dispatchMetrics) Collect(out chan<- prometheus.Metric) {
	cells := d.state().Cells
	ejected := 0
	for _, c := range cells {
		ejected += len(c.Out)
	}
	out <- prometheus.MustNewConstMetric(ejectedDesc, prometheus.GaugeValue, float64(ejected))
	for class, c := range byClass(cells) {
		gauge := func(desc *prometheus.Desc, v int) {
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(v), class)
		}
		counter := func(desc *prometheus.Desc, v uint64) {
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(v), class)
		}
		gauge(waitingDesc, c.Waiting)
		gauge(heldDesc, c.Held)
		counter(grantedDesc, c.Granted)
		counter(refusedDesc, c.Refused)
		counter(preemptDesc, c.Preempted)
		counter(reclaimDesc, c.Reclaimed)
	}
}

// byClass sums the states of all cells by class.
func byClass(cells []dispatcher.State) map[string]dispatcher.ClassState {
	out := map[string]dispatcher.ClassState{}
	for _, cell := range cells {
		for _, c := range cell.Classes {
			sum := out[c.Name]
			sum.Waiting += c.Waiting
			sum.Held += c.Held
			sum.Granted += c.Granted
			sum.Refused += c.Refused
			sum.Preempted += c.Preempted
			sum.Reclaimed += c.Reclaimed
			out[c.Name] = sum
		}
	}
	return out
}
