package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/limiter"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/observer"
	"github.com/cicadawood/cicadawood/publisher"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/tunneler"
)

// State is a host's complete control state, for operators.
type State struct {
	Name       string             `json:"name"`
	Zone       string             `json:"zone"`
	Ready      bool               `json:"ready"`
	Leaving    bool               `json:"leaving"`
	Generation uint64             `json:"generation"`
	Inflight   int64              `json:"inflight"`
	Roles      []string           `json:"roles"`
	Roster     []registrar.Record `json:"roster"`
	Cells      []dispatcher.State `json:"cells"`
	Calls      map[string]string  `json:"calls"` // worker by request, "" while it waits
	Membership registrar.Counts   `json:"membership"`
	Reach      tunneler.State     `json:"reach"` // workers that this host reaches, and tunnels through it

	Messenger messenger.Counts `json:"messenger"`
	Workers   []observer.State `json:"workers"`

	Configuration publisher.Status `json:"configuration"`

	Routing *RoutingState `json:"beliefs,omitempty"` // of a host that serves host routes

	Limits map[string]limiter.Rates `json:"limits"` // rates per second that limited organisations may use at this host

	Keepers map[int]keeper.Summary `json:"keepers"` // by partition

	Quarantine []QuarantinedRequest `json:"quarantine,omitempty"` // calls in quarantine, on a host of the product's own dialect
}

func (c *control) state() State {
	s := State{Name: c.self, Generation: c.generation, Roles: []string{"entry"}, Roster: c.roster.Hosts(), Cells: []dispatcher.State{}, Calls: map[string]string{}, Workers: c.observer.States(time.Now())}
	for _, name := range slices.Sorted(maps.Keys(c.dispatchers)) {
		s.Cells = append(s.Cells, c.dispatchers[name].State())
		s.Roles = append(s.Roles, "dispatcher:"+name)
	}
	s.Limits = c.limits.gates.Rates(time.Now())
	for id, k := range c.calls {
		s.Calls[id] = k.worker
	}
	s.Keepers = c.once.state()
	s.Quarantine = c.quarantine.state(time.Now())
	return s
}
