package runner

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
)

// runningMost is the most requests under way that one message tells of: a few hundred
// kilobytes would keep a small host's link busy.
const runningMost = 500

// catchUp tells hosts that have just started, or begun to listen, what is under way. Where
// each host decides, each tells what it sends itself; where few do, the first of those
// that listened before tells all.
func (p *choosing) catchUp(now time.Time, before registrar.Roster, listened []registrar.Record) {
	few := len(p.deciding.deciders) > 0
	if len(listened) == 0 {
		listened = before.Hosts() // each heard all
	}
	if few && !p.tellsAll(listened) {
		return
	}
	fresh := p.fresh(listened)
	running := p.view.RunningFlights(now, few)
	limits := limitMessages(p.view.Limits())
	if len(fresh) == 0 || len(running) == 0 && len(limits) == 0 {
		return
	}
	p.log.Info("tell running", zap.Strings("hosts", fresh), zap.Int("requests", len(running)), zap.Int("limits", len(limits)))
	if len(limits) > 0 {
		if err := p.sender.SendAll(fresh, messenger.FlightUpdate{Limits: limits}); err != nil {
			p.log.Warn("tell limits", zap.Error(err))
		}
	}
	for part := range slices.Chunk(running, runningMost) {
		var m messenger.FlightUpdate
		for _, r := range part {
			s := sendingOf(r.Flight)
			s.Host, s.Begun = r.Host, r.Begun
			m.Running = append(m.Running, s)
		}
		if err := p.sender.SendAll(fresh, m); err != nil {
			p.log.Warn("tell running", zap.Error(err))
		}
	}
}

// fresh is the addresses of hosts that are told of what is sent, and were not before.
func (p *choosing) fresh(listened []registrar.Record) []string {
	var out []string
	for _, h := range p.hearers() {
		if h.Name != p.self && !contains(listened, h.Name) {
			out = append(out, h.Control)
		}
	}
	return out
}

// hearers is the hosts that are told of what is sent.
func (p *choosing) hearers() []registrar.Record {
	if len(p.deciding.deciders) > 0 {
		return p.deciding.listeners
	}
	return p.roster.Hosts()
}

// tellsAll says that this is the first of the hosts that listened before and still do.
func (p *choosing) tellsAll(listened []registrar.Record) bool {
	for _, h := range p.deciding.listeners {
		if contains(listened, h.Name) {
			return h.Name == p.self
		}
	}
	return false
}

func contains(hosts []registrar.Record, name string) bool {
	return slices.ContainsFunc(hosts, func(h registrar.Record) bool { return h.Name == name })
}
