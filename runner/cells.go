package runner

import (
	"time"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/messenger"
)

// dispatch passes a message to this host's dispatcher of a cell, and starts it if need be.
// A host that is asked dispatches even if its roster names another owner: two dispatchers
// may briefly overfill a worker but break no guarantee.
func (c *control) dispatch(now time.Time, cell, from string, m messenger.Message) {
	if c.dispatchers[cell] == nil {
		known, ok := c.cells[cell]
		if !ok {
			return
		}
		c.own(now, known)
	}
	d := c.dispatchers[cell]
	out := d.Handle(now, from, m)
	c.schedule(d)
	c.emit(now, out)
}

// own starts this host's dispatcher of a cell.
func (c *control) own(now time.Time, cell dispatcher.Cell) {
	// The clock makes epochs grow from one dispatcher of a cell to the next; where clocks
	// differ, the epochs in the entries' asks raise it.
	epoch := uint64(now.UnixMilli())
	c.dispatchers[cell.Name] = dispatcher.New(c.availableCell(now, cell), epoch, c.folder.Classes, dispatcher.Options{Seed: c.epoch ^ epoch})
	c.dispatchers[cell.Name].Tick(now) // starts gathering claims
}

// ownAll starts this host's dispatchers of the cells that it owns by the roster. They
// start before the first request arrives, so that it need not wait for claims.
func (c *control) ownAll(now time.Time) {
	for name, cell := range c.cells {
		if owner, ok := c.roster.Owner(name); ok && owner.Name == c.self && c.dispatchers[name] == nil {
			c.own(now, cell)
		}
	}
}

// emit sends a dispatcher's output.
func (c *control) emit(now time.Time, out []dispatcher.Output) {
	for _, o := range out {
		c.send(now, o.To, o.Message)
	}
}
