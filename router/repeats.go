package router

import (
	"errors"
	"slices"

	"github.com/cicadawood/cicadawood/budgeter"
	"github.com/cicadawood/cicadawood/connector"
)

// repeats tracks the repeats that a request was granted until they have arrived. Workers may read
// the sends of a request in any order, and the first one that is read is no repeat.
type repeats struct {
	open       []budgeter.Repeat
	arrived    int      // sends that are known to have arrived
	unanswered []string // workers of the sends that may still arrive
	current    bool     // the current send is counted
}

// begin begins a send, for which a repeat may have been granted.
func (r *repeats) begin(granted budgeter.Repeat) {
	r.current = false
	if granted != 0 {
		r.open = append(r.open, granted)
	}
}

// arrive counts the current send as arrived, and returns the repeats that are known to have arrived.
func (r *repeats) arrive() []budgeter.Repeat {
	if r.current {
		return nil
	}
	r.current = true
	r.arrived++
	return r.settle()
}

// lose counts the current send as one that its worker may still read.
func (r *repeats) lose(worker string) []budgeter.Repeat {
	if r.current {
		return nil
	}
	r.current = true
	r.unanswered = append(r.unanswered, worker)
	return r.settle()
}

// cancel drops the repeat of a send that did not leave this host.
func (r *repeats) cancel(granted budgeter.Repeat) []budgeter.Repeat {
	if granted == 0 {
		return nil
	}
	r.open = r.open[:len(r.open)-1]
	return []budgeter.Repeat{granted}
}

// settle removes the repeats that have arrived. Of the sends that may still arrive each is a repeat,
// but for the first if none has arrived yet.
func (r *repeats) settle() []budgeter.Repeat {
	open := len(r.unanswered)
	if r.arrived == 0 {
		open--
	}
	n := max(len(r.open)-max(open, 0), 0)
	settled := r.open[:n:n]
	r.open = r.open[n:]
	return settled
}

// repeatArrived reports that a worker has received the current send.
func (t *transaction) repeatArrived() {
	t.reportRepeats(RepeatsEnded{Arrived: t.repeats.arrive()})
}

// endRepeat reports what is known of a send that failed.
func (t *transaction) endRepeat(p Placement, err error) {
	switch {
	case errors.Is(err, connector.ErrNotSent):
		t.cancelRepeat(p)
	case err == nil, errors.Is(err, connector.ErrClosedByPeer):
		t.repeatArrived()
	default:
		t.reportRepeats(RepeatsEnded{Arrived: t.repeats.lose(p.Worker.Name)})
	}
}

// cancelRepeat reports that a placement was not sent.
func (t *transaction) cancelRepeat(p Placement) {
	t.reportRepeats(RepeatsEnded{NotSent: t.repeats.cancel(p.Repeat)})
}

// reportRepeats reports what became of the request's repeats, if that is not known to the budget.
func (t *transaction) reportRepeats(e RepeatsEnded) {
	e.Request = t.q.ID
	if len(t.repeats.unanswered) > 0 {
		e.Unanswered, e.Workers = slices.Clone(t.repeats.open), slices.Clone(t.repeats.unanswered)
	}
	if len(e.Arrived)+len(e.NotSent)+len(e.Unanswered) > 0 {
		t.router.Placer.RepeatsEnded(e)
	}
}
