package dispatcher

import "time"

// Chooser picks the cell of a request, for an entry. It knows of each cell only
// what the cell's last answers said. The zero value works.
type Chooser struct{ waits map[cellClass]reported }

type cellClass struct{ cell, class string }

// reported is a wait that a dispatcher reported.
type reported struct {
	wait time.Duration
	at   time.Time
}

// RecordWait takes the wait that a Grant or a Refuse reported.
func (c *Chooser) RecordWait(now time.Time, cell, class string, wait time.Duration) {
	if c.waits == nil {
		c.waits = map[cellClass]reported{}
	}
	c.waits[cellClass{cell, class}] = reported{wait: wait, at: now}
}

// Retain forgets all cells but these.
func (c *Chooser) Retain(known func(cell string) bool) {
	for k := range c.waits {
		if !known(k.cell) {
			delete(c.waits, k)
		}
	}
}

// Choose picks one of two random cells, the one with the shorter wait. random
// is any 64 random bits. cells must not be empty.
func (c *Chooser) Choose(now time.Time, cells []string, class string, random uint64) string {
	n := uint64(len(cells))
	a := cells[random%n]
	if n == 1 {
		return a
	}
	b := cells[(random%n+1+(random>>32)%(n-1))%n]
	if c.wait(now, b, class) < c.wait(now, a, class) {
		return b
	}
	return a
}

// wait is what is left of a reported wait: a queue that nobody heard of since
// has drained meanwhile, and must be tried again.
func (c *Chooser) wait(now time.Time, cell, class string) time.Duration {
	r := c.waits[cellClass{cell, class}]
	return max(r.wait-now.Sub(r.at), 0)
}
