package runner

import (
	"cmp"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/quarantiner"
)

const (
	// sentDelay is how long a request that this host sent to a worker waits to be reported
	// to the other hosts. Until they receive it they select the same worker: with 74 hosts
	// and 590 requests a second, 20 ms let a dozen requests go to one worker at once, and
	// plans that met their deadline fell from 85 to 65 of 100 with stand-in workers.
	sentDelay = time.Millisecond
	// updateDelay is how long first events and ends wait, so that one message reports all
	// events of that time. This delay costs less than one plan in 100.
	updateDelay = 20 * time.Millisecond
	// updateDelayToListeners is updateDelay where a few hosts decide for all. A listener
	// receives such a message from every host: with 64 hosts and 20 ms that is 3,200 a
	// second, and in a burst deciders on small hosts stopped replying.
	updateDelayToListeners = 50 * time.Millisecond
	// sentDelayToListeners is sentDelay where a few hosts decide for all: a decider reports
	// only to the four other listeners.
	sentDelayToListeners = 3 * time.Millisecond
)

// flightsReceived is another host's update of the requests it sent to workers.
type flightsReceived struct {
	from   string
	update messenger.FlightUpdate
}

// addSent adds a request that a host sends to a worker to the next update.
func (p *selector) addSent(now time.Time, host string, f placer.Flight) {
	s := encodeFlight(f)
	s.Host = host
	p.pendingUpdate.Sent = append(p.pendingUpdate.Sent, s)
	p.scheduleUpdate(now, p.delayFor(sentDelay, sentDelayToListeners))
}

// addEnded adds the end of a request at a worker to the next update. Short requests may
// arrive faster than their ends are reported. Each counts until then, so that all slots
// seem taken and callers are refused although workers are idle. So the end of a request
// to a worker that is at least half full is reported with the short delay of sent
// requests.
func (p *selector) addEnded(now time.Time, e flightEnded) {
	p.pendingUpdate.Ended = append(p.pendingUpdate.Ended, messenger.FlightEnd{ID: e.id, Outcome: int(e.outcome)})
	delay := p.delayFor(updateDelay, updateDelayToListeners)
	if e.halfFull || e.outcome == placer.Disconnected || e.outcome == placer.Refused {
		delay = p.delayFor(sentDelay, sentDelayToListeners)
	}
	p.scheduleUpdate(now, delay)
}

func encodeFlight(f placer.Flight) messenger.Flight {
	s := messenger.Flight{ID: f.ID, Worker: f.Worker, Prefill: f.Prefill, Hold: f.Hold, Left: f.Left, Gap: f.Gap, Rank: f.Rank, Fetch: f.Fetch, Tier: f.Tier, Output: f.Output, Fingerprint: uint64(f.Fingerprint)}
	s.Keys, s.Tokens = splitParts(f.Parts)
	return s
}

func decodeFlight(s messenger.Flight) placer.Flight {
	return placer.Flight{
		ID: s.ID, Worker: s.Worker, Parts: joinParts(s.Keys, s.Tokens), Prefill: s.Prefill, Hold: s.Hold, Left: s.Left, Gap: s.Gap, Rank: s.Rank, Fetch: s.Fetch, Tier: s.Tier, Output: s.Output,
		Fingerprint: quarantiner.Fingerprint(s.Fingerprint),
	}
}

func encodeOfferedLoads(list []placer.OfferedLoad) []messenger.OfferedLoad {
	var out []messenger.OfferedLoad
	for _, x := range list {
		out = append(out, messenger.OfferedLoad{Service: x.Service, Tier: x.Tier, Count: x.Count, Output: x.Output, Prefill: x.Prefill})
	}
	return out
}

func decodeOfferedLoads(list []messenger.OfferedLoad) []placer.OfferedLoad {
	var out []placer.OfferedLoad
	for _, x := range list {
		out = append(out, placer.OfferedLoad{Service: x.Service, Tier: x.Tier, Count: x.Count, Output: x.Output, Prefill: x.Prefill})
	}
	return out
}

// delayFor returns the delay that applies: toAll where updates go to all hosts, as each
// decides for itself, and toListeners where a few hosts decide for all.
func (p *selector) delayFor(toAll, toListeners time.Duration) time.Duration {
	if len(p.deciderSet.deciders) == 0 {
		return toAll
	}
	return toListeners
}

// scheduleUpdate makes the next update leave within the given time at the latest.
func (p *selector) scheduleUpdate(now time.Time, delay time.Duration) {
	at := now.Add(delay)
	if p.updateDue.IsZero() || at.Before(p.updateDue) {
		p.updateDue = at
		p.updateTimer.Reset(delay)
	}
}

// sendUpdate sends the events on this host since the last update to the other hosts.
func (p *selector) sendUpdate() {
	p.updateDue = time.Time{}
	m := p.pendingUpdate
	m.Refused = encodeOfferedLoads(p.view.DrainRefused())
	p.pendingUpdate = messenger.FlightUpdate{}
	if len(p.deciderSet.deciders) == 0 {
		p.broadcast(m)
		return
	}
	if err := p.sender.SendAll(p.deciderSet.otherListeners(p.self), m); err != nil {
		p.log.Debug("sending flight update to deciders failed", zap.Error(err))
	}
}

// broadcast sends a message to every other reachable host.
func (p *selector) broadcast(m messenger.Message) {
	var addresses []string
	for _, h := range p.roster.Hosts() {
		if h.Name != p.self && !h.Unreachable {
			addresses = append(addresses, h.Control)
		}
	}
	if err := p.sender.SendAll(addresses, m); err != nil {
		p.log.Debug("sending to hosts failed", zap.Error(err))
	}
}

// receiveFlights applies another host's flight update to the view.
func (p *selector) receiveFlights(now time.Time, e flightsReceived) {
	p.receiveLimits(now, e.from, e.update.Limits)
	ended := p.receiveCrashes(now, e.update.Ended)
	for _, s := range e.update.Sent {
		p.view.Receive(now, cmp.Or(s.Host, e.from), decodeFlight(s))
	}
	for i, id := range e.update.Begun {
		took := time.Duration(0) // hosts of an older version don't report it
		if i < len(e.update.Took) {
			took = e.update.Took[i]
		}
		p.view.BegunAfter(now, id, took)
	}
	p.view.ReceiveOffered(now, decodeOfferedLoads(e.update.Refused))
	for _, s := range e.update.Running {
		p.view.ReceiveRunning(now, cmp.Or(s.Host, e.from), placer.RunningFlight{Flight: decodeFlight(s), Begun: s.Begun})
	}
	for _, x := range ended {
		p.view.Ended(now, x.ID, placer.Outcome(x.Outcome))
	}
}

// receiveCrashes applies the ends of known requests by a crash of their workers, and returns the
// other ends. They come before what the same update reports as sent: most of that was sent again
// after the crash.
func (p *selector) receiveCrashes(now time.Time, ended []messenger.FlightEnd) []messenger.FlightEnd {
	var others []messenger.FlightEnd
	for _, x := range ended {
		if placer.Outcome(x.Outcome) == placer.Disconnected && p.view.Knows(x.ID) {
			p.view.Ended(now, x.ID, placer.Disconnected)
			continue
		}
		others = append(others, x)
	}
	return others
}

func (flightsReceived) event() {}
