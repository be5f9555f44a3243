package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/storer"
)

// confirmInterval is the minimum time between two calls of the store by which a host confirms its
// list of workers: a call then answers for all streams that are taken up meanwhile.
const confirmInterval = 25 * time.Millisecond

// listConfirmation has the store confirm the list of workers when streams are taken up of which
// nobody knows the beginning. What other hosts say of the list, and answers to earlier calls, may
// be of before that.
type listConfirmation struct {
	read    func(after storer.Version) (storeResult, error)
	reading bool
}

// Events of listConfirmation.
type (
	// listReadRequested is posted when the list may be confirmed again.
	listReadRequested struct{}
	// listRead is the result of a call that confirms the list.
	listRead struct {
		result storeResult
		sentAt time.Time
		err    error
	}
)

// confirmList has the store confirm the list, if a stream that is taken up waits for it.
func (p *selector) confirmList() {
	c := &p.confirmation
	if c.reading || c.read == nil || !p.origins.resumer.NeedsList() {
		return
	}
	c.reading = true
	sentAt, after := time.Now(), p.relay.Version()
	go func() {
		r, err := c.read(after)
		p.post(listRead{result: r, sentAt: sentAt, err: err})
	}()
}

// listWasRead applies the result of a call that confirms the list.
func (p *selector) listWasRead(now time.Time, e listRead) {
	if e.err == nil {
		p.handleStoreResult(now, e.result)
	} else {
		p.log.Info("list of workers not confirmed", zap.Duration("after", now.Sub(e.sentAt)), zap.Error(e.err))
		p.origins.resumer.ListFailed(now, e.sentAt)
	}
	time.AfterFunc(confirmInterval, func() { p.post(listReadRequested{}) })
}

func (listReadRequested) event() {}
func (listRead) event()          {}
