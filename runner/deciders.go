package runner

import (
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/quarantiner"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/retrier"
	"github.com/cicadawood/cicadawood/router"
)

const (
	// decidersRole is the role whose first owners are the deciders.
	decidersRole = "decide"
	// maxSelfDeciding is the number of hosts up to which each host decides for itself, by
	// updates that all hosts send one another: their number grows with the square of the
	// number of hosts. In a larger fleet a few deciders place requests for all, and a
	// request costs about a dozen messages at any size.
	maxSelfDeciding = 16
	// deciderCount is the number of deciders. A single one would have the most complete
	// view, but a successor would have to be found at the moment when it fails.
	deciderCount = 3
	// listenerCount is the number of hosts that receive all flight updates, the deciders
	// first. A host that succeeds a decider needs the same view when it takes over.
	listenerCount = 5
	// minDecideTimeout is the minimum time that a decider has for its reply before another
	// is asked: twenty round trips between zones, a fifth of the tightest latency target.
	minDecideTimeout = 60 * time.Millisecond
	// maxDecideTimeout is the maximum of that time when replies are slow.
	maxDecideTimeout = 200 * time.Millisecond
	// rttWeight and deviationWeight are the weights of a new sample in the smoothed
	// round-trip time and in its deviation, and deviationFactor is the number of deviations
	// that a reply may be late by (as in RFC 6298).
	rttWeight       = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
	// maxReplyDelay is how long after a request a late reply is still awaited, to measure
	// the round-trip time.
	maxReplyDelay = 2 * time.Second
	// deciderBackoff is how long a decider that did not reply in time is not asked: about
	// as long as it takes to detect a failed host.
	deciderBackoff = time.Second
)

// deciderSet is the set of hosts that a host asks for workers, with the requests that
// are pending there. The zero deciderSet has no deciders: the host decides for itself.
type deciderSet struct {
	deciders     []registrar.Record          // empty where each host decides for itself
	listeners    []registrar.Record          // the deciders and the hosts that succeed them
	backoffUntil map[string]time.Time        // by name of the decider
	pending      map[uint64]pendingPlacement // by ID of the request
	rtt          time.Duration               // smoothed round-trip time of a request to a decider
	rttDeviation time.Duration               // smoothed deviation of rtt
}

// pendingPlacement is a request that waits for a decider's reply.
type pendingPlacement struct {
	requested workerRequested
	decider   string
	sentAt    time.Time
	timedOut  bool // another decider was asked since
}

// placementRequested and placementReplied are messages from other hosts;
// placementTimedOut reports that a reply did not arrive in time.
type (
	placementRequested struct {
		from    string
		request messenger.PlacementRequest
	}
	placementReplied struct {
		from  string
		reply messenger.PlacementReply
	}
	placementTimedOut struct{ id uint64 }
)

// setRoster derives the deciders and the listeners from a roster.
func (d *deciderSet) setRoster(r registrar.Roster) {
	d.deciders, d.listeners = nil, nil
	if len(r.Hosts()) <= maxSelfDeciding {
		return
	}
	owners := r.Owners(decidersRole, listenerCount)
	d.deciders, d.listeners = owners[:min(deciderCount, len(owners))], owners
	for name := range d.backoffUntil {
		if _, ok := r.Find(name); !ok {
			delete(d.backoffUntil, name)
		}
	}
}

// otherListeners returns the addresses of the listeners except the host itself.
func (d *deciderSet) otherListeners(self string) []string {
	var out []string
	for _, h := range d.listeners {
		if h.Name != self {
			out = append(out, h.Control)
		}
	}
	return out
}

// decides reports whether a host decides by its own view.
func (d *deciderSet) decides(name string) bool {
	return len(d.deciders) == 0 || slices.ContainsFunc(d.deciders, func(h registrar.Record) bool { return h.Name == name })
}

// timeout returns how long a decider may take to reply. It follows the measured
// round-trip time: under heavy load a host's own link is the slow part. With the minimum
// alone, the host would treat deciders that reply later as failed and decide by itself,
// although it knows almost nothing of the requests that other hosts send.
func (d *deciderSet) timeout() time.Duration {
	return min(max(d.rtt+deviationFactor*d.rttDeviation, minDecideTimeout), maxDecideTimeout)
}

// recordReply records a decider's reply and how long it took. A late reply also shows
// that the decider is alive.
func (d *deciderSet) recordReply(decider string, took time.Duration) {
	delete(d.backoffUntil, decider)
	if d.rtt == 0 {
		d.rtt, d.rttDeviation = took, took/2
		return
	}
	deviation := took - d.rtt
	d.rttDeviation += time.Duration(deviationWeight * float64(deviation.Abs()-d.rttDeviation))
	d.rtt += time.Duration(rttWeight * float64(deviation))
}

