package keeper

import (
	"slices"
	"time"
)

// doubtTime bounds the wait of a "not run" for the head: less than an entry waits
// past its deadline, so that the keeper's word is still heard.
const doubtTime = 200 * time.Millisecond

// doubt is a "not run" that is not told yet. Failure: a keeper was paused, another
// one sealed it out and ran the key, and this one has not noticed; its log is old,
// and its "not run" would have the caller run the call a second time. So it is told
// only after a read or write of the head, begun after the request came in, has
// found the head this keeper's own: then nobody had sealed it, and the log in
// memory is whole. No clock and no roster could say so: a pause may come between
// any check and the reply.
type doubt struct {
	call    Call
	verdict Verdict
	until   time.Time
	checked bool // the call of the store under way began after it
}

// doubtful tells a call "not run" when the head is confirmed. All that wait share
// one read.
func (k *Keeper) doubtful(out *outputs, now time.Time, c Call, v Verdict) {
	if !k.retryAt.IsZero() { // can't be confirmed until the store has answered again
		v.Reason = ReasonStore
		k.undecided(out, c, v)
		return
	}
	if len(k.doubts) >= k.settings.MaxOperations {
		k.undecided(out, c, v)
		return
	}
	k.doubts = append(k.doubts, &doubt{call: c, verdict: v, until: now.Add(doubtTime)})
}

// undecided tells a call that its key may have run, and when to ask again.
func (k *Keeper) undecided(out *outputs, c Call, v Verdict) {
	out.reply(c, Verdict{Kind: KindUnknown, Reason: v.Reason, After: k.settings.RetryInterval, Epoch: v.Epoch})
}

// confirm reads the head for the doubts that no write will confirm. Reads and
// commits share one bound, so that refusing many costs no more than taking them.
func (k *Keeper) confirm(out *outputs) {
	if k.busy || len(k.doubts) == 0 || k.tokens < 1 {
		return
	}
	k.tokens--
	k.read(out)
}

// cover has the call of the store that begins now decide about the doubts so far.
func (k *Keeper) cover() {
	for _, d := range k.doubts {
		d.checked = true
	}
}

// confirmed tells what the call of the store that has just ended has decided.
func (k *Keeper) confirmed(out *outputs) {
	k.doubts = slices.DeleteFunc(k.doubts, func(d *doubt) bool {
		if d.checked {
			out.reply(d.call, d.verdict)
		}
		return d.checked
	})
}

// undecide ends doubts that can't be decided: all in an outage, else those that have
// waited too long.
func (k *Keeper) undecide(out *outputs, over func(*doubt) bool) {
	k.doubts = slices.DeleteFunc(k.doubts, func(d *doubt) bool {
		if !over(d) {
			return false
		}
		k.undecided(out, d.call, d.verdict)
		return true
	})
}

// dropUnsure ends an operation that was not sent. With its intent in the log the
// key is certainly this keeper's, and "not run" is true; else the head decides.
func (k *Keeper) dropUnsure(out *outputs, now time.Time, op *operation, v Verdict) {
	if op.recorded {
		k.drop(out, op, v)
		return
	}
	waiters := op.waiters
	op.waiters = nil
	k.drop(out, op, Verdict{})
	v.Epoch = op.order
	for _, w := range waiters {
		k.doubtful(out, now, w, v)
	}
}

// rejoin forgets the log. The host was declared dead: others may have sealed it.
// The end of a call of the store that is under way says nothing any more, but no
// other begins before it.
func (k *Keeper) rejoin(out *outputs) {
	busy := k.busy
	k.lost(out)
	k.busy, k.outlived = busy, busy
}

// outlasts takes the end of a call of the store that began before a rejoin.
func (k *Keeper) outlasts() bool {
	was := k.outlived
	if was {
		k.outlived, k.busy = false, false
	}
	return was
}
