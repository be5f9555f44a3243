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
	// sentWithin is how long what this host sent to a worker waits to be told to the
	// others. Until they hear of it they pick the same worker: with 74 hosts and 590
	// requests a second that is a dozen at once at 20 ms, and plans in time fall from
	// 85 to 65 of 100 in the stand-in.
	sentWithin = time.Millisecond
	// restWithin is how long first events and ends wait: the same message takes all
	// that happened meanwhile. Later than that costs less than one plan in 100.
	restWithin = 20 * time.Millisecond
	// restToDeciders is the same where a few decide for all. Failure: a listener gets
	// such a message from every host; at 64 hosts and 20 ms these are 3,200 a second,
	// and in a burst deciders on small hosts fell silent.
	restToDeciders = 50 * time.Millisecond
	// sentByDeciders is how long what was sent waits there: a decider tells four others.
	sentByDeciders = 3 * time.Millisecond
)

// sharedHeard is what another host sent to workers.
type sharedHeard struct {
	from   string
	shared messenger.FlightUpdate
}

// tellSent has the others told of a request that a host sends to a worker.
func (p *choosing) tellSent(now time.Time, host string, f placer.Flight) {
	s := sendingOf(f)
	s.Host = host
	p.shared.Sent = append(p.shared.Sent, s)
	p.tellWithin(now, p.within(sentWithin, sentByDeciders))
}

// tellEnded has the others told how a request at a worker ended. Failure: short requests
// come faster than it is told that they ended. Each counts until then, all slots seem
// taken, and callers are refused before idle workers. So the end of what was sent to a
// worker that is filling is told as soon as what is sent.
func (p *choosing) tellEnded(now time.Time, e sendEnded) {
	p.shared.Ended = append(p.shared.Ended, messenger.FlightEnd{ID: e.id, Outcome: int(e.outcome)})
	within := p.within(restWithin, restToDeciders)
	if e.filling || e.outcome == placer.Disconnected {
		within = p.within(sentWithin, sentByDeciders)
	}
	p.tellWithin(now, within)
}

func sendingOf(f placer.Flight) messenger.Flight {
	s := messenger.Flight{ID: f.ID, Worker: f.Worker, Prefill: f.Prefill, Hold: f.Hold, Left: f.Left, Gap: f.Gap, Rank: f.Rank, Fetch: f.Fetch, Tier: f.Tier, Output: f.Output, Fingerprint: uint64(f.Fingerprint)}
	s.Keys, s.Tokens = keysOf(f.Parts)
	return s
}

func flightOf(s messenger.Flight) placer.Flight {
	return placer.Flight{
		ID: s.ID, Worker: s.Worker, Parts: partsOf(s.Keys, s.Tokens), Prefill: s.Prefill, Hold: s.Hold, Left: s.Left, Gap: s.Gap, Rank: s.Rank, Fetch: s.Fetch, Tier: s.Tier, Output: s.Output,
		Fingerprint: quarantiner.Fingerprint(s.Fingerprint),
	}
}

func offersOf(list []placer.OfferedLoad) []messenger.OfferedLoad {
	var out []messenger.OfferedLoad
	for _, x := range list {
		out = append(out, messenger.OfferedLoad{Service: x.Service, Tier: x.Tier, Count: x.Count, Output: x.Output, Prefill: x.Prefill})
	}
	return out
}

func takenOf(list []messenger.OfferedLoad) []placer.OfferedLoad {
	var out []placer.OfferedLoad
	for _, x := range list {
		out = append(out, placer.OfferedLoad{Service: x.Service, Tier: x.Tier, Count: x.Count, Output: x.Output, Prefill: x.Prefill})
	}
	return out
}

// within is a wait where each host decides for itself, or where few do for all.
func (p *choosing) within(each, few time.Duration) time.Duration {
	if len(p.deciding.deciders) == 0 {
		return each
	}
	return few
}

// tellWithin has the other hosts told of what happened within a time.
func (p *choosing) tellWithin(now time.Time, within time.Duration) {
	at := now.Add(within)
	if p.shareAt.IsZero() || at.Before(p.shareAt) {
		p.shareAt = at
		p.share.Reset(within)
	}
}

// tell tells the other hosts of what happened here.
func (p *choosing) tell() {
	p.shareAt = time.Time{}
	m := p.shared
	m.Refused = offersOf(p.view.DrainRefused())
	p.shared = messenger.FlightUpdate{}
	if len(p.deciding.deciders) == 0 {
		p.toOthers(m)
		return
	}
	if err := p.sender.SendAll(p.deciding.others(p.self), m); err != nil {
		p.log.Debug("tell deciders", zap.Error(err))
	}
}

// toOthers sends a message to every other host that can be reached.
func (p *choosing) toOthers(m messenger.Message) {
	var addresses []string
	for _, h := range p.roster.Hosts() {
		if h.Name != p.self && !h.Unreachable {
			addresses = append(addresses, h.Control)
		}
	}
	if err := p.sender.SendAll(addresses, m); err != nil {
		p.log.Debug("tell hosts", zap.Error(err))
	}
}

// hear takes what another host sent to workers.
func (p *choosing) hear(now time.Time, e sharedHeard) {
	p.receiveLimits(now, e.from, e.shared.Limits)
	for _, s := range e.shared.Sent {
		p.view.Receive(now, cmp.Or(s.Host, e.from), flightOf(s))
	}
	for i, id := range e.shared.Begun {
		took := time.Duration(0) // a host of an older version does not say
		if i < len(e.shared.Took) {
			took = e.shared.Took[i]
		}
		p.view.BegunAfter(now, id, took)
	}
	p.view.ReceiveOffered(now, takenOf(e.shared.Refused))
	for _, s := range e.shared.Running {
		p.view.ReceiveRunning(now, cmp.Or(s.Host, e.from), placer.RunningFlight{Flight: flightOf(s), Begun: s.Begun})
	}
	for _, x := range e.shared.Ended {
		p.view.Ended(now, x.ID, placer.Outcome(x.Outcome))
	}
}

func (sharedHeard) event() {}
