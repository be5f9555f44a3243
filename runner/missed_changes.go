package runner

import (
	"time"

	"go.uber.org/zap"
)

// maxUnseen is the time for which changes of the workers may be missed: hosts follow within it when
// the store drops its history, and it is too short for a worker that joins, serves and leaves.
const maxUnseen = 2500 * time.Millisecond

// applyMissed applies what is known of the time between the known list and a new full one.
func (p *selector) applyMissed(now time.Time, e storeResult) {
	if e.missed.known {
		d := p.decodeWorkers(e.missed.objects)
		p.origins.served(now, append(d.replaced, d.changed...))
		return
	}
	p.noteUnseen(now, e.sentAt)
}

// noteUnseen records that changes may have been missed before a full list of a time, if the known
// list is much older.
func (p *selector) noteUnseen(now, listedAt time.Time) {
	if age := listedAt.Sub(p.updatedAt); !p.updatedAt.IsZero() && age > maxUnseen {
		p.log.Warn("changes of workers were missed", zap.Duration("age", age))
		p.origins.resumer.Missed(now)
	}
}

// noteAnswer records that the store answered at a time, by which an outage is measured: not by what
// may have waited while this host stood still.
func (p *selector) noteAnswer(now, at time.Time) {
	if !p.doubtsList(now) {
		p.directory.Answered(at)
	}
}
