package runner

import "github.com/cicadawood/cicadawood/registrar"

// rejoin finds out that this host was declared dead and is back. Failure: it was
// frozen; the others took back what its calls held, and other dispatchers took
// its cells. So its own dispatchers' state is worth nothing, its epoch must
// grow, and its calls are registered anew.
func (c *control) rejoin(r registrar.Roster) {
	self, ok := r.Find(c.self)
	if !ok || self.Incarnation == c.incarnation {
		return
	}
	first := c.incarnation == 0
	c.incarnation = self.Incarnation
	if first {
		return
	}
	c.epoch = self.Incarnation
	clear(c.owned)
	for _, k := range c.calls {
		k.owner = ""
	}
}
