package runner

import "time"

// onceTickInterval is the time between ticks while at-most-once calls are in progress.
const onceTickInterval = 20 * time.Millisecond

// tickSoon schedules a tick within onceTickInterval, after an event.
func (k *onceManager) tickSoon(now time.Time) {
	if k != nil && now.Add(onceTickInterval).Before(k.nextTick) {
		k.nextTick = now.Add(onceTickInterval)
	}
}

// scheduleTick sets the time of the next tick: within onceTickInterval where a call is in
// progress, a record is not in the store, a refusal waits for the head or the store is
// down, otherwise when logs are next checked. An idle keeper has no work that depends on
// ticks.
func (k *onceManager) scheduleTick(now time.Time) {
	k.nextTick = now.Add(loadCheckInterval)
	if len(k.calls) > 0 {
		k.tickSoon(now)
	}
	for _, p := range k.keepers {
		s := p.keeper.Summary()
		if len(p.payloads) > 0 || s.Operations > 0 || s.Pending > 0 || s.Unconfirmed > 0 || s.Down {
			k.tickSoon(now)
		}
	}
}
