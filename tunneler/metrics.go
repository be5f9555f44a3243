package tunneler

import (
	"cmp"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadawood/cicadawood/reacher"
)

// Metrics holds the metrics of a Dialer. Labels are only reasons and states, so the number
// of series does not grow with hosts or workers.
type Metrics struct {
	openedTotal *prometheus.CounterVec
	servedTotal *prometheus.CounterVec
	changes     *prometheus.CounterVec
	bytesTotal  prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		openedTotal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadawood_tunnels_opened_total", Help: "Tunnels that this host asked other hosts for, by result.",
		}, []string{"result"}),
		servedTotal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadawood_tunnels_served_total", Help: "Tunnels that other hosts asked this one for, by result.",
		}, []string{"result"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadawood_reach_changes_total", Help: "Workers that this host lost its links to while other hosts reached them, and that returned.",
		}, []string{"state"}),
		bytesTotal: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cicadawood_tunnel_bytes_total", Help: "Bytes that this host passed on for other hosts, in both directions.",
		}),
	}
	r.MustRegister(m.openedTotal, m.servedTotal, m.changes, m.bytesTotal)
	return m
}

// resultLabel is the label of a tunnel that was opened, or why it was not.
func resultLabel(r reacher.Reason) string { return cmp.Or(string(r), "opened") }

func (m *Metrics) opened(r reacher.Reason) { m.openedTotal.WithLabelValues(resultLabel(r)).Inc() }

func (m *Metrics) served(r reacher.Reason) { m.servedTotal.WithLabelValues(resultLabel(r)).Inc() }

func (m *Metrics) bytes(n int64) { m.bytesTotal.Add(float64(n)) }

func (m *Metrics) change(c reacher.Change) {
	state := "lost"
	if c == reacher.Returned {
		state = "returned"
	}
	m.changes.WithLabelValues(state).Inc()
}

// State is a host's reach and the tunnels through it, for operators.
type State struct {
	Lost    int   `json:"lost"`    // workers that only other hosts reach
	Blocked int   `json:"blocked"` // workers that no host connects to
	Serving int64 `json:"serving"` // tunnels of other hosts through this one
}

// State returns the state now.
func (d *Dialer) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	lost, blocked := d.table.LostWorkers(time.Now())
	return State{Lost: lost, Blocked: blocked, Serving: d.serving.Load()}
}
