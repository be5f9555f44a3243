package runner

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/resumer"
	"github.com/cicadawood/cicadawood/storer"
)

// confirmInterval is the minimum time between two calls of the store by which a host confirms its
// list of workers: a call then answers for all streams that are taken up meanwhile.
const confirmInterval = 25 * time.Millisecond

// throttledInterval is the same after a call that the store refused as too many: a few calls within
// the time that streams wait for the list.
const throttledInterval = 100 * time.Millisecond

// minCertaintyInterval is the minimum time between two such calls for those who wait to know which
// start of a worker runs, and certaintyPerHost that time for each host of the fleet, if it is
// longer: each host may make them all the time, and all share the store's rate of calls.
const (
	minCertaintyInterval = 200 * time.Millisecond
	certaintyPerHost     = 2 * time.Millisecond
)

// certaintyInterval returns the minimum time between two calls in a fleet of so many hosts.
func certaintyInterval(hosts int) time.Duration {
	return max(minCertaintyInterval, time.Duration(hosts)*certaintyPerHost)
}

// failureExpiry is how long a call that got no answer shows that the store does not answer.
const failureExpiry = 2 * time.Second

// listConfirmation has the store confirm the list of workers when streams are taken up of which
// nobody knows the beginning, and when it matters which start of a worker runs. What other hosts
// say of the list, and answers to earlier calls, may be of before that.
type listConfirmation struct {
	read     func(after storer.Version) (storeResult, error)
	reading  bool
	expected bool      // a listDue is on its way
	sentAt   time.Time // of the last call
	at       time.Time // the list has all changes until then, by the store's answers to this host
	failedAt time.Time // when a call of this host last got no answer; zero since an answer

	throttled bool // that call was refused as too many: the store is up
}

// answered records an answer of the store to a call that was sent at a time.
func (c *listConfirmation) answered(sentAt time.Time) {
	c.failedAt = time.Time{}
	if sentAt.After(c.at) {
		c.at = sentAt
	}
}

// failed records a call that failed.
func (c *listConfirmation) failed(now time.Time, throttled bool) {
	c.failedAt, c.throttled = now, throttled
}

// failing reports whether this host gets no list from the store.
func (c *listConfirmation) failing(now time.Time) bool {
	return !c.failedAt.IsZero() && now.Sub(c.failedAt) < failureExpiry
}

// silent reports whether the store does not answer this host at all.
func (c *listConfirmation) silent(now time.Time) bool { return c.failing(now) && !c.throttled }

// knownUntil returns the time up to which the list has all changes. While the store does not answer
// this host, that is what other hosts passed on until receivedAt, which may be as old as a
// watcher's last answer.
func (c *listConfirmation) knownUntil(now, receivedAt time.Time) time.Time {
	relayed := receivedAt.Add(-relayer.MaxAnswerAge)
	if !c.failing(now) || relayed.Before(c.at) {
		return c.at
	}
	return relayed
}

// Events of listConfirmation.
type (
	// listReadRequested is posted when the list may be confirmed again, and listDue when it is to
	// be for those who wait for it.
	listReadRequested struct{}
	listDue           struct{}
	// listRead is the result of a call that confirms the list.
	listRead struct {
		result storeResult
		sentAt time.Time
		err    error
	}
)

// confirmList has the store confirm the list, if somebody waits for it.
func (p *selector) confirmList(now time.Time) {
	c := &p.confirmation
	if c.reading || c.read == nil || len(p.origins.held) == 0 && !p.origins.resumer.NeedsList() && !p.waitsForList(now) {
		return
	}
	sentAt, after := time.Now(), p.relay.Version()
	c.reading, c.sentAt = true, sentAt
	go func() {
		r, err := c.read(after)
		p.post(listRead{result: r, sentAt: sentAt, err: err})
	}()
}

// listWasRead applies the result of a call that confirms the list.
func (p *selector) listWasRead(now time.Time, e listRead) {
	next := confirmInterval
	if e.err == nil {
		p.handleStoreResult(now, e.result)
	} else {
		p.log.Info("list of workers not confirmed", zap.Duration("after", now.Sub(e.sentAt)), zap.Error(e.err))
		if p.listNotRead(now, e) {
			next = throttledInterval
		}
		p.retryWaiting(now)
	}
	time.AfterFunc(next, func() { p.post(listReadRequested{}) })
}

// listNotRead applies that a call to confirm the list failed. It reports whether the store refused it
// as too many.
func (p *selector) listNotRead(now time.Time, e listRead) (throttled bool) {
	throttled = errors.Is(e.err, storer.ErrThrottled)
	p.listCallFailed(now, e.sentAt, throttled)
	if throttled {
		p.origins.resumer.ListThrottled(now, e.sentAt)
	} else {
		p.origins.resumer.ListFailed(now, e.sentAt)
	}
	return throttled
}

// waitsForList reports whether a list that is read now can show which start of a worker answers
// over a connection, or that the known list is current.
func (p *selector) waitsForList(now time.Time) bool {
	c := &p.confirmation
	if now.Sub(c.sentAt) < certaintyInterval(p.roster.Len()) {
		return false
	}
	if p.doubtsList(now) {
		return true
	}
	if len(p.waiting.requests) > 0 && p.awaitsList(now) {
		return true
	}
	return p.directory.Settled(now) && p.waiting.any(func(due time.Time) bool {
		return !now.Before(due) && p.waiting.listedAt.Before(due)
	})
}

// confirmFor has the list confirmed as soon as that can show which start of a worker runs whose entry
// is due then.
func (p *selector) confirmFor(now, due time.Time) {
	c := &p.confirmation
	if c.expected {
		return
	}
	c.expected = true
	wait := max(due.Sub(now), c.sentAt.Add(certaintyInterval(p.roster.Len())).Sub(now))
	time.AfterFunc(wait, func() { p.post(listDue{}) })
}

// listIsDue has the list confirmed for those who wait for it.
func (p *selector) listIsDue(now time.Time) {
	p.confirmation.expected = false
	p.confirmList(now)
}

// servesOne reports whether a single software served in a service. An old list does not show that,
// as the host may be cut off, unless the store can't be asked; one of before a standstill shows
// nothing.
func (p *selector) servesOne(now time.Time, service string) bool {
	if !p.origins.resumer.One(service) {
		return false
	}
	if p.doubtsList(now) {
		return false
	}
	fresh := now.Sub(p.updatedAt) <= resumer.MaxListAge()
	return fresh || p.confirmation.silent(now) || !p.directory.Settled(now)
}

func (listReadRequested) event() {}
func (listDue) event()           {}
func (listRead) event()          {}
