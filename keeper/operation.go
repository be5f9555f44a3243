package keeper

import (
	"cmp"
	"slices"
	"time"
)

const (
	mostWaiters = 16                     // requests of one key at once
	readyAgain  = 200 * time.Millisecond // a Ready or its Went may have been lost
	clockSkew   = 5 * time.Minute        // by which a key's date may be ahead
)

// stage is how far an operation in flight has come.
type stage uint8

const (
	stagePlacing  stage = iota // waits for a place
	stagePlaced                // waits for its intent and for the entry's word
	stageSent                  // may run
	stageAnswered              // waits for its outcome to be recorded
)

// operation is a key in flight, and the requests that wait for it.
type operation struct {
	id      ID
	hash    [16]byte
	dated   int64
	order   uint64
	waiters []Call
	stage   stage
	attempt int // number of its last Acquire, unique among all of the keeper's
	tries   int
	holding bool // a place, or an Acquire that has no end yet
	// intent is nil until there is a place; recorded says that the log has it.
	intent   *Entry
	recorded bool
	went     string // request whose entry said to go on
	readyAt  time.Time
	outcome  *Entry
	answer   *Answer
	answered time.Time
}

// sorted is the operations in the order of their starts: what a decision does
// must not hang on a map's order.
func (k *Keeper) sorted() []*operation {
	ops := make([]*operation, 0, len(k.ops))
	for _, op := range k.ops {
		ops = append(ops, op)
	}
	slices.SortFunc(ops, func(a, b *operation) int { return cmp.Compare(a.order, b.order) })
	return ops
}

// admit answers a call from what is known of its key, or starts it.
func (k *Keeper) admit(out *outputs, now time.Time, c Call) {
	if op := k.ops[c.ID]; op != nil {
		k.join(out, now, op, c)
		return
	}
	v, known := k.known(c)
	if !known && k.mayBeLost(now, c) {
		v, known = Verdict{Kind: KindUnknown, Reason: ReasonRestored}, true
	}
	if !known {
		if v, known = k.refuse(now, c); known {
			v.Epoch = k.order()
			k.doubtful(out, now, c, v)
			return
		}
	}
	if known {
		v.Epoch = k.order()
		out.reply(c, v)
		return
	}
	k.serial++
	op := &operation{id: c.ID, hash: c.Hash, dated: c.Dated, order: k.order(), waiters: []Call{c}}
	k.ops[c.ID] = op
	k.acquire(out, op)
}

// acquire asks for a place for the operation's next attempt. Its number is used
// once only: a late grant must not be taken for one of a later operation.
func (k *Keeper) acquire(out *outputs, op *operation) {
	op.stage, op.holding, op.went = stagePlacing, true, ""
	k.attempts++
	op.attempt = k.attempts
	op.tries++
	out.add(Acquire{ID: op.id, Request: op.waiters[0].Request, Attempt: op.attempt})
}

// release gives back what the operation holds.
func (op *operation) release(out *outputs) {
	if op.holding {
		out.add(Release{ID: op.id, Attempt: op.attempt})
	}
	op.holding = false
}

// known is what the log says of a key.
func (k *Keeper) known(c Call) (Verdict, bool) {
	e := k.records[c.ID]
	switch {
	case e == nil && c.Dated != 0 && c.Dated <= k.head.Floor:
		// The key may have been forgotten: it must not run a second time.
		return Verdict{Kind: KindUnknown, Reason: ReasonExpired}, true
	case e == nil || e.State == Void:
		return Verdict{}, false
	case e.Hash != c.Hash:
		return Verdict{Kind: KindReused}, true
	case e.State == Intended:
		return Verdict{Kind: KindUnknown}, true
	case e.Answer == nil:
		return Verdict{Kind: KindGone}, true
	default:
		return Verdict{Kind: KindRan, Answer: e.Answer}, true
	}
}

