package runner

import (
	"context"
	"time"

	"github.com/cicadawood/cicadawood/placer"
)

// RoutingState is what a host that serves host routes believes, for operators. Ages are of
// the time of the query.
type RoutingState struct {
	ListAge       time.Duration        `json:"listed"`   // age of the last word of the workers' entries; -1ns where none came
	Era           uint64               `json:"era"`      // of the store that it brought
	Revision      uint64               `json:"revision"` // in that era
	WatchesStore  bool                 `json:"calls"`    // the host watches the store itself
	WatchesForAll bool                 `json:"for_all"`  // and for the others
	Decides       bool                 `json:"decides"`  // it picks workers by its own view, not by another's
	BudgetHosts   int                  `json:"sharing"`  // hosts that the budget of repeats is shared between
	Workers       []placer.WorkerState `json:"workers"`

	Quarantine []Quarantined `json:"quarantine"` // requests that are held back
}

// beliefsAsked asks for what the host believes.
type beliefsAsked struct{ reply chan<- RoutingState }

// beliefs is what the host believes now; the zero Beliefs where it is ending.
func (p *choosing) beliefs() RoutingState {
	return askChoosing(context.Background(), p, func(reply chan<- RoutingState) event { return beliefsAsked{reply: reply} })
}

// believe is the answer to beliefs.
func (p *choosing) believe(now time.Time) RoutingState {
	after, _, _ := p.relay.Next(now)
	b := RoutingState{
		ListAge: -1, Era: after.Era(), Revision: after.Revision(), WatchesStore: p.calls.Load(), WatchesForAll: p.relay.Watching(), Decides: p.deciding.decides(p.self), BudgetHosts: p.hosts, Workers: p.view.WorkerStates(now),
	}
	b.Quarantine = p.quarantine.state(now)
	if !p.listed.IsZero() {
		b.ListAge = now.Sub(p.listed)
	}
	return b
}

func (beliefsAsked) event() {}
