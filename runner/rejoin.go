package runner

import (
	"time"

	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/registrar"
)

// detectRejoin handles that this host was declared dead, for example while it was frozen,
// and has rejoined. The others have reclaimed the places of its calls. Its dispatchers ended
// with the roster that it was not on; its calls are registered again here, even if the owner
// is unchanged. Its keepers' logs may have been sealed.
func (c *control) detectRejoin(now time.Time, r registrar.Roster) {
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
	c.once.handleRejoin(now)
}

// handleRejoin has every keeper discard its log before it sends anything else.
func (k *onceManager) handleRejoin(now time.Time) {
	if k == nil {
		return
	}
	for _, p := range k.keepers {
		k.handle(now, p, keeper.Rejoined{})
	}
}
