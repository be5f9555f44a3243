package runner

import "time"

// nextTick returns when the next tick is due. The control goroutine sleeps until then: at
// fifty checks a second, a host would spend most of its control's processor time on
// finding nothing to do.
func (c *control) nextTick() time.Time {
	next := earlier(c.due, c.limiting.nextCheck)
	if len(c.calls) > 0 {
		next = earlier(next, c.again)
	}
	if c.quarantine != nil {
		next = earlier(next, c.quarantine.sweepDue)
	}
	if c.keeping != nil {
		next = earlier(next, c.keeping.due)
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
		c.due = earlier(c.due, at)
	}
}

// scheduled is something that has a time when it is next due.
type scheduled interface{ Next() (time.Time, bool) }

// tickDispatchers runs the dispatchers that are due.
func (c *control) tickDispatchers(now time.Time) {
	if c.due.IsZero() || now.Before(c.due) {
		return
	}
	c.due = time.Time{}
	for _, d := range c.owned {
		if at, ok := d.Next(); ok && !now.Before(at) {
			out := d.Tick(now)
			c.emit(now, out)
		}
		c.schedule(d)
	}
}
