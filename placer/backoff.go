package placer

import "time"

// Backoff is the remaining time for which one host sends a worker no requests: it wants none,
// or no connection to it can be made.
type Backoff struct {
	Worker string
	Left   time.Duration
	NoPath bool // no host connects to the worker
}

// process identifies one process of a worker.
type process struct{ name, incarnation string }

func (w Worker) process() process { return process{w.Name, w.Incarnation} }

// Backoffs records for how long workers want no requests from this host, as they stated in
// refusals. The zero Backoffs is empty. It is not safe for concurrent use.
type Backoffs struct {
	until map[process]time.Time
}

// Report records that a worker wants no requests for d. A shorter time than that of an earlier
// refusal does not end that. Report reports whether the worker accepted requests before.
func (b *Backoffs) Report(now time.Time, w Worker, d time.Duration) bool {
	if b.until == nil {
		b.until = map[process]time.Time{}
	}
	accepted := b.Left(now, w) == 0
	if end := now.Add(d); end.After(b.until[w.process()]) {
		b.until[w.process()] = end
	}
	return accepted
}

// Left returns the remaining time for which a worker wants no requests; 0 is none.
func (b *Backoffs) Left(now time.Time, w Worker) time.Duration {
	return max(b.until[w.process()].Sub(now), 0)
}

// Sweep forgets the times that are over.
func (b *Backoffs) Sweep(now time.Time) {
	for p, end := range b.until {
		if !now.Before(end) {
			delete(b.until, p)
		}
	}
}

// Backoffs returns the workers of a service that want no requests, as b records.
func (v *View) Backoffs(now time.Time, service string, b *Backoffs) []Backoff {
	if len(b.until) == 0 {
		return nil
	}
	var out []Backoff
	for _, w := range v.sorted {
		if w.Service != service {
			continue
		}
		if left := b.Left(now, w.Worker); left > 0 {
			out = append(out, Backoff{Worker: w.Name, Left: left})
		}
	}
	return out
}

// backoff returns why the sending host sends a worker no requests; that of none is zero.
func (r Request) backoff(worker string) Backoff {
	for _, b := range r.Backoffs {
		if b.Worker == worker {
			return b
		}
	}
	return Backoff{}
}

// refuseUnplaceable refuses a request for which there is no candidate. If all workers that it
// could go to want no requests, or are not connected to, its caller may return when the first
// one may be.
func (v *View) refuseUnplaceable(req Request) *Refusal {
	if refusal := v.refuseBound(req); refusal != nil {
		return refusal
	}
	copyAt := v.workerOfCopy(req)
	soonest, reason := time.Duration(0), "backoff"
	for _, w := range v.sorted {
		if w.Service != req.Service || copyAt != "" && w.Name != copyAt {
			continue
		}
		held := req.backoff(w.Name)
		left := held.Left
		if left == 0 {
			return &Refusal{RetryAfter: noWorkersRetryAfter, Reason: "no_workers"}
		}
		if soonest == 0 || left < soonest {
			soonest = left
			if held.NoPath {
				reason = "no_path"
			}
		}
	}
	if soonest == 0 {
		return &Refusal{RetryAfter: noWorkersRetryAfter, Reason: "no_workers"}
	}
	return newRefusal(reason, soonest)
}
