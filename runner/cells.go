package runner

import (
	"time"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/messenger"
)

// dispatch hands a message to this host's dispatcher of a cell. A host that is
// asked dispatches, also where its roster names another: two dispatchers may
// overfill a worker for a moment, but break no promise.
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
	c.awaits(d)
	c.emit(now, out)
}

// own starts this host's dispatcher of a cell.
func (c *control) own(now time.Time, cell dispatcher.Cell) {
	// The clock makes the epoch grow from one dispatcher of a cell to the next;
	// where clocks differ, the entries' asks raise it.
	epoch := uint64(now.UnixMilli())
	c.dispatchers[cell.Name] = dispatcher.New(c.filled(now, cell), epoch, c.folder.Classes, dispatcher.Options{Seed: c.epoch ^ epoch})
	c.dispatchers[cell.Name].Tick(now) // gathering begins
}

// ownAll starts this host's dispatchers of the cells that are its own by the
// roster: before the first request comes, so that it need not wait for claims.
func (c *control) ownAll(now time.Time) {
	for name, cell := range c.cells {
		if owner, ok := c.roster.Owner(name); ok && owner.Name == c.self && c.dispatchers[name] == nil {
			c.own(now, cell)
		}
	}
}

// emit sends what a dispatcher decided.
func (c *control) emit(now time.Time, out []dispatcher.Output) {
	for _, o := range out {
		c.send(now, o.To, o.Message)
	}
}
