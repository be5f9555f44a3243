package runner

import (
	"context"
	"time"

	"github.com/cicadawood/cicadawood/placer"
)

// Beliefs is what a host that serves host routes believes, for operators. Ages are of
// the moment that it was asked.
type Beliefs struct {
	Listed   time.Duration        `json:"listed"`   // age of the last word of the workers' entries; -1ns where none came
	Era      uint64               `json:"era"`      // of the store that it brought
	Revision uint64               `json:"revision"` // in that era
	Calls    bool                 `json:"calls"`    // the host watches the store itself
	ForAll   bool                 `json:"for_all"`  // and for the others
	Decides  bool                 `json:"decides"`  // it picks workers by its own view, not by another's
	Sharing  int                  `json:"sharing"`  // hosts that the budget of repeats is shared between
	Workers  []placer.WorkerState `json:"workers"`

	Quarantine []QuarantinedRequest `json:"quarantine"` // requests that are held back
}

// beliefsAsked asks for what the host believes.
type beliefsAsked struct{ reply chan<- Beliefs }

// beliefs is what the host believes now; the zero Beliefs where it is ending.
func (p *selector) beliefs() Beliefs {
	return askSelector(context.Background(), p, func(reply chan<- Beliefs) event { return beliefsAsked{reply: reply} })
}

// believe is the answer to beliefs.
func (p *selector) believe(now time.Time) Beliefs {
	after, _, _ := p.relay.Next(now)
	b := Beliefs{
		Listed: -1, Era: after.Era(), Revision: after.Revision(), Calls: p.watchesStore.Load(), ForAll: p.relay.Watching(), Decides: p.deciderSet.decides(p.self), Sharing: p.maxHosts, Workers: p.view.WorkerStates(now),
	}
	b.Quarantine = p.quarantine.state(now)
	if !p.updatedAt.IsZero() {
		b.Listed = now.Sub(p.updatedAt)
	}
	return b
}

func (beliefsAsked) event() {}
