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

// maxPeersAsked bounds the hosts of the roster, and the peers in the settings, that a new
// host asks for the configuration.
const maxPeersAsked = 3

// configFollower connects the configuration's follower to the host's frames, roster and
// readiness.
type configFollower struct {
	*publisher.Follower
	settings loader.Host
	log      *zap.Logger

	sender sender
	// shouldWatch returns whether this host must watch the store because no other host does
	// so for it; nil means always.
	shouldWatch func() bool

	mu     sync.Mutex
	roster registrar.Roster
}

// newConfigFollower returns the follower of a host; ready receives the host's readiness,
// and enforce each configuration that comes in force.
func newConfigFollower(s loader.Host, store storer.Store, m sender, log *zap.Logger, ready func(bool), enforce func(*loader.Folder, uint64)) *configFollower {
	g := &configFollower{settings: s, log: log, sender: m}
	timing := publisher.Timing{ConfirmTimeout: s.Limits.ConfirmTimeout.Std()}
	if s.Dialect == loader.DialectPlatform {
		timing.PollInterval, timing.AlwaysCurrent = operatorPollInterval, true
	}
	g.Follower = publisher.NewFollower(store, timing, log, publisher.Actions{Enforce: enforce, RequestHead: g.requestConfig, SetReady: ready})
	if s.Dialect == loader.DialectPlatform {
		g.SetSource(operatorSource(func() bool { return g.shouldWatch == nil || g.shouldWatch() }))
	}
	return g
}

// setRoster applies a new roster, whose hosts a new host asks for the configuration.
func (g *configFollower) setRoster(r registrar.Roster) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster = r
}

func (g *configFollower) send(address string, m messenger.Message) {
	if err := g.sender.Send(address, m); err != nil {
		g.log.Warn("send configuration", zap.String("to", address), zap.Error(err))
	}
}

// receive handles a frame before the control goroutine receives it, and returns whether the
// frame needs no further handling. Configurations bypass the control state, so that one of
// a megabyte does not delay grants.
func (g *configFollower) receive(e messenger.Envelope, m messenger.Message) bool {
	g.ReceiveGeneration(e.From, e.Generation, time.Now())
	switch m := m.(type) {
	case messenger.ConfigRequest:
		g.sendConfig(m)
	case messenger.ConfigReply:
		g.ReceiveHead(e.From, m.Packed)
	default:
		return false
	}
	return true
}

// sendConfig sends the configuration in force to a host that asked for it, or an empty
// reply where that host has it.
func (g *configFollower) sendConfig(f messenger.ConfigRequest) {
	h := g.Head()
	var c messenger.ConfigReply
	if h.Generation > f.Have {
		c.Packed = h.Packed()
	}
	g.send(f.Reply, c)
}

// requestConfig asks a peer, or several hosts for "", for a configuration newer than have.
func (g *configFollower) requestConfig(peer string, have uint64) {
	m := messenger.ConfigRequest{Have: have, Reply: g.settings.Control}
	for _, address := range g.peerAddresses(peer) {
		g.send(address, m)
	}
}

// peerAddresses returns the address of a peer; for "", or for a peer that left the roster,
// those of some hosts of the roster and of peers in the settings.
func (g *configFollower) peerAddresses(peer string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h, ok := g.roster.Find(peer); ok {
		return []string{h.Control}
	}
	var found []string
	hosts := g.roster.Hosts()
	for _, i := range rand.Perm(len(hosts)) { // a fixed few might not have it either
		if h := hosts[i]; h.Name != g.settings.Name && len(found) < maxPeersAsked {
			found = append(found, h.Control)
		}
	}
	return append(found, g.settings.Peers[:min(maxPeersAsked, len(g.settings.Peers))]...)
}
