package runner

import "github.com/cicadawood/cicadawood/registrar"

// rejoin finds out that this host was declared dead and is back. Failure: it was
// frozen; the others took back what its calls held. Its cells went with the
// roster that it was not on; its calls are registered anew here, also where the
// owner is the same as before.
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
	for _, k := range c.calls {
		k.owner = ""
	}
}