// sweep removes timed-out requests whose late reply is not awaited any longer.
func (d *deciderSet) sweep(now time.Time) {
	for id, x := range d.pending {
		if x.timedOut && now.Sub(x.sentAt) > maxReplyDelay {
			delete(d.pending, id)
		}
	}
}

// index returns the position of a host among the deciders, or -1 if it is none.
func (d *deciderSet) index(name string) int {
	return slices.IndexFunc(d.deciders, func(h registrar.Record) bool { return h.Name == name })
}

// count returns the number of hosts that select workers by views of their own.
func (d *deciderSet) count(r registrar.Roster) int {
	if len(d.deciders) > 0 {
		return len(d.deciders)
	}
	return len(r.Hosts())
}

// position returns the position of a host among those, or -1 if it is none.
func (d *deciderSet) position(r registrar.Roster, name string) int {
	if len(d.deciders) > 0 {
		return d.index(name)
	}
	return slices.IndexFunc(r.Hosts(), func(h registrar.Record) bool { return h.Name == name })
}

// pick returns a random decider that is not in backoff and is accepted, or false if there is
// none.
func (d *deciderSet) pick(now time.Time, accept func(name string) bool) (registrar.Record, bool) {
	for _, i := range rand.Perm(len(d.deciders)) {
		if h := d.deciders[i]; !now.Before(d.backoffUntil[h.Name]) && accept(h.Name) {
			return h, true
		}
	}
	return registrar.Record{}, false
}

// askDecider asks a decider for a worker. It returns false if this host has to decide
// itself.
func (p *selector) askDecider(now time.Time, e workerRequested) bool {
	d := &p.deciderSet
	self, known := p.roster.Find(p.self)
	if d.decides(p.self) || !known {
		return false
	}
	backoffs := p.heldBack(now, e.request.Service)
	if len(backoffs) > 0 && len(backoffs) == p.view.WorkerCount(e.request.Service) {
		return false // only this host knows when the first worker accepts requests again
	}
	decider, ok := d.pick(now, func(name string) bool { return e.request.Bound == nil || p.origins.readers[name] })
	if !ok {
		return false
	}
	id := rand.Uint64()
	request := e.request
	request.Exclude = excludeBackoffs(request.Exclude, backoffs)
	if err := p.sender.Send(decider.Control, encodeBound(encodeRequest(id, self, request), request.Bound)); err != nil {
		p.log.Debug("seek", zap.String("decider", decider.Name), zap.Error(err))
		return false
	}
	if d.pending == nil {
		d.pending, d.backoffUntil = map[uint64]pendingPlacement{}, map[string]time.Time{}
	}
	d.pending[id] = pendingPlacement{requested: e, decider: decider.Name, sentAt: now}
	time.AfterFunc(d.timeout(), func() { p.post(placementTimedOut{id: id}) })
	return true
}

// handleTimeout handles a decider that did not reply in time: another is asked, and if
// none is left this host decides by its own view.
func (p *selector) handleTimeout(now time.Time, e placementTimedOut) {
	x, ok := p.deciderSet.pending[e.id]
	if !ok {
		return
	}
	x.timedOut = true
	p.deciderSet.pending[e.id] = x
	if !now.Before(p.deciderSet.backoffUntil[x.decider]) {
		p.log.Warn("decider silent", zap.String("peer", x.decider), zap.Duration("waited", now.Sub(x.sentAt)), zap.Duration("usual", p.deciderSet.rtt))
	}
	p.deciderSet.backoffUntil[x.decider] = now.Add(deciderBackoff)
	if !p.askDecider(now, x.requested) {
		p.answerOrHold(now, x.requested, p.decide(now, x.requested.request))
	}
}

// decideFor decides for another host.
func (p *selector) decideFor(now time.Time, from string, s messenger.PlacementRequest, a placer.Request) {
	reply := messenger.PlacementReply{ID: s.ID}
	choice, refusal := p.view.PlaceFor(now, from, rand.Uint64(), a)
	if refusal != nil {
		reply.Reason, reply.RetryAfter, reply.Basis = refusal.Reason, refusal.RetryAfter, encodeBasis(choice.Basis)
		p.scheduleUpdate(now, p.delayFor(updateDelay, updateDelayToListeners))
	} else {
		reply.Flight, reply.Worker, reply.Wait = choice.Flight.ID, choice.Worker.Name, choice.Wait
		reply.Delay, reply.Prefill, reply.Source, reply.HalfFull = choice.Delay, choice.Flight.Prefill, choice.Source, choice.Filling
		reply.RateLimit = p.view.RateLimit(choice.Worker.Name)
		p.addSent(now, from, choice.Flight)
	}
	if err := p.sender.Send(s.Reply, reply); err != nil {
		p.log.Debug("sought", zap.String("peer", from), zap.Error(err))
	}
}

