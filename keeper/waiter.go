package keeper

// Waiter is the entry's side of one request: which keeper may run it, and which
// verdict is the last. The zero value is ready to use.
//
// An entry lets one keeper go on at a time, and only ever a later one after it.
// A "not run" of an earlier keeper, or of one that has not read the log, says
// nothing about the one that was let go on.
type Waiter struct {
	bound uint64 // order of the operation that was told to go on; 0 for none
}

// Confirm answers a keeper's question whether the request still waits.
func (w *Waiter) Confirm(r Ready) bool {
	if r.Epoch < w.bound {
		return false
	}
	w.bound = r.Epoch
	return true
}

// Resolve takes a keeper's word. It returns what the caller is to be told, and
// whether that is the last word; where not, the entry asks the owner again.
func (w *Waiter) Resolve(v Verdict) (Verdict, bool) {
	switch v.Kind {
	case KindMoved:
		return v, false
	case KindNotRun, KindReused:
		if v.Epoch >= w.bound {
			return v, true
		}
		if v.Epoch == 0 {
			return Verdict{Kind: KindUnknown, Reason: v.Reason}, true
		}
		return v, false
	default:
		return v, true
	}
}

// Expired is what the caller is told when no keeper has spoken in time. The key
// may be running for an earlier request of it, so it is never "not run".
func (w *Waiter) Expired() Verdict { return Verdict{Kind: KindUnknown, Reason: ReasonDeadline} }
