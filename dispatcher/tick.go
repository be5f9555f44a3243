package dispatcher

import "time"

const (
	// TickInterval is the maximum time between two ticks while requests wait.
	TickInterval = 20 * time.Millisecond
	// reclaimInterval is the same while no request waits but places are in use.
	// Only the leases need checking then; they last for seconds, and a request
	// that arrives between two ticks has them checked as well.
	reclaimInterval = 250 * time.Millisecond
)

// Next returns when the next Tick is due. ok is false if none is: no request
// waits and no place is in use. Handling a message may bring the time forward.
func (d *Dispatcher) Next() (at time.Time, ok bool) {
	switch {
	case len(d.waiting) > 0:
		return d.averagedAt.Add(TickInterval), true
	case len(d.grants) > 0:
		return d.averagedAt.Add(reclaimInterval), true
	default:
		return time.Time{}, false
	}
}

// catchUp applies the time that has passed since the last tick before a message
// is handled. No ticks occur while none is due; without catchUp the message
// would be handled with means, weights and leases from before the pause, and
// the means would then count the message's own place as in use during all of
// it.
func (d *Dispatcher) catchUp(now time.Time) {
	if now.Sub(d.averagedAt) >= TickInterval {
		d.updateMeans(now)
		d.updateWeights()
		d.updateTopClear(now)
		d.reclaim(now)
	}
}

// updateTopClear notes the time if no request of the top tier waits that can
// still meet its target.
func (d *Dispatcher) updateTopClear(now time.Time) {
	if inTime, _ := d.topWaiting(); inTime == 0 {
		d.topClearAt = now
	}
}
