package runner

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/quarantiner"
)

// crashConfirmTimeout is how long a request waits until the crash of its worker is counted.
const crashConfirmTimeout = 100 * time.Millisecond

// workerCrashed is a worker that closed the connection before it had answered a call.
type workerCrashed struct {
	worker      string
	fingerprint quarantiner.Fingerprint
	sentAt      time.Time // of the call
	counted     chan<- struct{}
}

// unconfirmedCrash is a crash that was reported to the owner of the role, which has not
// confirmed it.
type unconfirmedCrash struct {
	reportedAt time.Time
	counted    chan<- struct{}
}

// reportCrash reports that a worker crashed with a call, and waits until the report is
// counted. Otherwise the next try of the call, or the next call of its caller through another
// host, would be sent before a quarantine is known.
func (c *control) reportCrash(worker string, f quarantiner.Fingerprint, sentAt time.Time) {
	counted := make(chan struct{})
	if !c.post(workerCrashed{worker: worker, fingerprint: f, sentAt: sentAt, counted: counted}) {
		return
	}
	timeout := time.NewTimer(crashConfirmTimeout)
	defer timeout.Stop()
	select {
	case <-counted:
	case <-c.ended:
	case <-timeout.C:
		c.log.Warn("crash report not confirmed", zap.String("worker", worker), zap.Stringer("fingerprint", f))
	}
}

// handleCrash counts a crash, and reports it to the owner of the role if that is another host.
func (q *quarantineSync) handleCrash(now time.Time, e workerCrashed) {
	if q == nil {
		close(e.counted)
		return
	}
	m := messenger.WorkerReport{Event: messenger.WorkerCrashed, Fingerprint: uint64(e.fingerprint), Worker: e.worker, Took: now.Sub(e.sentAt)}
	q.recordReport(now, m)
	owner, ok := q.otherOwner()
	if !ok {
		close(e.counted)
		return
	}
	id := rand.Uint64()
	if q.unconfirmed == nil {
		q.unconfirmed = map[uint64]unconfirmedCrash{}
	}
	q.unconfirmed[id] = unconfirmedCrash{reportedAt: now, counted: e.counted}
	q.sendReport(owner, m)
	q.sendReport(owner, messenger.ReportsFlush{ID: id})
}

// handleFlushed handles the owner's confirmation of a crash.
func (q *quarantineSync) handleFlushed(m messenger.ReportsFlushed) {
	if q == nil {
		return
	}
	if x, ok := q.unconfirmed[m.ID]; ok {
		delete(q.unconfirmed, m.ID)
		close(x.counted)
	}
}

// sweepUnconfirmed forgets crashes for whose confirmation no request waits any longer.
func (q *quarantineSync) sweepUnconfirmed(now time.Time) {
	for id, x := range q.unconfirmed {
		if now.Sub(x.reportedAt) > crashConfirmTimeout {
			delete(q.unconfirmed, id)
		}
	}
}

func (workerCrashed) event() {}
