package runner

import (
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
	if few && !p.tellsAll(listened) {
		return
	}
	var fresh []string
	for _, h := range p.hearers() {
		if _, known := before.Find(h.Name); known && !(few && !contains(listened, h.Name)) || h.Name == p.self {
			continue
		}
		fresh = append(fresh, h.Control)
	}
	running := p.view.Running(now, few)
	if len(fresh) == 0 || len(running) == 0 {
		return
	}
	p.log.Info("tell running", zap.Strings("hosts", fresh), zap.Int("requests", len(running)))
	var m messenger.Shared
	for _, r := range running {
		s := sendingOf(r.Flight)
		s.Host, s.Begun = r.Host, r.Begun
		m.Running = append(m.Running, s)
		if len(m.Running) == runningMost {
			p.tellFresh(fresh, m)
			m = messenger.Shared{}
		}
	}
	p.tellFresh(fresh, m)
}

func (p *choosing) tellFresh(fresh []string, m messenger.Shared) {
	if len(m.Running) == 0 {
		return
	}
	if err := p.sender.SendAll(fresh, m); err != nil {
		p.log.Warn("tell running", zap.Error(err))
	}
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
	for _, h := range hosts {
		if h.Name == name {
			return true
		}
	}
	return false
}
