package placer

import "time"

// Basis is what a refusal was decided by.
type Basis struct {
	Worker  string        // the one that would have cost the least; "" where there is none
	Slots   int           // that it has
	Taken   int           // of these, by what this view believes to be there
	Kept    int           // of these, for the spread of more urgent routes
	Queue   time.Duration // until it has read what is as urgent as the request, or more
	Wait    time.Duration // until the request's first event, or a plain service's answer
	Bound   time.Duration // that the queue, or a plain service's wait, must not exceed
	End     time.Duration // until its last event
	Free    int           // slots of all its service's engines that nobody has
	Wanted  int           // of these, by more urgent routes
	Offered float64       // requests a second that are asked for of more urgent routes
	Held    time.Duration // for which one of those is expected to take a slot
	Age     time.Duration // since another host last told what it sent; 0 where none ever did
}

// basis is what a refusal of a request was decided by.
func (v *View) basis(now time.Time, a Request, best *option) Basis {
	b := Basis{
		Free: v.guard.free, Offered: v.guard.rate, Held: milliseconds(v.guard.held), Wanted: int(max(v.guard.wanted(), 0)),
	}
	if !v.told.IsZero() {
		b.Age = now.Sub(v.told)
	}
	if best == nil {
		return b
	}
	b.Worker, b.Slots, b.Taken, b.Kept = best.Name, best.Slots, len(best.flights), best.kept
	b.Queue, b.Wait, b.End = milliseconds(best.equals), milliseconds(best.wait), best.end(a)
	b.Bound = milliseconds(v.bound(best, a))
	return b
}

// bound is the milliseconds that a request may wait for others: for a prompt to be read,
// or for a plain service's answer.
func (v *View) bound(o *option, a Request) float64 {
	if o.CacheTokens == 0 {
		return v.plainMost(a)
	}
	return queueShare * inMilliseconds(a.Target)
}
