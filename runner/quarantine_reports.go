package runner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/quarantiner"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/server"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// quarantineSweepInterval is the interval between sweeps of a host that serves the
	// product's own dialect.
	quarantineSweepInterval = time.Second
	// minRestartTime is the minimum time that a plain service needs to answer again after it
	// crashed.
	minRestartTime = 500 * time.Millisecond
)

// startQuarantine makes the host track which calls crash workers.
func (c *control) startQuarantine(s sender, store storer.Store, r prometheus.Registerer) {
	c.quarantine = newQuarantineSync(c.self, s, store, &quarantiner.Tracker{MinRestartTime: minRestartTime}, c.log)
	c.quarantine.report = func(e quarantineStored) { c.post(e) }
	c.quarantine.register(r)
	c.quarantine.sweepDue = time.Now()
}

// reportUsage records how a request of this host ended at a worker that did not crash, and
// reports it to the owner of the role, which counts for all hosts.
func (q *quarantineSync) reportUsage(now time.Time, worker string, u server.Usage) {
	if q == nil || u.Took == 0 || u.ClosedByPeer {
		return // a crash was reported as it was noticed
	}
	m := messenger.WorkerReport{Fingerprint: uint64(u.Fingerprint), Worker: worker, Took: u.Took}
	succeeded := u.FirstByte > 0 && !u.Failed
	switch {
	case succeeded && q.tracker.Suspected(u.Fingerprint):
		m.Event, m.Took = messenger.WorkerAnswered, u.Took-u.FirstByte
	case succeeded && q.tracker.Alive(now, worker, now.Add(u.FirstByte-u.Took)):
		m.Event, m.Took = messenger.WorkerAlive, u.Took-u.FirstByte
	default:
		return
	}
	q.recordReport(now, m)
	if owner, ok := q.otherOwner(); ok {
		q.sendReport(owner, m)
	}
}

// otherOwner returns the owner of the role if that is another host.
func (q *quarantineSync) otherOwner() (registrar.Record, bool) {
	owner, ok := q.roster.Owner(quarantineRole)
	return owner, ok && owner.Name != q.self
}

// sendReport sends a report to the owner of the role. If it is lost, the request can crash one
// more worker.
func (q *quarantineSync) sendReport(owner registrar.Record, m messenger.Message) {
	if err := q.sender.Send(owner.Control, m); err != nil {
		q.log.Warn("mark", zap.String("peer", owner.Name), zap.Error(err))
	}
}

// recordReport counts a report of this host or of another.
func (q *quarantineSync) recordReport(now time.Time, m messenger.WorkerReport) {
	if q == nil {
		return
	}
	f := quarantiner.Fingerprint(m.Fingerprint)
	switch m.Event {
	case messenger.WorkerCrashed:
		q.tracker.WorkerCrashed(now, f, m.Worker, now.Add(-m.Took))
	case messenger.WorkerAnswered:
		q.tracker.Answered(f)
	case messenger.WorkerAlive:
		q.tracker.Alive(now, m.Worker, now.Add(-m.Took))
	}
	q.announceNew(now)
	q.publish(now)
}

// tick runs a sweep when one is due.
func (q *quarantineSync) tick(now time.Time) {
	if q == nil || now.Before(q.sweepDue) {
		return
	}
	q.sweepDue = now.Add(quarantineSweepInterval)
	q.sweep(now)
}
