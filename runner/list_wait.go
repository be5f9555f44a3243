package runner

import (
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/resumer"
	"github.com/cicadawood/cicadawood/router"
)

// maxHold is how long a stream waits for the list of workers to show whether those of its
// version have started again: less than callers wait for the next event.
const maxHold = 1700 * time.Millisecond

// maxReplacedHold is how long the end of an answer waits for the list of workers to show whether its
// worker has started again: a slow answer of the store.
const maxReplacedHold = 400 * time.Millisecond

// entryDue returns when the list has the start of a worker that answers over a connection which was
// made at openedAt.
func entryDue(w resumer.Worker, openedAt time.Time) time.Time {
	return openedAt.Add(w.EntryDelay())
}

// maxGoneAge is the age of a list by which a stream may be refused for good as its version is gone.
const maxGoneAge = time.Second

// maxWaitingBeginnings bounds the streams whose beginning waits for the list.
const maxWaitingBeginnings = 4096

// waitingForList is what waits for the list of workers to show which start of a worker runs.
type waitingForList struct {
	requests    []workerRequested
	certainties []certaintyRequested
	beginnings  []streamBegan // recorded without a version until then
	replaced    []replacedRequested
	listedAt    time.Time // the list is known to have the workers that ran then
}

// any reports whether a condition holds for when the entry of something that waits is due.
func (w *waitingForList) any(condition func(due time.Time) bool) bool {
	return slices.ContainsFunc(w.certainties, func(e certaintyRequested) bool { return condition(entryDue(e.worker, e.openedAt)) }) ||
		slices.ContainsFunc(w.replaced, func(e replacedRequested) bool { return !e.due.IsZero() && condition(e.due) }) ||
		slices.ContainsFunc(w.beginnings, func(e streamBegan) bool { return condition(entryDue(e.worker, e.openedAt)) })
}

// answerOrHold answers a request for a worker, unless it is worth to wait for the list.
func (p *selector) answerOrHold(now time.Time, e workerRequested, r workerReply) {
	if p.clearsUp(now, e, r) {
		if e.heldSince.IsZero() {
			e.heldSince = now
		}
		if now.Sub(e.heldSince) < maxHold {
			p.waiting.requests = append(p.waiting.requests, e)
			p.confirmFor(now, e.heldSince)
			return
		}
	}
	p.answer(e, r)
}

// clearsUp reports whether a request was refused for something that the list will show.
func (p *selector) clearsUp(now time.Time, e workerRequested, r workerReply) bool {
	if r.refused == nil {
		return false
	}
	switch r.refused.Reason {
	case placer.ReasonUnconfirmed:
		return true
	case placer.ReasonVersionGone:
		return p.awaitsList(now)
	case placer.ReasonUncertain:
		return slices.ContainsFunc(p.waiting.beginnings, func(b streamBegan) bool { return slices.Contains(b.keys, e.request.Stream) })
	}
	return false
}

// awaitsList reports whether the list is too old to show that a version is gone, and the store can
// be asked.
func (p *selector) awaitsList(now time.Time) bool {
	return now.Sub(p.confirmation.at) > maxGoneAge && !p.confirmation.silent(now)
}

// retryWaiting handles again what waits for the list.
func (p *selector) retryWaiting(now time.Time) {
	w := p.waiting
	p.waiting = waitingForList{listedAt: w.listedAt}
	for _, e := range w.beginnings {
		p.streamBegan(now, e)
	}
	for _, e := range w.certainties {
		p.checkCertainty(now, e)
	}
	for _, e := range w.replaced {
		p.checkReplaced(now, e)
	}
	for _, e := range w.requests {
		p.placeCharged(now, e)
	}
}

// streamBegan records the first event of a stream. While it is not certain that the worker is
// the listed start of it, the record has no version, so that the stream goes on nowhere.
func (p *selector) streamBegan(now time.Time, e streamBegan) {
	certain, decided := p.isCertain(now, e.worker, e.openedAt)
	if certain || p.servesOne(now, e.worker.Service) {
		p.origins.began(now, e)
		return
	}
	if w, ok := p.origins.resumer.Carried(e.keys[0]); !ok || w != e.worker.Uncertain() {
		p.origins.beganUncertain(now, e)
	}
	if !decided && len(p.waiting.beginnings) < maxWaitingBeginnings {
		p.waiting.beginnings = append(p.waiting.beginnings, e)
		p.confirmFor(now, entryDue(e.worker, e.openedAt))
	}
}

// checkCertainty answers whether it is a worker that answers over a connection, when it is
// decided or has waited for long enough.
func (p *selector) checkCertainty(now time.Time, e certaintyRequested) {
	certain, decided := p.isCertain(now, e.worker, e.openedAt)
	if decided || now.After(e.until) {
		e.reply <- certain
		return
	}
	p.waiting.certainties = append(p.waiting.certainties, e)
	p.confirmFor(now, entryDue(e.worker, e.openedAt))
}

// newReplacedRequested asks for a worker. Where each start has a name of its own, a worker answers for no
// other start.
func newReplacedRequested(now time.Time, w resumer.Worker, by router.Confirmation, reply chan<- bool) replacedRequested {
	e := replacedRequested{worker: w, begun: by.FromStart, until: now.Add(maxReplacedHold), reply: reply}
	if w.Incarnation != "" && !by.Since.IsZero() {
		e.due = entryDue(w, by.Since)
		e.until = e.until.Add(max(0, e.due.Sub(now)))
	}
	return e
}

// checkReplaced answers whether a worker is listed with another start. A host that stood still does not
// answer by its list of before, while the store can be asked.
func (p *selector) checkReplaced(now time.Time, e replacedRequested) {
	listed, ok := p.view.Worker(e.worker.Name)
	replaced := ok && listed.Software() != e.worker
	early := p.waiting.listedAt.Before(e.due)
	if !replaced && (early || p.doubtsList(now)) && !p.confirmation.silent(now) && !now.After(e.until.Add(p.callDelay())) {
		p.waiting.replaced = append(p.waiting.replaced, e)
		if early {
			p.confirmFor(now, e.due)
		}
		p.confirmList(now)
		return
	}
	e.reply <- replaced || early && !e.begun
}

// callDelay returns by how much later than in a small fleet the list may be confirmed.
func (p *selector) callDelay() time.Duration {
	return certaintyInterval(p.roster.Len()) - minCertaintyInterval
}

// isCertain reports whether it is a listed start of a worker that answers over a connection that
// was made at openedAt: the list was current afterwards, also if other connections to the
// worker had just broken, and has that start, or none as it is leaving. decided is false while the list was not. Where one version served and
// workers don't start again under their names it makes no difference.
func (p *selector) isCertain(now time.Time, w resumer.Worker, openedAt time.Time) (certain, decided bool) {
	if w.Incarnation == "" && p.servesOne(now, w.Service) {
		return true, true
	}
	listed, ok := p.view.Worker(w.Name)
	switch {
	case ok && listed.Software() != w:
		return false, true
	case p.waiting.listedAt.Before(entryDue(w, openedAt)), ok && !p.view.ConfirmedSince(w.Name, openedAt):
		return false, false
	}
	return true, true
}
