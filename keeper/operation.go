package keeper

import (
	"cmp"
	"slices"
	"time"
)

const (
	maxWaiters    = 16                     // concurrent requests with one key
	readyInterval = 200 * time.Millisecond // between Readys to an entry host: one, or its answer, may have been lost
	maxClockSkew  = 5 * time.Minute        // by which the date in a key may be ahead of the keeper's clock
)

// stage is the progress of an operation in flight.
type stage uint8

const (
	stagePlacing  stage = iota // waiting for a place
	stagePlaced                // waiting for its intent to be recorded and for ReadyAnswered
	stageSent                  // may be running
	stageAnswered              // waiting for its outcome to be recorded
)

// operation is a key in flight, with the requests that wait for its result.
type operation struct {
	id       ID
	hash     [16]byte
	keyTime  int64
	order    uint64
	waiters  []Call
	stage    stage
	attempt  int // number of its last Acquire, unique within the keeper
	tries    int
	hasPlace bool // or an Acquire is in flight
	// intent is nil until the first place is granted; recorded is set once the log has it.
	intent           *Record
	recorded         bool
	confirmedRequest string // request that an entry host confirmed; empty if none
	readyAskedAt     time.Time
	outcome          *Record
	answer           *Answer
	answeredAt       time.Time
}

// operationsByOrder returns the operations in the order in which they started, as outputs
// must not depend on map iteration order.
func (k *Keeper) operationsByOrder() []*operation {
	ops := make([]*operation, 0, len(k.ops))
	for _, op := range k.ops {
		ops = append(ops, op)
	}
	slices.SortFunc(ops, func(a, b *operation) int { return cmp.Compare(a.order, b.order) })
	return ops
}

// admit answers a call if its key is known or a limit is reached, else starts it.
func (k *Keeper) admit(out *outputs, now time.Time, c Call) {
	if op := k.ops[c.ID]; op != nil {
		k.joinOperation(out, now, op, c)
		return
	}
	v, known := k.known(c)
	if !known && k.mayBeLost(now, c) {
		v, known = Verdict{Kind: KindUnknown, Reason: ReasonRestored}, true
	}
	if !known {
		if v, known = k.checkLimits(now, c); known {
			v.Order = k.latestOrder()
			k.replyWhenConfirmed(out, now, c, v)
			return
		}
	}
	if known {
		v.Order = k.latestOrder()
		out.reply(c, v)
		return
	}
	k.serial++
	op := &operation{id: c.ID, hash: c.Hash, keyTime: c.KeyTime, order: k.latestOrder(), waiters: []Call{c}}
	k.ops[c.ID] = op
	k.acquire(out, op)
}

// acquire requests a place for the operation's next attempt. The attempt number is never
// reused: a late grant must not be mistaken for that of a later operation.
func (k *Keeper) acquire(out *outputs, op *operation) {
	op.stage, op.hasPlace, op.confirmedRequest = stagePlacing, true, ""
	k.acquires++
	op.attempt = k.acquires
	op.tries++
	out.add(Acquire{ID: op.id, Request: op.waiters[0].Request, Attempt: op.attempt})
}

// release gives back the operation's place.
func (op *operation) release(out *outputs) {
	if op.hasPlace {
		out.add(Release{ID: op.id, Attempt: op.attempt})
	}
	op.hasPlace = false
}

