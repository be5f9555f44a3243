package runner

import "time"

// nextTick returns when the next tick is due. The control goroutine sleeps until then: at
// fifty checks a second, a host would spend most of its control's processor time on
// finding nothing to do.
func (c *control) nextTick() time.Time {
	next := earlier(c.nextDispatcherTick, c.limits.nextCheck)
	if len(c.calls) > 0 {
		next = earlier(next, c.nextCallCheck)
	}
	if c.quarantine != nil {
		next = earlier(next, c.quarantine.sweepDue)
	}
	if c.once != nil {
		next = earlier(next, c.once.nextTick)
	}
	return next
}

// earlier returns the first of two times. Zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// schedule makes sure that the next tick is not after the time when d is due.
func (c *control) schedule(d scheduled) {
	if at, ok := d.Next(); ok {
		c.nextDispatcherTick = earlier(c.nextDispatcherTick, at)
	}
}

// scheduled is something that has a time when it is next due.
type scheduled interface{ Next() (time.Time, bool) }

// tickDispatchers runs the dispatchers that are due.
func (c *control) tickDispatchers(now time.Time) {
	if c.nextDispatcherTick.IsZero() || now.Before(c.nextDispatcherTick) {
		return
	}
	c.nextDispatcherTick = time.Time{}
	for _, d := range c.dispatchers {
		if at, ok := d.Next(); ok && !now.Before(at) {
			out := d.Tick(now)
			c.emit(now, out)
		}
		c.schedule(d)
	}
}
