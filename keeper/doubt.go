package keeper

import (
	"slices"
	"time"
)

// confirmTimeout bounds the wait of a verdict for a confirmed head. It is shorter than the
// time that an entry host waits past the deadline of a call, so that the verdict still
// reaches it.
const confirmTimeout = 200 * time.Millisecond

// unconfirmed is a "not run" or "reused" verdict that is held until the head is confirmed.
// It guards against this failure: while a keeper is paused, another one seals the log and
// runs the key. The log in memory is then outdated, and on "not run" the caller would run
// the call a second time. So the verdict is sent only after a read or write of the head,
// begun after the request arrived, has shown that the head is still this keeper's own:
// then no other keeper had sealed the log, and the log in memory is complete. Neither a
// clock nor the roster can show that: a pause may occur between any check and the reply.
type unconfirmed struct {
	call     Call
	verdict  Verdict
	deadline time.Time
	covered  bool // the read or write in flight began after the request arrived
}

// replyWhenConfirmed holds a verdict until the head is confirmed. All held verdicts share
// one read.
func (k *Keeper) replyWhenConfirmed(out *outputs, now time.Time, c Call, v Verdict) {
	if !k.retryAt.IsZero() { // can't be confirmed before the store answers again
		v.Reason = ReasonStore
		k.replyUnknown(out, c, v)
		return
	}
	if len(k.unconfirmed) >= k.settings.MaxOperations {
		k.replyUnknown(out, c, v)
		return
	}
	k.unconfirmed = append(k.unconfirmed, &unconfirmed{call: c, verdict: v, deadline: now.Add(confirmTimeout)})
}

// replyUnknown replies that the key may have run, and when to ask again.
func (k *Keeper) replyUnknown(out *outputs, c Call, v Verdict) {
	out.reply(c, Verdict{Kind: KindUnknown, Reason: v.Reason, RetryAfter: k.settings.RetryInterval, Order: v.Order})
}

// readToConfirm reads the head if verdicts wait and no write is in flight that confirms
// them. Reads and commits share one token bucket, so that refusing many calls costs the
// store no more than running them.
func (k *Keeper) readToConfirm(out *outputs) {
	if k.busy || len(k.unconfirmed) == 0 || k.tokens < 1 {
		return
	}
	k.tokens--
	k.readHead(out)
}

// coverUnconfirmed marks the verdicts held so far as decided by the read or write that
// begins now.
func (k *Keeper) coverUnconfirmed() {
	for _, u := range k.unconfirmed {
		u.covered = true
	}
}

// replyConfirmed sends the verdicts that the read or write just ended has confirmed.
func (k *Keeper) replyConfirmed(out *outputs) {
	k.unconfirmed = slices.DeleteFunc(k.unconfirmed, func(u *unconfirmed) bool {
		if u.covered {
			out.reply(u.call, u.verdict)
		}
		return u.covered
	})
}

// abandonUnconfirmed replies "unknown" to the held verdicts that match: all of them when
// the store is down, else those past their deadlines.
func (k *Keeper) abandonUnconfirmed(out *outputs, match func(*unconfirmed) bool) {
	k.unconfirmed = slices.DeleteFunc(k.unconfirmed, func(u *unconfirmed) bool {
		if !match(u) {
			return false
		}
		k.replyUnknown(out, u.call, u.verdict)
		return true
	})
}

// dropUnsent ends an operation that was not sent. If its intent is in the log, no other
// keeper runs the key, and "not run" is certain; else the verdict is held until the head
// is confirmed.
func (k *Keeper) dropUnsent(out *outputs, now time.Time, op *operation, v Verdict) {
	if op.recorded {
		k.drop(out, op, v)
		return
	}
	waiters := op.waiters
	op.waiters = nil
	k.drop(out, op, Verdict{})
	v.Order = op.order
	for _, w := range waiters {
		k.replyWhenConfirmed(out, now, w, v)
	}
}

// forgetLog discards the log in memory, as another keeper may have sealed it meanwhile. The
// result of a read or write of the head in flight is ignored, but no other begins before it
// ends.
func (k *Keeper) forgetLog(out *outputs) {
	busy := k.busy
	k.relinquish(out)
	k.busy, k.staleCall = busy, busy
}

// discardStale reports whether the read or write that has just ended began before the log
// was discarded, so that its result must be ignored.
func (k *Keeper) discardStale() bool {
	stale := k.staleCall
	if stale {
		k.staleCall, k.busy = false, false
	}
	return stale
}
