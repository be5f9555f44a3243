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
	// decidersRole is the role whose first owners decide.
	decidersRole = "decide"
	// manyHosts is the most hosts of which each decides for itself, by what all tell one
	// another: that is messages by hosts squared. In a larger fleet a few decide for
	// all, and a request costs about a dozen messages at any size.
	manyHosts = 16
	// deciders is how many decide. One would see most, but would have to be found anew
	// in the moment that it dies.
	deciders = 3
	// listeners is how many hosts are told of all that is sent and ends, the deciders
	// first: who comes after them must know as much when it takes a place.
	listeners = 5
	// decideWithin is how long a decider may take to answer at least before another is
	// asked: twenty round trips between zones, a fifth of the tightest target.
	decideWithin = 60 * time.Millisecond
	// decideMost is the same at most, where answers take long.
	decideMost = 200 * time.Millisecond
	// roundWeight and spreadWeight are the parts of a new sample in the round trip and in
	// its deviation, and spreads how many of these an answer may be late (as in RFC 6298).
	roundWeight  = 1.0 / 8
	spreadWeight = 1.0 / 4
	spreads      = 4
	// answerMost is how long after a question its answer is still waited for, to learn
	// how long answers take.
	answerMost = 2 * time.Second
	// doubtFor is how long a decider that did not answer is not asked: about as long as
	// a death takes to be known.
	doubtFor = time.Second
)

// deciding is whom a host asks for workers. The zero deciding asks nobody.
type deciding struct {
	deciders  []registrar.Record   // empty where each host decides for itself
	listeners []registrar.Record   // the deciders and those that come after them
	doubted   map[string]time.Time // until then, by name
	pending   map[uint64]seeking   // questions under way
	round     time.Duration        // that an answer takes, smoothed
	deviation time.Duration        // of round
}

// seeking is a request that waits for a decider's answer.
type seeking struct {
	asked workerAsked
	by    string
	at    time.Time
	late  bool // another was asked since
}

// seekHeard and soughtHeard are frames of other hosts; seekLate is a question whose
// answer did not come in time.
type (
	seekHeard struct {
		from string
		seek messenger.PlacementRequest
	}
	soughtHeard struct {
		from   string
		sought messenger.PlacementReply
	}
	seekLate struct{ id uint64 }
)

// enroll takes the hosts that are there.
func (d *deciding) enroll(r registrar.Roster) {
	d.deciders, d.listeners = nil, nil
	if len(r.Hosts()) <= manyHosts {
		return
	}
	owners := r.Owners(decidersRole, listeners)
	d.deciders, d.listeners = owners[:min(deciders, len(owners))], owners
	for name := range d.doubted {
		if _, ok := r.Find(name); !ok {
			delete(d.doubted, name)
		}
	}
}

// others is where the hosts listen that are told of all, but for the host itself.
func (d *deciding) others(self string) []string {
	var out []string
	for _, h := range d.listeners {
		if h.Name != self {
			out = append(out, h.Control)
		}
	}
	return out
}

// decides says whether a host decides by its own view.
func (d *deciding) decides(name string) bool {
	return len(d.deciders) == 0 || slices.ContainsFunc(d.deciders, func(h registrar.Record) bool { return h.Name == name })
}

// within is how long a decider may take to answer. Failure: in a flood a host's own link
// is what is slow; deciders that answer after the least time would be held for dead, and
// the host would decide by itself, though it knows next to nothing of what others send.
func (d *deciding) within() time.Duration {
	return min(max(d.round+spreads*d.deviation, decideWithin), decideMost)
}

// answered takes that a decider's answer took so long: late or not, it is alive.
func (d *deciding) answered(by string, took time.Duration) {
	delete(d.doubted, by)
	if d.round == 0 {
		d.round, d.deviation = took, took/2
		return
	}
	off := took - d.round
	d.deviation += time.Duration(spreadWeight * float64(off.Abs()-d.deviation))
	d.round += time.Duration(roundWeight * float64(off))
}

// sweep forgets questions that nobody answers any more.
func (d *deciding) sweep(now time.Time) {
	for id, x := range d.pending {
		if x.late && now.Sub(x.at) > answerMost {
			delete(d.pending, id)
		}
	}
}

// place is which of the deciders a host is, from 0; -1 where it is none.
func (d *deciding) place(name string) int {
	return slices.IndexFunc(d.deciders, func(h registrar.Record) bool { return h.Name == name })
}

// pick is a decider that answers; false where none does.
func (d *deciding) pick(now time.Time) (registrar.Record, bool) {
	for _, i := range rand.Perm(len(d.deciders)) {
		if h := d.deciders[i]; !now.Before(d.doubted[h.Name]) {
			return h, true
		}
	}
	return registrar.Record{}, false
}

// seek asks a decider for a worker; false where this host is to decide itself.
func (p *choosing) seek(now time.Time, e workerAsked) bool {
	d := &p.deciding
	self, known := p.roster.Find(p.self)
	if d.decides(p.self) || !known {
		return false
	}
	decider, ok := d.pick(now)
	if !ok {
		return false
	}
	id := rand.Uint64()
	if err := p.sender.Send(decider.Control, seekOf(id, self, e.ask)); err != nil {
		p.log.Debug("seek", zap.String("decider", decider.Name), zap.Error(err))
		return false
	}
	if d.pending == nil {
		d.pending, d.doubted = map[uint64]seeking{}, map[string]time.Time{}
	}
	d.pending[id] = seeking{asked: e, by: decider.Name, at: now}
	time.AfterFunc(d.within(), func() { p.post(seekLate{id: id}) })
	return true
}

