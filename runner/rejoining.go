package runner

import (
	"time"

	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/registrar"
)

// rejoin finds out that this host was declared dead and is back. Failure: it was
// frozen; the others took back what its calls held. Its cells went with the
// roster that it was not on; its calls are registered anew here, also where the
// owner is the same as before. Its keepers' logs may have been sealed.
func (c *control) rejoin(now time.Time, r registrar.Roster) {
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
	c.keeping.rejoined(now)
}

// rejoined has every keeper forget its log before it says another word.
func (k *keeping) rejoined(now time.Time) {
	if k == nil {
		return
	}
	for _, p := range k.keepers {
		k.handle(now, p, keeper.Rejoined{})
	}
}
