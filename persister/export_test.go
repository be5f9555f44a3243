package persister

import (
	"context"
	"time"

	"github.com/cicadawood/cicadawood/quarantiner"
)

// SweepAndCall performs the call that is due, and returns what was read and the errors; false where
// none was due.
func (q *Quarantine) SweepAndCall(now time.Time, owns bool, entries []quarantiner.Entry) (read []quarantiner.Entry, malformed, err error, due bool) {
	q.Sweep(now, owns, entries)
	select {
	case t := <-q.tasks:
		done := q.call(context.Background(), t)
		return q.Done(now, done), done.malformed, done.err, true
	default:
		return nil, nil, nil, false
	}
}
