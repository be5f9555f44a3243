package dispatcher

import "time"

// Chooser picks the cell of a request on its entry host. Of each cell it knows
// only the expected wait that the cell's last answers reported. The zero value
// is ready to use.
type Chooser struct{ waits map[cellClass]reportedWait }

type cellClass struct{ cell, class string }

// reportedWait is an expected wait that a dispatcher reported.
type reportedWait struct {
	wait time.Duration
	at   time.Time
}

// RecordWait records the expected wait that a Grant or a Refuse reported.
func (c *Chooser) RecordWait(now time.Time, cell, class string, wait time.Duration) {
	if c.waits == nil {
		c.waits = map[cellClass]reportedWait{}
	}
	c.waits[cellClass{cell, class}] = reportedWait{wait: wait, at: now}
}

// Retain drops the cells for which known returns false.
func (c *Chooser) Retain(known func(cell string) bool) {
	for k := range c.waits {
		if !known(k.cell) {
			delete(c.waits, k)
		}
	}
}

// Choose picks two random cells and returns the one with the shorter expected
// wait. random holds 64 random bits; cells must not be empty.
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

// wait returns the rest of a reported wait. It shrinks with time: a queue
// without newer reports drains meanwhile, and its cell must be tried again.
func (c *Chooser) wait(now time.Time, cell, class string) time.Duration {
	r := c.waits[cellClass{cell, class}]
	return max(r.wait-now.Sub(r.at), 0)
}
