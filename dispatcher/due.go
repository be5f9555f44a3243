package dispatcher

import "time"

const (
	// TickInterval is the longest time between two ticks while requests wait.
	TickInterval = 20 * time.Millisecond
	// reclaimEvery is the same while none waits, but places are in use: there is
	// only their leases to look after, of seconds, and a request that comes in
	// between looks after them itself.
	reclaimEvery = 250 * time.Millisecond
)

// Next is when the next Tick is due; ok is false while none is: nothing waits
// and no place is in use. A message may bring it forward.
func (d *Dispatcher) Next() (at time.Time, ok bool) {
	switch {
	case len(d.waiting) > 0:
		return d.updated.Add(TickInterval), true
	case len(d.grants) > 0:
		return d.updated.Add(reclaimEvery), true
	default:
		return time.Time{}, false
	}
}

// catchUp brings what follows time up to now before a message is handled.
// Failure: the dispatcher was left alone while nothing was due; a message would
// be judged by means, weights and leases from before the pause, and the means
// would then take the message's own place for what was in use all the time.
func (d *Dispatcher) catchUp(now time.Time) {
	if now.Sub(d.updated) >= TickInterval {
		d.average(now)
		d.weigh()
		d.rest(now)
		d.reclaim(now)
	}
}

// rest notes that no request of the top tier waits that may still be in time.
func (d *Dispatcher) rest(now time.Time) {
	if inTime, _ := d.topWaiting(); inTime == 0 {
		d.calm = now
	}
}
