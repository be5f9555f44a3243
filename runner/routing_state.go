package runner

import (
	"context"
	"time"

	"github.com/cicadawood/cicadawood/attributor"
	"github.com/cicadawood/cicadawood/budgeter"
	"github.com/cicadawood/cicadawood/observer"
	"github.com/cicadawood/cicadawood/placer"
)

// maxListedSuspects bounds the suspects in a RoutingState.
const maxListedSuspects = 16

// RoutingState is the state of host routes, for operators. Ages are relative to the time of
// the query.
type RoutingState struct {
	ListAge       time.Duration        `json:"listed"`   // age of the last update of the workers' entries; -1ns before the first
	Era           uint64               `json:"era"`      // of the store, in that update
	Revision      uint64               `json:"revision"` // in that era
	WatchesStore  bool                 `json:"calls"`    // the host watches the store itself
	WatchesForAll bool                 `json:"for_all"`  // and notifies the other hosts
	Decides       bool                 `json:"decides"`  // it picks workers by its own view, not by another host's
	Workers       []placer.WorkerState `json:"workers"`

	Repeats    []budgeter.State       `json:"repeats,omitempty"`  // retry budgets, as this host knows them
	Leaving    []observer.Process     `json:"leaving"`            // workers that reported in an answer that they are leaving
	Quarantine []QuarantinedRequest   `json:"quarantine"`         // requests in quarantine
	Suspects   []attributor.Suspicion `json:"suspects,omitempty"` // parts of prompts that may crash workers, most suspected first
	Origins    int                    `json:"origins"`            // streams of which it is known which worker began them
}

// routingStateRequested asks for the state of host routes.
type routingStateRequested struct{ reply chan<- RoutingState }

// routingState returns the current state; the zero value where the host is stopping.
func (p *selector) routingState() RoutingState {
	return askSelector(context.Background(), p, func(reply chan<- RoutingState) event { return routingStateRequested{reply: reply} })
}

// buildRoutingState collects the state of host routes.
func (p *selector) buildRoutingState(now time.Time) RoutingState {
	after, _, _ := p.relay.Next(now)
	b := RoutingState{
		ListAge: -1, Era: after.Era(), Revision: after.Revision(), WatchesStore: p.watchesStore.Load(), WatchesForAll: p.relay.Watching(), Decides: p.deciderSet.decides(p.self), Workers: p.view.WorkerStates(now),
	}
	b.Repeats = p.repeats.budget.States(now)
	b.Leaving = p.directory.Leaving()
	b.Quarantine = p.quarantine.state(now)
	b.Suspects = p.view.Suspects().Suspicions(maxListedSuspects)
	b.Origins = p.origins.resumer.Len()
	if !p.updatedAt.IsZero() {
		b.ListAge = now.Sub(p.updatedAt)
	}
	return b
}

func (routingStateRequested) event() {}
