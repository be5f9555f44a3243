package runner

import "time"

// next is when the next tick is due: nothing is looked after before something
// hangs on it, as a host that looks fifty times a second whether there is
// anything to do spends most of its control's processor time on that.
func (c *control) next() time.Time {
	next := earlier(c.nextDispatcherTick, c.limiting.next)
	if len(c.calls) > 0 {
		next = earlier(next, c.nextCallCheck)
	}
	if c.quarantine != nil {
		next = earlier(next, c.quarantine.due)
	}
	if c.once != nil {
		next = earlier(next, c.once.nextTick)
	}
	return next
}

// earlier is the first of two times, of which a zero one is never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// awaits notes when a dispatcher is due.
func (c *control) awaits(d due) {
	if at, ok := d.Next(); ok {
		c.nextDispatcherTick = earlier(c.nextDispatcherTick, at)
	}
}

// due is what says when it is next due.
type due interface{ Next() (time.Time, bool) }

// tickDispatchers lets time pass for the dispatchers that are due.
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
		c.awaits(d)
	}
}
