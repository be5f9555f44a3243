package registrar

import (
	"context"
	"errors"
	"time"

	"github.com/cicadawood/cicadawood/storer"
)

// unreachable reports whether a read failed without an answer about the object. One that can't be
// decoded has a version, and whoever it belongs to replaces it.
func unreachable(err error) bool {
	return err != nil && !errors.Is(err, storer.ErrNotFound) && !errors.Is(err, storer.ErrUnreadable)
}

// leaseExpired observes a host's lease for one lease duration by the local clock, and
// reports whether it was not renewed. It returns false while the store can't be read: an
// outage must not make hosts look dead. A missing lease counts as one that was not renewed
// yet, not as expired: a host that joined during an outage writes its lease only when the
// store is available again, and would be declared dead by a host that looks just before.
func (c *recorder) leaseExpired(ctx context.Context, name string) bool {
	var version storer.Version
	var since time.Time
	for ctx.Err() == nil {
		o, err := c.store.Get(ctx, LeasePrefix+name) // the version is 0 if there is no lease
		switch {
		case unreachable(err):
			return false
		case since.IsZero():
			version, since = o.Version, time.Now()
		case o.Version != version:
			return false
		case time.Since(since) >= c.leaseDuration:
			return true
		}
		sleep(ctx, c.leaseDuration/4)
	}
	return false
}