// known returns the verdict that the log gives for a key, if it has one.
func (k *Keeper) known(c Call) (Verdict, bool) {
	e := k.records[c.ID]
	switch {
	case e == nil && c.KeyTime != 0 && c.KeyTime <= k.head.Floor:
		// Its record may have expired: the key must not run a second time.
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

// checkLimits returns the refusal of a new operation that would exceed a limit.
func (k *Keeper) checkLimits(now time.Time, c Call) (Verdict, bool) {
	refuse := func(reason string) (Verdict, bool) {
		return Verdict{Kind: KindNotRun, Reason: reason, RetryAfter: k.settings.RetryInterval}, true
	}
	switch {
	case !now.Before(c.Deadline):
		return refuse(ReasonDeadline)
	case !k.retryAt.IsZero(): // until the store answers again
		return refuse(ReasonStore)
	case len(k.ops) >= k.settings.MaxOperations:
		return refuse(ReasonBusy)
	case len(k.records)+len(k.ops) >= k.settings.MaxRecords:
		return refuse(ReasonFull)
	case c.KeyTime > now.Add(maxClockSkew).UnixMilli():
		return refuse(ReasonFuture)
	}
	return Verdict{}, false
}

// joinOperation adds a request to the operation in flight with its key. Both get the same
// verdict.
func (k *Keeper) joinOperation(out *outputs, now time.Time, op *operation, c Call) {
	if op.hash != c.Hash {
		v := Verdict{Kind: KindReused, Order: op.order}
		if op.recorded {
			out.reply(c, v)
		} else {
			k.replyWhenConfirmed(out, now, c, v)
		}
		return
	}
	if slices.ContainsFunc(op.waiters, func(w Call) bool { return w.Request == c.Request }) {
		return
	}
	if len(op.waiters) >= maxWaiters {
		out.reply(c, Verdict{Kind: KindUnknown, Reason: ReasonBusy})
		return
	}
	op.waiters = append(op.waiters, c)
	if op.stage == stagePlaced {
		k.askReady(out, now, op)
	}
}

// askReady asks the entry hosts whether their requests still wait, unless one has been
// confirmed. After a delayed frame or a paused keeper, a request must not run whose caller
// has been answered meanwhile: its entry host then declines.
func (k *Keeper) askReady(out *outputs, now time.Time, op *operation) {
	op.readyAskedAt = now
	if op.confirmedRequest != "" {
		return
	}
	for _, w := range op.waiters {
		out.add(Ready{To: w.From, ID: op.id, Request: w.Request, Order: op.order})
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
		op.intent = k.newRecord(now, op, Intended, nil)
		k.pending.push(op.intent)
	}
	k.askReady(out, now, op)
	k.send(out, op)
}

func (k *Keeper) unplaced(out *outputs, now time.Time, u Unplaced) {
	op := k.ops[u.ID]
	if op == nil || op.attempt != u.Attempt || op.stage != stagePlacing {
		return
	}
	op.hasPlace = false
	k.dropUnsent(out, now, op, Verdict{Kind: KindNotRun, Reason: u.Reason, RetryAfter: u.RetryAfter})
}

func (k *Keeper) readyAnswered(out *outputs, _ time.Time, w ReadyAnswered) {
	op := k.ops[w.ID]
	if op == nil || op.stage > stagePlaced {
		return
	}
	i := slices.IndexFunc(op.waiters, func(c Call) bool { return c.Request == w.Request })
	if i < 0 {
		return
	}
	if w.OK {
		op.confirmedRequest = w.Request
		k.send(out, op)
		return
	}
	op.waiters = slices.Delete(op.waiters, i, i+1)
	k.dropUnwanted(out, op, Verdict{Kind: KindNotRun, Reason: ReasonCaller})
}

// dropUnwanted drops an unsent operation for which no request waits. If the request that
// was confirmed has ended, the confirmation of another one is needed.
func (k *Keeper) dropUnwanted(out *outputs, op *operation, v Verdict) {
	if !slices.ContainsFunc(op.waiters, func(c Call) bool { return c.Request == op.confirmedRequest }) {
		op.confirmedRequest = ""
	}
	if len(op.waiters) == 0 {
		k.drop(out, op, v)
	}
}

// send sends the call once its intent is in the log, written under this keeper's epoch, and
// an entry host has confirmed a request. Nothing else makes an operation run.
func (k *Keeper) send(out *outputs, op *operation) {
	if op.stage != stagePlaced || !op.recorded || op.confirmedRequest == "" {
		return
	}
	op.stage = stageSent
	out.add(Send{ID: op.id, Request: op.confirmedRequest, Attempt: op.attempt})
}

func (k *Keeper) answered(out *outputs, now time.Time, a Answered) {
	op := k.ops[a.ID]
	if op == nil || op.attempt != a.Attempt || op.stage != stageSent {
		return
	}
	op.release(out)
	switch a.Result {
	case CallRan:
		k.recordOutcome(out, now, op, a.Answer)
	case CallNotRun:
		k.tryAnotherWorker(out, op)
	case CallUnknown:
		k.remember(op.intent)
		k.end(out, op, Verdict{Kind: KindUnknown})
	}
}

// recordOutcome records the outcome. The answer is held until it is recorded, so that a
// repeated key gets the same answer from the next keeper, but no longer than OutcomeGrace:
// delivering the answer matters more than recording it.
func (k *Keeper) recordOutcome(out *outputs, now time.Time, op *operation, a *Answer) {
	op.stage, op.answer, op.answeredAt = stageAnswered, a, now
	if k.phase != phaseReady {
		k.finish(out, op)
		return
	}
	op.outcome = k.newRecord(now, op, Ran, a)
	k.remember(op.outcome)
	if a.size() > k.settings.MaxAnswerBytes {
		// Too large for the log; it stays available in this keeper's memory only.
		withoutAnswer := *op.outcome
		withoutAnswer.Answer, op.outcome = nil, &withoutAnswer
	}
	k.pending.push(op.outcome)
	if !k.retryAt.IsZero() {
		k.finish(out, op)
	}
}

// tryAnotherWorker sends the call to another worker after one that certainly did not run
// it. The intent stays in the log, so no other keeper sends the call.
func (k *Keeper) tryAnotherWorker(out *outputs, op *operation) {
	if op.tries >= k.settings.MaxTries || len(op.waiters) == 0 || k.phase != phaseReady {
		k.drop(out, op, Verdict{Kind: KindNotRun, Reason: ReasonWorkers, RetryAfter: k.settings.RetryInterval})
		return
	}
	k.acquire(out, op)
}

// expireWaiters answers requests that are past their deadlines, and asks the entry hosts
// again whether the others still wait.
func (k *Keeper) expireWaiters(out *outputs, now time.Time, op *operation) {
	if op.stage == stageAnswered && now.Sub(op.answeredAt) >= k.settings.OutcomeGrace {
		k.finish(out, op)
		return
	}
	var expired, waiting []Call
	for _, w := range op.waiters {
		if now.Before(w.Deadline) {
			waiting = append(waiting, w)
		} else {
			expired = append(expired, w)
		}
	}
	if len(expired) > 0 && op.stage < stageSent && len(waiting) == 0 {
		k.dropUnsent(out, now, op, Verdict{Kind: KindNotRun, Reason: ReasonDeadline, RetryAfter: k.settings.RetryInterval})
		return
	}
	if len(expired) > 0 && op.stage == stageAnswered {
		k.finish(out, op)
		return
	}
	// The key may still run, here or for another request.
	for _, w := range expired {
		out.reply(w, Verdict{Kind: KindUnknown, Reason: ReasonDeadline, Order: op.order})
	}
	op.waiters = waiting
	if len(expired) > 0 && op.stage < stageSent {
		k.dropUnwanted(out, op, Verdict{})
	}
	if op.stage == stagePlaced && now.Sub(op.readyAskedAt) >= readyInterval {
		k.askReady(out, now, op)
	}
}

// finish sends the answer to all requests that wait.
func (k *Keeper) finish(out *outputs, op *operation) {
	k.end(out, op, Verdict{Kind: KindRan, Answer: op.answer})
}

// drop ends an operation that was not sent and never will be. If the log may have its
// intent, a Void record replaces it, so that the key can be used again.
func (k *Keeper) drop(out *outputs, op *operation, v Verdict) {
	op.release(out)
	if op.intent != nil {
		k.pending.remove(op.id)
		if k.maybeLogged(op.intent) && k.phase == phaseReady {
			void := *op.intent
			void.At, void.State = k.nextTime(op.intent.At), Void
			k.remember(&void)
			k.pending.push(&void)
		}
	}
	k.end(out, op, v)
}

func (k *Keeper) end(out *outputs, op *operation, v Verdict) {
	delete(k.ops, op.id)
	v.Order = op.order
	for _, w := range op.waiters {
		out.reply(w, v)
	}
}
