package runner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/quarantiner"
	"github.com/cicadawood/cicadawood/server"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// quarantineEvery is the time between sweeps of a host that speaks the product's own
	// dialect.
	quarantineEvery = time.Second
	// restartLeast is how long a plain service that ended takes at least to answer again.
	restartLeast = 500 * time.Millisecond
)

// keepQuarantine has the host count which calls end workers.
func (c *control) keepQuarantine(s sender, store storer.Store, r prometheus.Registerer) {
	c.quarantine = newQuarantining(c.self, s, store, &quarantiner.Tracker{MinRestartTime: restartLeast}, c.log)
	c.quarantine.store.tell = func(e quarantineStored) { c.post(e) }
	c.quarantine.register(r)
	c.quarantine.due = time.Now()
}

// use takes how a request of this host ended at a worker, and has the owner of the role
// know, which counts for all hosts.
func (q *quarantining) use(now time.Time, worker string, u server.Usage) {
	if q == nil || u.Took == 0 {
		return
	}
	m := messenger.WorkerReport{Fingerprint: uint64(u.Fingerprint), Worker: worker, Took: u.Took}
	answered := u.FirstByte > 0 && !u.Failed
	switch {
	case u.ClosedByPeer:
		m.Event = messenger.WorkerCrashed
	case answered && q.book.Suspected(u.Fingerprint):
		m.Event, m.Took = messenger.WorkerAnswered, u.Took-u.FirstByte
	case answered && q.book.Alive(now, worker, now.Add(u.FirstByte-u.Took)):
		m.Event, m.Took = messenger.WorkerAlive, u.Took-u.FirstByte
	default:
		return
	}
	q.mark(now, m)
	if owner, ok := q.roster.Owner(quarantineRole); ok && owner.Name != q.self {
		// A mark that is lost costs one worker more.
		if err := q.sender.Send(owner.Control, m); err != nil {
			q.log.Warn("mark", zap.String("peer", owner.Name), zap.Error(err))
		}
	}
}

// mark counts what this host or another saw.
func (q *quarantining) mark(now time.Time, m messenger.WorkerReport) {
	if q == nil {
		return
	}
	f := quarantiner.Fingerprint(m.Fingerprint)
	switch m.Event {
	case messenger.WorkerCrashed:
		q.book.WorkerCrashed(now, f, m.Worker, now.Add(-m.Took))
	case messenger.WorkerAnswered:
		q.book.Answered(f)
	case messenger.WorkerAlive:
		q.book.Alive(now, m.Worker, now.Add(-m.Took))
	}
	q.notice(now)
	q.recount(now)
}

// tick sweeps when it is time to.
func (q *quarantining) tick(now time.Time) {
	if q == nil || now.Before(q.due) {
		return
	}
	q.due = now.Add(quarantineEvery)
	q.sweep(now)
}
