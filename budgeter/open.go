package budgeter

import (
	"slices"
	"time"
)

// Repeat identifies a repeat that was granted; 0 is none.
type Repeat uint64

// openRepeat is a repeat of which it is not known yet that it has arrived. The bound is on arrivals:
// a worker that stalls reads what it was sent when it runs again.
type openRepeat struct {
	service   string
	own       float64 // taken from this process's part
	loans     []Loan  // parts that other hosts lent
	grantedAt time.Time
	workers   []string  // that may still read a send of its request; empty while it is on its way
	since     time.Time // when it became known that those did not answer
}

// Settled is a repeat that was settled as the last of its silent workers answered a request.
type Settled struct {
	Service string
	After   time.Duration // since it was granted
}

// Arrived applies that a repeat has arrived by now. It returns how long after the grant that is; 0 if
// the repeat was settled before.
func (b *Budget) Arrived(now time.Time, r Repeat) time.Duration {
	x := b.open[r]
	if x == nil {
		return 0
	}
	delete(b.open, r)
	a := b.account(x.service)
	a.ledger.Settle(now, x.own, b.policy)
	for _, l := range x.loans {
		a.giveBack(Loan{Peer: l.Peer, Sequence: l.Sequence, Arrived: l.Amount})
	}
	return now.Sub(x.grantedAt)
}

// NotSent applies that a repeat was not sent.
func (b *Budget) NotSent(r Repeat) {
	x := b.open[r]
	if x == nil {
		return
	}
	delete(b.open, r)
	a := b.account(x.service)
	a.ledger.Cancel(x.own)
	a.counts.Unsent++
	for _, l := range x.loans {
		a.giveBack(l)
	}
}

// Unanswered applies that some workers have not answered their sends of a repeat's request, so that it may
// still arrive. It reports whether that is new.
func (b *Budget) Unanswered(now time.Time, r Repeat, workers []string) bool {
	x := b.open[r]
	if x == nil {
		return false
	}
	first := len(x.workers) == 0
	x.workers = slices.Clone(workers)
	if first {
		x.since = now
	}
	return first
}

// WorkerAnswered applies that a worker has answered some request: it has read what was sent to it before.
func (b *Budget) WorkerAnswered(now time.Time, worker string) []Settled {
	var out []Settled
	for r, x := range b.open {
		i := slices.Index(x.workers, worker)
		if i < 0 {
			continue
		}
		x.workers = slices.Delete(x.workers, i, i+1)
		if len(x.workers) == 0 {
			out = append(out, Settled{Service: x.service, After: b.Arrived(now, r)})
		}
	}
	return out
}

// settleOld settles the repeats whose workers have not answered anything for a span.
func (b *Budget) settleOld(now time.Time) {
	for r, x := range b.open {
		if len(x.workers) > 0 && now.Sub(x.since) > b.policy.Span {
			b.Arrived(now, r)
		}
	}
}
