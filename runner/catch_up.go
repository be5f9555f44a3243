package runner

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
)

// maxRunningPerMessage is the maximum number of running requests in one message: larger
// messages, of a few hundred kilobytes, would keep a small host's link busy.
const maxRunningPerMessage = 500

// catchUp sends the running requests, and the limits and leaving workers that answers
// reported, to hosts that have just started or become listeners. Where each host decides, each sends its own
// requests; where a few decide, the first of those that were listeners before sends all.
func (p *selector) catchUp(now time.Time, previousRoster registrar.Roster, previousListeners []registrar.Record) {
	hasDeciders := len(p.deciderSet.deciders) > 0
	if len(previousListeners) == 0 {
		previousListeners = previousRoster.Hosts() // each received all updates
	}
	if hasDeciders && !p.sendsCatchUp(previousListeners) {
		return
	}
	added := p.newListeners(previousListeners)
	running := p.view.RunningFlights(now, hasDeciders)
	limits := limitMessages(p.view.Limits())
	for _, b := range p.view.Brittle() {
		limits = append(limits, brittleMessage(b))
	}
	leaving := p.directory.Leaving()
	if len(added) == 0 || len(running) == 0 && len(limits) == 0 && len(leaving) == 0 {
		return
	}
	p.log.Info("sending running requests", zap.Strings("hosts", added), zap.Int("requests", len(running)), zap.Int("limits", len(limits)), zap.Int("leaving", len(leaving)))
	if len(limits) > 0 {
		if err := p.sender.SendAll(added, messenger.FlightUpdate{Limits: limits}); err != nil {
			p.log.Warn("sending limits failed", zap.Error(err))
		}
	}
	if len(leaving) > 0 {
		if err := p.sender.SendAll(added, encodeProcesses(leaving)); err != nil {
			p.log.Warn("sending leaving workers failed", zap.Error(err))
		}
	}
	for part := range slices.Chunk(running, maxRunningPerMessage) {
		var m messenger.FlightUpdate
		for _, r := range part {
			s := encodeFlight(r.Flight)
			s.Host, s.Begun = r.Host, r.Begun
			m.Running = append(m.Running, s)
		}
		if err := p.sender.SendAll(added, m); err != nil {
			p.log.Warn("sending running requests failed", zap.Error(err))
		}
	}
}

// newListeners returns the addresses of hosts that receive flight updates and did not
// before.
func (p *selector) newListeners(previousListeners []registrar.Record) []string {
	var out []string
	for _, h := range p.flightListeners() {
		if h.Name != p.self && !containsHost(previousListeners, h.Name) {
			out = append(out, h.Control)
		}
	}
	return out
}

// flightListeners returns the hosts that receive flight updates.
func (p *selector) flightListeners() []registrar.Record {
	if len(p.deciderSet.deciders) > 0 {
		return p.deciderSet.listeners
	}
	return p.roster.Hosts()
}

// sendsCatchUp reports whether this host is the first of those that were listeners before
// and still are.
func (p *selector) sendsCatchUp(previousListeners []registrar.Record) bool {
	for _, h := range p.deciderSet.listeners {
		if containsHost(previousListeners, h.Name) {
			return h.Name == p.self
		}
	}
	return false
}

func containsHost(hosts []registrar.Record, name string) bool {
	return slices.ContainsFunc(hosts, func(h registrar.Record) bool { return h.Name == name })
}