// refuse tells the bounds that a new operation would break.
func (k *Keeper) refuse(now time.Time, c Call) (Verdict, bool) {
	no := func(reason string) (Verdict, bool) {
		return Verdict{Kind: KindNotRun, Reason: reason, After: k.settings.RetryInterval}, true
	}
	switch {
	case !now.Before(c.Deadline):
		return no(ReasonDeadline)
	case !k.retryAt.IsZero(): // until the store has answered again
		return no(ReasonStore)
	case len(k.ops) >= k.settings.MaxOperations:
		return no(ReasonBusy)
	case len(k.records)+len(k.ops) >= k.settings.MaxRecords:
		return no(ReasonFull)
	case c.Dated > now.Add(clockSkew).UnixMilli():
		return no(ReasonFuture)
	}
	return Verdict{}, false
}

// join adds a request of a key that is in flight: it gets the same end.
func (k *Keeper) join(out *outputs, now time.Time, op *operation, c Call) {
	if op.hash != c.Hash {
		v := Verdict{Kind: KindReused, Epoch: op.order}
		if op.recorded {
			out.reply(c, v)
		} else {
			k.doubtful(out, now, c, v)
		}
		return
	}
	if slices.ContainsFunc(op.waiters, func(w Call) bool { return w.Request == c.Request }) {
		return
	}
	if len(op.waiters) >= mostWaiters {
		out.reply(c, Verdict{Kind: KindUnknown, Reason: ReasonBusy})
		return
	}
	op.waiters = append(op.waiters, c)
	if op.stage == stagePlaced {
		k.ready(out, now, op)
	}
}

// ready asks the entries whether they still wait. A frame that was delayed, or
// a keeper that was paused, must not run a request whose caller has been
// answered meanwhile: its entry then says no.
func (k *Keeper) ready(out *outputs, now time.Time, op *operation) {
	op.readyAt = now
	if op.went != "" {
		return
	}
	for _, w := range op.waiters {
		out.add(Ready{To: w.From, ID: op.id, Request: w.Request, Epoch: op.order})
	}
}

func (k *Keeper) placed(out *outputs, now time.Time, p Placed) {
	op := k.ops[p.ID]
	if op == nil || op.attempt != p.Attempt || op.stage != stagePlacing {
		out.add(Release(p))
		return
	}
	op.stage = stagePlaced
	if op.intent == nil {
		op.intent = k.entry(now, op, Intended, nil)
		k.pending.push(op.intent)
	}
	k.ready(out, now, op)
	k.send(out, op)
}

func (k *Keeper) unplaced(out *outputs, now time.Time, u Unplaced) {
	op := k.ops[u.ID]
	if op == nil || op.attempt != u.Attempt || op.stage != stagePlacing {
		return
	}
	op.holding = false
	k.dropUnsure(out, now, op, Verdict{Kind: KindNotRun, Reason: u.Reason, After: u.After})
}

func (k *Keeper) went(out *outputs, _ time.Time, w ReadyAnswered) {
	op := k.ops[w.ID]
	if op == nil || op.stage > stagePlaced {
		return
	}
	i := slices.IndexFunc(op.waiters, func(c Call) bool { return c.Request == w.Request })
	if i < 0 {
		return
	}
	if w.OK {
		op.went = w.Request
		k.send(out, op)
		return
	}
	op.waiters = slices.Delete(op.waiters, i, i+1)
	k.unless(out, op, Verdict{Kind: KindNotRun, Reason: ReasonCaller})
}

// unless drops an unsent operation that nobody waits for, and one whose go came
// from a request that is over waits for another's.
func (k *Keeper) unless(out *outputs, op *operation, v Verdict) {
	if !slices.ContainsFunc(op.waiters, func(c Call) bool { return c.Request == op.went }) {
		op.went = ""
	}
	if len(op.waiters) == 0 {
		k.drop(out, op, v)
	}
}

// send lets the operation run. It is the only place that does: the intent is in
// the log, written under this keeper's epoch, and the entry has said go.
func (k *Keeper) send(out *outputs, op *operation) {
	if op.stage != stagePlaced || !op.recorded || op.went == "" {
		return
	}
	op.stage = stageSent
	out.add(Send{ID: op.id, Request: op.went, Attempt: op.attempt})
}