// late takes that a decider did not answer in time: another is asked, and where none
// is left this host decides by what it knows.
func (p *choosing) late(now time.Time, e seekLate) {
	x, ok := p.deciding.pending[e.id]
	if !ok {
		return
	}
	x.late = true
	p.deciding.pending[e.id] = x
	if !now.Before(p.deciding.doubted[x.by]) {
		p.log.Warn("decider silent", zap.String("peer", x.by), zap.Duration("waited", now.Sub(x.at)), zap.Duration("usual", p.deciding.round))
	}
	p.deciding.doubted[x.by] = now.Add(doubtFor)
	if !p.seek(now, x.asked) {
		x.asked.reply <- p.decide(now, x.asked.ask)
	}
}

// answerSeek decides for another host.
func (p *choosing) answerSeek(now time.Time, e seekHeard) {
	s := e.seek
	answer := messenger.PlacementReply{ID: s.ID}
	choice, refusal := p.view.PlaceFor(now, e.from, rand.Uint64(), askOf(s))
	if refusal != nil {
		answer.Reason, answer.RetryAfter, answer.Basis = refusal.Reason, refusal.RetryAfter, basisTo(choice.Basis)
		p.tellWithin(now, p.within(restWithin, restToDeciders))
	} else {
		answer.Flight, answer.Worker, answer.Wait = choice.Flight.ID, choice.Worker.Name, choice.Wait
		answer.Delay, answer.Prefill, answer.Source, answer.HalfFull = choice.Delay, choice.Flight.Prefill, choice.Source, choice.Filling
		answer.RateLimit = p.view.RateLimit(choice.Worker.Name)
		p.tellSent(now, e.from, choice.Flight)
	}
	if err := p.sender.Send(s.Reply, answer); err != nil {
		p.log.Debug("sought", zap.String("peer", e.from), zap.Error(err))
	}
}

// hearSought takes a decider's answer. One that comes too late is given back.
func (p *choosing) hearSought(now time.Time, e soughtHeard) {
	s := e.sought
	x, known := p.deciding.pending[s.ID]
	delete(p.deciding.pending, s.ID)
	if known {
		p.deciding.answered(x.by, now.Sub(x.at))
	}
	waiting := known && !x.late
	w, there := p.view.Worker(s.Worker)
	switch {
	case s.Flight == 0 && waiting:
		x.asked.reply <- refusedBy(e.from, placer.Refusal{Reason: s.Reason, RetryAfter: s.RetryAfter}, basisOf(s.Basis))
	case s.Flight == 0:
	case waiting && there:
		x.asked.reply <- workerReply{place: router.Placement{
			ID: s.Flight, Service: x.asked.ask.Service, Worker: w, ExpectedWait: s.Wait, Delay: s.Delay, Source: s.Source, PromptTokens: s.Prefill, HalfFull: s.HalfFull, ListAge: now.Sub(p.listed), PlacedBy: e.from, RateLimit: s.RateLimit,
		}}
	default:
		p.tellEnded(now, sendEnded{id: s.Flight, outcome: placer.Canceled})
		if waiting {
			x.asked.reply <- p.decide(now, x.asked.ask)
		}
	}
}

// refusedBy is the reply to a request that a view refused. Callers that were refused
// together must not come back together.
func refusedBy(host string, r placer.Refusal, b placer.Basis) workerReply {
	return workerReply{refused: &router.Refused{Reason: r.Reason, RetryAfter: retrier.Jitter(r.RetryAfter, rand.Float64()), RefusedBy: host, Basis: b}}
}

// basisOf is what another host refused a request by; one of an older version does not say.
func basisOf(b *messenger.Basis) placer.Basis {
	if b == nil {
		return placer.Basis{}
	}
	return placer.Basis(*b)
}

func basisTo(b placer.Basis) *messenger.Basis {
	m := messenger.Basis(b)
	return &m
}

func seekOf(id uint64, self registrar.Record, a placer.Request) messenger.PlacementRequest {
	s := messenger.PlacementRequest{
		ID: id, Reply: self.Control, Zone: self.Zone, Service: a.Service, Prompt: a.Prompt, Output: a.Output, Rank: a.Rank,
		Left: a.Left, FirstEventTimeout: a.FirstEventTimeout, Target: a.Target, Gap: a.Gap, Exclude: a.Exclude, Tier: a.Tier, Expected: a.Expected,
		Fingerprint: uint64(a.Fingerprint),
	}
	s.Keys, s.Tokens = keysOf(a.Parts)
	return s
}

func askOf(s messenger.PlacementRequest) placer.Request {
	return placer.Request{
		Service: s.Service, Zone: s.Zone, Parts: partsOf(s.Keys, s.Tokens), Prompt: s.Prompt, Output: s.Output, Rank: s.Rank,
		Left: s.Left, FirstEventTimeout: s.FirstEventTimeout, Target: s.Target, Gap: s.Gap, Exclude: s.Exclude, Tier: s.Tier, Expected: s.Expected,
		Fingerprint: quarantiner.Fingerprint(s.Fingerprint),
	}
}

func keysOf(parts []placer.Part) (keys []uint64, tokens []int) {
	for _, part := range parts {
		keys = append(keys, part.Key)
		tokens = append(tokens, part.Tokens)
	}
	return keys, tokens
}

func partsOf(keys []uint64, tokens []int) []placer.Part {
	var out []placer.Part
	for i := range min(len(keys), len(tokens)) {
		out = append(out, placer.Part{Key: keys[i], Tokens: tokens[i]})
	}
	return out
}

func (seekHeard) event()   {}
func (soughtHeard) event() {}
func (seekLate) event()    {}
