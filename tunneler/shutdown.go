package tunneler

import (
	"context"
	"time"
)

const idleCheckInterval = 10 * time.Millisecond

// Stop makes the host decline new tunnels of other hosts.
func (d *Dialer) Stop() { d.stopping.Store(true) }

// WaitIdle waits until no host has a tunnel through this one, or until ctx ends. It returns
// the number of tunnels that are left.
func (d *Dialer) WaitIdle(ctx context.Context) int64 {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for d.serving.Load() > 0 {
		select {
		case <-ctx.Done():
			return d.serving.Load()
		case <-ticker.C:
		}
	}
	return 0
}
