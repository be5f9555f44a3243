package placer

import (
	"math"
	"time"
)

const (
	// keptSpreads is how many times the spread of more urgent requests is kept free of
	// slots, and keptMost the part of one engine's slots that are kept for it at most.
	keptSpreads = 2.0
	keptMost    = 0.25
	// keptPooled is the same of all engines together: a request may go to any of them.
	keptPooled = 3.0
)

// protection is the slots of a service's engines that more urgent routes than a
// request's will want.
type protection struct {
	rate  float64 // requests a second that are asked for of them
	held  float64 // milliseconds for which one of them takes a slot
	there int     // that are at the engines
	free  int     // slots that nobody has
}

// protect sets what is kept for more urgent routes. Failure: in a flood of every kind the
// less urgent fill slots, and engines that read their prompts give each stream a token
// with a chunk, so that the more urgent hold theirs for longer and are refused. What they
// will want follows from what is asked for, the refused included: counted by those that
// are there, the more are refused the less is kept. The route decides, not the
// organisation: the long prompts of an urgent organisation would keep out the short ones
// of all others.
func (v *View) protect(now time.Time, options []option, a Request) protection {
	var p protection
	if len(options) == 0 || options[0].CacheTokens == 0 {
		return p
	}
	hold := 0
	for i := range options {
		o := &options[i]
		p.there += o.urgent
		p.free += max(o.Slots-len(o.flights), 0)
		hold += o.hold
	}
	n := float64(len(options))
	tokens, reading := p.want(now, v.offers[a.Service], a.Tier)
	if p.rate > 0 {
		f := options[0].fit
		p.held = f.rest() + tokens/p.rate*f.token(float64(hold)/n, reading/n/1000)
	}
	p.spread(options)
	return p
}

// want sets how many more urgent requests are asked for, and returns the tokens a second of
// their output and the milliseconds a second that engines read beside them. What is less
// urgent still than the request is not read for long: it is refused first.
func (p *protection) want(now time.Time, list []offered, tier int) (tokens, reading float64) {
	for i := range list {
		x := &list[i]
		switch {
		case x.tier < tier:
			rate := x.now(now)
			p.rate += rate
			tokens += rate * x.length()
			reading += rate * x.read
		case x.tier == tier:
			reading += x.givenNow(now)
		}
	}
	return tokens, reading
}

// token is the milliseconds that a stream's token takes at an engine that holds so many
// tokens and reads for a part of its time: while it reads, a token comes with each chunk,
// and else with each step.
func (f *fit) token(hold, duty float64) float64 {
	context := contextTime * hold / 1000
	step := stepTime + context
	reading := max(f.reading(chunk, chunk)+context, step)
	duty = min(duty, 1)
	return 1 / (duty/reading + (1-duty)/step)
}

// spread keeps slots of each engine for as many more urgent requests as may come soon: the
// spread of their number there now.
func (p protection) spread(options []option) {
	if p.there == 0 {
		return
	}
	n := float64(len(options))
	kept := min(keptSpreads*math.Sqrt(float64(p.there)/n), keptPooled*math.Sqrt(float64(p.there))/n)
	for i := range options {
		o := &options[i]
		o.kept = int(math.Ceil(math.Min(kept, keptMost*float64(o.Slots))))
	}
}

// hasSlot says that an engine has a slot besides those that are kept, or left to others.
func (o *option) hasSlot() bool {
	return o.CacheTokens == 0 || len(o.flights)+max(o.kept, o.margin) < o.Slots
}

// wanted is the slots that more urgent routes will want besides those that they have.
func (p protection) wanted() float64 {
	need := p.rate * p.held / 1000
	return need + keptSpreads*math.Sqrt(need) - float64(p.there)
}

// closed says that what is free is wanted by more urgent routes.
func (p protection) closed() bool { return p.rate > 0 && float64(p.free) <= p.wanted() }

// offer is a request as what is asked for. What it would have to read is what the engine
// that comes nearest would.
func (a Request) offer(o *option) OfferedLoad {
	x := OfferedLoad{Service: a.Service, Tier: a.Tier, Count: 1, Output: a.Output}
	if o != nil && o.CacheTokens > 0 {
		x.Prefill = milliseconds(o.own)
	}
	return x
}

// give takes that a flight was sent to an engine.
func (v *View) give(now time.Time, w *worker, f *flight) {
	if w.CacheTokens == 0 {
		return
	}
	v.offers.of(w.Service, f.Tier).give(now, f.unread)
	f.token = v.tokenOf(now, w)
}

// tokenOf is the milliseconds that a stream's token takes at the engines of a worker's
// service, by what they are given.
func (v *View) tokenOf(now time.Time, w *worker) float64 {
	reading := v.offers.given(now, w.Service) / float64(max(v.WorkerCount(w.Service), 1))
	return w.fit.token(float64(w.hold), reading/1000)
}

// learnLength takes how many tokens a stream that was whole had: its time, in parts of what
// a token took as it was sent and as it ended.
func (v *View) learnLength(now time.Time, w *worker, f *flight, o Outcome) {
	if w.CacheTokens == 0 || o != Answered || f.Output <= 0 || !f.begun {
		return
	}
	took := inMilliseconds(now.Sub(f.at) - f.took)
	v.offers.of(w.Service, f.Tier).learn(float64(f.Output), 2*took/(f.token+v.tokenOf(now, w)))
}