func (k *Keeper) answered(out *outputs, now time.Time, a Answered) {
	op := k.ops[a.ID]
	if op == nil || op.attempt != a.Attempt || op.stage != stageSent {
		return
	}
	op.release(out)
	switch a.Result {
	case CallRan:
		k.ran(out, now, op, a.Answer)
	case CallNotRun:
		k.again(out, op)
	case CallUnknown:
		k.note(op.intent)
		k.end(out, op, Verdict{Kind: KindUnknown})
	}
}

// ran records the outcome. The callers' answer waits for that, so that a
// repeated key gets it from the next keeper too, but no longer than the grace:
// an answer is worth more than its record.
func (k *Keeper) ran(out *outputs, now time.Time, op *operation, a *Answer) {
	op.stage, op.answer, op.answered = stageAnswered, a, now
	if k.phase != phaseReady {
		k.finish(out, op)
		return
	}
	op.outcome = k.entry(now, op, Ran, a)
	k.note(op.outcome)
	if a.size() > k.settings.MaxAnswerBytes {
		// The log has no room for it; memory has, as long as this keeper lives.
		bare := *op.outcome
		bare.Answer, op.outcome = nil, &bare
	}
	k.pending.push(op.outcome)
	if !k.retryAt.IsZero() {
		k.finish(out, op)
	}
}

// again tries another worker after one that certainly did not run the call. The
// intent stands, so no other keeper sends it.
func (k *Keeper) again(out *outputs, op *operation) {
	if op.tries >= k.settings.MaxTries || len(op.waiters) == 0 || k.phase != phaseReady {
		k.drop(out, op, Verdict{Kind: KindNotRun, Reason: ReasonWorkers, After: k.settings.RetryInterval})
		return
	}
	k.acquire(out, op)
}

// age ends the waiting of requests whose deadline is over.
func (k *Keeper) age(out *outputs, now time.Time, op *operation) {
	if op.stage == stageAnswered && now.Sub(op.answered) >= k.settings.OutcomeGrace {
		k.finish(out, op)
		return
	}
	var over, waiting []Call
	for _, w := range op.waiters {
		if now.Before(w.Deadline) {
			waiting = append(waiting, w)
		} else {
			over = append(over, w)
		}
	}
	if len(over) > 0 && op.stage < stageSent && len(waiting) == 0 {
		k.dropUnsure(out, now, op, Verdict{Kind: KindNotRun, Reason: ReasonDeadline, After: k.settings.RetryInterval})
		return
	}
	if len(over) > 0 && op.stage == stageAnswered {
		k.finish(out, op)
		return
	}
	// The key may still run, here or for another request of it.
	for _, w := range over {
		out.reply(w, Verdict{Kind: KindUnknown, Reason: ReasonDeadline, Epoch: op.order})
	}
	op.waiters = waiting
	if len(over) > 0 && op.stage < stageSent {
		k.unless(out, op, Verdict{})
	}
	if op.stage == stagePlaced && now.Sub(op.readyAt) >= readyAgain {
		k.ready(out, now, op)
	}
}

// finish gives the answer to all who wait.
func (k *Keeper) finish(out *outputs, op *operation) {
	k.end(out, op, Verdict{Kind: KindRan, Answer: op.answer})
}

// drop ends an operation that was not sent and never will be. Where the log may
// hold its intent, the intent is voided, so that the key can be used again.
func (k *Keeper) drop(out *outputs, op *operation, v Verdict) {
	op.release(out)
	if op.intent != nil {
		k.pending.remove(op.id)
		if k.mayHold(op.intent) && k.phase == phaseReady {
			void := *op.intent
			void.At, void.State = k.stampTime(op.intent.At), Void
			k.note(&void)
			k.pending.push(&void)
		}
	}
	k.end(out, op, v)
}

func (k *Keeper) end(out *outputs, op *operation, v Verdict) {
	delete(k.ops, op.id)
	v.Epoch = op.order
	for _, w := range op.waiters {
		out.reply(w, v)
	}
}
