package runner

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/publisher"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/storer"
)

// peersAsked is how many hosts a fresh host asks for the configuration.
const peersAsked = 3

// following joins the follower to the host's frames, roster and readiness.
type following struct {
	*publisher.Follower
	settings loader.Host
	log      *zap.Logger

	sender sender
	// calls says whether this host is to watch the store, as no other does so for it;
	// nil is always.
	calls func() bool

	mu     sync.Mutex
	roster registrar.Roster
}

// newFollowing returns the follower of a host; ready tells the balancer, and
// enforce the control goroutine.
func newFollowing(s loader.Host, store storer.Store, m sender, log *zap.Logger, ready func(bool), enforce func(*loader.Folder, uint64)) *following {
	g := &following{settings: s, log: log, sender: m}
	timing := publisher.Timing{ConfirmTimeout: s.Limits.ConfirmTimeout.Std()}
	if s.Dialect == loader.DialectPlatform {
		timing.PollInterval, timing.AlwaysCurrent = operatorPoll, true
	}
	g.Follower = publisher.NewFollower(store, timing, log, publisher.Actions{Enforce: enforce, RequestHead: g.ask, SetReady: ready})
	if s.Dialect == loader.DialectPlatform {
		g.SetSource(operatorSource(func() bool { return g.calls == nil || g.calls() }))
	}
	return g
}

// enroll takes a new roster: where a fresh host finds hosts to ask.
func (g *following) enroll(r registrar.Roster) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster = r
}

func (g *following) send(address string, m messenger.Message) {
	if err := g.sender.Send(address, m); err != nil {
		g.log.Warn("send configuration", zap.String("to", address), zap.Error(err))
	}
}

// take looks at a frame before the control goroutine does, and says whether that
// was all: configurations travel beside the control state, so that one of a
// megabyte does not hold up grants.
func (g *following) take(e messenger.Envelope, m messenger.Message) bool {
	g.ReceiveGeneration(e.From, e.Generation, time.Now())
	switch m := m.(type) {
	case messenger.ConfigRequest:
		g.answer(m)
	case messenger.ConfigReply:
		g.ReceiveHead(e.From, m.Packed)
	default:
		return false
	}
	return true
}

// answer sends the configuration in force to a host that asked.
func (g *following) answer(f messenger.ConfigRequest) {
	h := g.Head()
	var c messenger.ConfigReply
	if h.Generation > f.Have {
		c.Packed = h.Packed()
	}
	g.send(f.Reply, c)
}

// ask asks a peer, or a few for "", for a configuration newer than have.
func (g *following) ask(peer string, have uint64) {
	m := messenger.ConfigRequest{Have: have, Reply: g.settings.Control}
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
	hosts := g.roster.Hosts()
	for _, i := range rand.Perm(len(hosts)) { // the same few each time may know nothing either
		if h := hosts[i]; h.Name != g.settings.Name && len(found) < peersAsked {
			found = append(found, h.Control)
		}
	}
	return append(found, g.settings.Peers[:min(peersAsked, len(g.settings.Peers))]...)
}
