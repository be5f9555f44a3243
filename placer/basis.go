package placer

import "time"

// Basis is the data that a refusal was based on.
type Basis struct {
	Worker  string        // the one with the lowest cost; "" if there is none
	Slots   int           // of the worker
	Taken   int           // of these, the taken ones as far as this view knows
	Kept    int           // of these, the ones reserved for fluctuations of more urgent routes
	Queue   time.Duration // time to prefill all that is at least as urgent as the request
	Wait    time.Duration // expected time to the first event, or to a plain service's answer
	Bound   time.Duration // maximum of the queue, or of a plain service's wait
	End     time.Duration // expected time to the last event
	Free    int           // free slots of all engines of the service
	Wanted  int           // slots that more urgent routes will want while the worker has the request
	Offered float64       // requests of more urgent routes per second
	Held    time.Duration // expected time for which one of those takes a slot
	Age     time.Duration // time since another host last reported what it sent; 0 if none ever did
}

// basis returns what the refusal of a request was based on.
func (v *View) basis(now time.Time, req Request, best *candidate) Basis {
	b := Basis{
		Free: v.reservation.free, Offered: v.reservation.rate, Held: milliseconds(v.reservation.holdTime),
	}
	if !v.lastReceived.IsZero() {
		b.Age = now.Sub(v.lastReceived)
	}
	if best == nil {
		return b
	}
	b.Worker, b.Slots, b.Taken, b.Kept = best.Name, best.Slots, len(best.flights), best.reserved
	b.Queue, b.Wait, b.End = milliseconds(best.urgentBacklog), milliseconds(best.wait), best.expectedEnd(req)
	b.Bound, b.Wanted = milliseconds(v.bound(best, req)), int(max(v.reservation.wanted(best), 0))
	return b
}

// bound returns the maximum wait for other requests, in milliseconds: in the prefill queue, or
// for a plain service's answer.
func (v *View) bound(c *candidate, req Request) float64 {
	if c.CacheTokens == 0 {
		return v.maxPlainWait(req)
	}
	return maxQueueShare * inMilliseconds(req.Target)
}
