package runner

import "github.com/prometheus/client_golang/prometheus"

// register adds the follower's metrics to the host's.
func (g *configFollower) register(r *prometheus.Registry) {
	gauge := func(name, help string, value func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "cicadawood", Subsystem: "configuration", Name: name, Help: help}, value))
	}
	gauge("generation", "Generation in force; 0 for none.", func() float64 { return float64(g.Status().Generation) })
	gauge("newer", "Generation that a peer told of and that is not in force; 0 for none.", func() float64 { return float64(g.Status().Newer) })
	gauge("rejected", "Generation that can't be used; 0 for none.", func() float64 { return float64(g.Status().Rejected) })
	gauge("bytes", "Size of the packed configuration in force.", func() float64 { return float64(g.Status().Size) })
}
