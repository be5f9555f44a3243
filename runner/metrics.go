package runner

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/storer"
)

// countStoreCalls wraps the platform's store to count its calls.
func countStoreCalls(s storer.Store, r prometheus.Registerer) storer.Store {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadawood_store_calls_total", Help: "Calls of the platform's store that ended, by call, kind of object and result.",
	}, []string{"call", "kind", "result"})
	r.MustRegister(calls)
	return storer.Metered{Store: s, Count: func(call, kind, result string) { calls.WithLabelValues(call, kind, result).Inc() }}
}

// countConnects registers a metric of attempts to connect to backend servers, and returns
// the function that counts one.
func countConnects(r prometheus.Registerer) func(connector.ConnectResult) {
	connects := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadawood_worker_connects_total", Help: "Attempts of this host to connect to backend servers, by result.",
	}, []string{"result"})
	r.MustRegister(connects)
	return func(result connector.ConnectResult) { connects.WithLabelValues(string(result)).Inc() }
}

// registerMetrics registers the metrics of membership and of the connections
// between hosts. None has a label that grows with hosts or organisations.
func (h *Host) registerMetrics(r *prometheus.Registry) {
	r.MustRegister(dispatchMetrics{state: h.State})
	membership := func(name, help string, value func(registrar.Counts) float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(h.registrar.Counts()) }))
	}
	membership("cicadawood_hosts_alive", "Hosts on this host's roster.", func(c registrar.Counts) float64 { return float64(c.Alive) })
	membership("cicadawood_hosts_parted", "Hosts that live but can't be reached from here.", func(c registrar.Counts) float64 { return float64(c.Unreachable) })
	membership("cicadawood_host_suspicions", "Suspicions begun by this host.", func(c registrar.Counts) float64 { return float64(c.Suspicions) })
	membership("cicadawood_host_deaths", "Deaths concluded by this host.", func(c registrar.Counts) float64 { return float64(c.Deaths) })
	membership("cicadawood_host_rejoins", "Times that this host was declared dead and came back.", func(c registrar.Counts) float64 { return float64(c.Rejoins) })
	membership("cicadawood_host_odd_records", "Records of hosts in the store that can't be used, each version once.", func(c registrar.Counts) float64 { return float64(c.Odd) })
	connection := func(name, help string, value func(messenger.Counts) uint64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value(h.messenger.Counts())) }))
	}
	connection("cicadawood_messenger_sent_bytes_total", "Bytes sent to other hosts.", func(c messenger.Counts) uint64 { return c.Sent })
	connection("cicadawood_messenger_received_bytes_total", "Bytes received from other hosts.", func(c messenger.Counts) uint64 { return c.Received })
	connection("cicadawood_messenger_resent_total", "Frames written again on a new connection.", func(c messenger.Counts) uint64 { return c.Resent })
	connection("cicadawood_messenger_replaced_total", "Connections between hosts replaced because they went silent.", func(c messenger.Counts) uint64 { return c.Replaced })
	connection("cicadawood_messenger_dropped_total", "Messages given up: queue full, or peer out of reach too long.", func(c messenger.Counts) uint64 { return c.Dropped })
	connection("cicadawood_messenger_unaccepted_total", "Failures to accept a connection of another host.", func(c messenger.Counts) uint64 { return c.Unaccepted })
	connection("cicadawood_messenger_unknown_total", "Frames of kinds that only later versions know.", func(c messenger.Counts) uint64 { return c.Unknown })
	connection("cicadawood_messenger_duplicates_total", "Frames that had come before.", func(c messenger.Counts) uint64 { return c.Duplicates })
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cicadawood_workers_leaving", Help: "Backend servers that get nothing new because they are leaving."}, func() float64 { return float64(h.poller.leavingCount()) }))
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cicadawood_host_list_skipped", Help: "Elements of the last host list that can't be used."}, func() float64 { return float64(h.poller.skippedCount()) }))
}