// handleReply handles a decider's reply. A place that arrives too late is released.
func (p *selector) handleReply(now time.Time, e placementReplied) {
	s := e.reply
	x, known := p.deciderSet.pending[s.ID]
	delete(p.deciderSet.pending, s.ID)
	if known {
		p.deciderSet.recordReply(x.decider, now.Sub(x.sentAt))
	}
	waiting := known && !x.timedOut
	w, available := p.view.Worker(s.Worker)
	available = available && p.sendsTo(now, w) && (!known || p.view.MayContinue(w, x.requested.request))
	switch {
	case s.Flight == 0 && waiting:
		p.answerOrHold(now, x.requested, refusedBy(e.from, placer.Refusal{Reason: reasonOf(s.Reason), RetryAfter: s.RetryAfter}, decodeBasis(s.Basis)))
	case s.Flight == 0:
	case waiting && available:
		p.answer(x.requested, workerReply{placement: router.Placement{
			ID: s.Flight, Service: x.requested.request.Service, Worker: w, ExpectedWait: s.Wait, Delay: s.Delay, Source: s.Source, PromptTokens: s.Prefill, HalfFull: s.HalfFull, ListAge: now.Sub(p.updatedAt), PlacedBy: e.from, Brittle: p.view.IsBrittle(s.Worker), RateLimit: s.RateLimit,
		}})
	default:
		p.remindOfLeaving(s.Worker)
		p.addEnded(now, flightEnded{id: s.Flight, outcome: placer.Canceled})
		if waiting {
			p.answerOrHold(now, x.requested, p.decide(now, x.requested.request))
		}
	}
}

// refusedBy returns the reply to a request that a view refused. The retry time is
// jittered, so that callers refused together don't return together.
func refusedBy(host string, r placer.Refusal, b placer.Basis) workerReply {
	after := r.RetryAfter
	if after > 0 { // a refusal for good has no time
		after = retrier.Jitter(after, rand.Float64())
	}
	return workerReply{refused: &router.Refused{Reason: r.Reason, RetryAfter: after, RefusedBy: host, Basis: b}}
}

// decodeBasis returns the figures on which another host refused a request. Hosts of an
// older version don't send them.
func decodeBasis(b *messenger.Basis) placer.Basis {
	if b == nil {
		return placer.Basis{}
	}
	return placer.Basis(*b)
}

func encodeBasis(b placer.Basis) *messenger.Basis {
	m := messenger.Basis(b)
	return &m
}

func encodeRequest(id uint64, self registrar.Record, a placer.Request) messenger.PlacementRequest {
	s := messenger.PlacementRequest{
		ID: id, Reply: self.Control, Zone: self.Zone, Service: a.Service, Prompt: a.Prompt, Output: a.Output, Rank: a.Rank,
		Left: a.Left, FirstEventTimeout: a.FirstEventTimeout, Target: a.Target, Gap: a.Gap, Exclude: a.Exclude, Tier: a.Tier, Expected: a.Expected,
		Fingerprint: uint64(a.Fingerprint),
	}
	s.Keys, s.Tokens = splitParts(a.Parts)
	return s
}

func decodeRequest(s messenger.PlacementRequest) placer.Request {
	return placer.Request{
		Service: s.Service, Zone: s.Zone, Parts: joinParts(s.Keys, s.Tokens), Prompt: s.Prompt, Output: s.Output, Rank: s.Rank,
		Left: s.Left, FirstEventTimeout: s.FirstEventTimeout, Target: s.Target, Gap: s.Gap, Exclude: s.Exclude, Tier: s.Tier, Expected: s.Expected,
		Fingerprint: quarantiner.Fingerprint(s.Fingerprint),
	}
}

func splitParts(parts []placer.Part) (keys []uint64, tokens []int) {
	for _, part := range parts {
		keys = append(keys, part.Key)
		tokens = append(tokens, part.Tokens)
	}
	return keys, tokens
}

func joinParts(keys []uint64, tokens []int) []placer.Part {
	var out []placer.Part
	for i := range min(len(keys), len(tokens)) {
		out = append(out, placer.Part{Key: keys[i], Tokens: tokens[i]})
	}
	return out
}

func (placementRequested) event() {}
func (placementReplied) event()   {}
func (placementTimedOut) event()  {}
