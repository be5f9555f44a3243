package runner

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/publisher"
	"github.com/cicadawood/cicadawood/registrar"
)

// askedAtOnce is how many hosts a fresh host asks for the configuration.
const askedAtOnce = 3

// following joins the follower to the host's frames, roster and readiness.
type following struct {
	*publisher.Follower
	settings loader.Host
	log      *zap.Logger

	mu      sync.Mutex
	sender  sender // nil until the messenger is there
	roster  registrar.Roster
	leaving bool
	notify  func(bool) // towards the balancer
}

// actions is what the follower does to this host.
func (g *following) actions(enforce func(*loader.Folder, uint64)) publisher.Actions {
	return publisher.Actions{Enforce: enforce, Ask: g.ask, Ready: g.setReady}
}

// enroll takes a new roster: where a fresh host finds hosts to ask.
func (g *following) enroll(r registrar.Roster) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster = r
}

// connect gives the way to other hosts.
func (g *following) connect(s sender) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sender = s
}

// send drops what comes before connect: it is asked for again.
func (g *following) send(address string, m messenger.Message) {
	g.mu.Lock()
	s := g.sender
	g.mu.Unlock()
	if s == nil {
		return
	}
	if err := s.Send(address, m); err != nil {
		g.log.Warn("send configuration", zap.String("to", address), zap.Error(err))
	}
}

// take looks at a frame before the control goroutine does, and says whether that
// was all: configurations travel beside the control state, so that one of a
// megabyte does not hold up grants.
func (g *following) take(e messenger.Envelope, m messenger.Message) bool {
	g.Confirmed(e.From, e.Generation, time.Now())
	switch m := m.(type) {
	case messenger.Fetch:
		g.answer(m)
	case messenger.Fetched:
		g.Received(e.From, m.Packed)
	default:
		return false
	}
	return true
}

// answer sends the configuration in force to a host that asked.
func (g *following) answer(f messenger.Fetch) {
	h := g.Head()
	var c messenger.Fetched
	if h.Generation > f.Have {
		c.Packed = h.Packed()
	}
	g.send(f.Reply, c)
}

// ask asks a peer, or a few for "", for a configuration newer than have.
func (g *following) ask(peer string, have uint64) {
	m := messenger.Fetch{Have: have, Reply: g.settings.Control}
	for _, address := range g.addresses(peer) {
		g.send(address, m)
	}
}

// addresses is where a peer listens; for "", or for one that left the roster,
// some of the roster's hosts and of the peers in the settings.
func (g *following) addresses(peer string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h, ok := g.roster.Find(peer); ok {
		return []string{h.Control}
	}
	var found []string
	for _, h := range g.roster.Hosts() {
		if h.Name != g.settings.Name && len(found) < askedAtOnce {
			found = append(found, h.Control)
		}
	}
	return append(found, g.settings.Peers[:min(askedAtOnce, len(g.settings.Peers))]...)
}

// setReady tells the balancer, but for a host that is leaving: it stays unready.
func (g *following) setReady(ready bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(ready && !g.leaving)
}

// leave turns the host unready for good.
func (g *following) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.notify(false)
}

func (g *following) isLeaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}
