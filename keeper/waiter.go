package keeper

// Waiter is the entry host's side of one request: it decides which keeper may run the
// request, and which verdict is final. The zero value is ready to use.
//
// An entry host confirms a request to one keeper at a time, and after that only to later
// ones. A "not run" of an earlier keeper, or of one that has not loaded the log, proves
// nothing about the keeper that got the confirmation.
type Waiter struct {
	allowedOrder uint64 // order number of the operation that was confirmed last; 0 if none
}

// Confirm answers a keeper's Ready: it reports whether that keeper may run the request.
func (w *Waiter) Confirm(r Ready) bool {
	if r.Order < w.allowedOrder {
		return false
	}
	w.allowedOrder = r.Order
	return true
}

// Resolve handles a keeper's verdict. It returns the verdict for the caller and whether it
// is final; if not, the entry host asks the partition's owner again.
func (w *Waiter) Resolve(v Verdict) (Verdict, bool) {
	switch v.Kind {
	case KindMoved:
		return v, false
	case KindNotRun, KindReused:
		if v.Order >= w.allowedOrder {
			return v, true
		}
		if v.Order == 0 {
			return Verdict{Kind: KindUnknown, Reason: v.Reason}, true
		}
		return v, false
	default:
		return v, true
	}
}

// Expired returns the verdict for the caller when none has arrived in time. It is never
// "not run", as the key may be running for an earlier request.
func (w *Waiter) Expired() Verdict { return Verdict{Kind: KindUnknown, Reason: ReasonDeadline} }
