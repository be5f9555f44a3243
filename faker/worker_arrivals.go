package faker

import "time"

// arrival is one request received.
type arrival struct {
	id          string
	at          time.Time
	misdirected bool // meant for another worker
}

// refusal is one request refused with Retry-After.
type refusal struct {
	id         string
	at         time.Time
	retryAfter time.Duration
}

// MaxArrivals returns the maximum number of requests received in any window between from and
// to. It counts those for which include returns true.
func (k *Worker) MaxArrivals(from, to time.Time, window time.Duration, include func(id string) bool) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var times []time.Time
	for _, a := range k.arrivals {
		if !a.at.Before(from) && a.at.Before(to) && include(a.id) {
			times = append(times, a.at)
		}
	}
	highest, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// EachArrival calls f for each request received, in order, also for those that were refused or meant
// for another worker.
func (k *Worker) EachArrival(f func(request string, at time.Time)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range k.arrivals {
		f(a.id, a.at)
	}
}

// Received reports whether a request meant for this worker was received.
func (k *Worker) Received(request string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range k.arrivals {
		if a.id == request && !a.misdirected {
			return true
		}
	}
	return false
}

// LeavingBy reports whether the worker's answers stated that it is leaving from before the
// given time.
func (k *Worker) LeavingBy(at time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.leftAt.IsZero() && k.leftAt.Before(at)
}

// Refusals returns the number of requests refused with Retry-After.
func (k *Worker) Refusals() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.refusals)
}

// MaxArrivalsInRetryAfter returns the maximum number of requests received from one host between
// grace after a refusal of that host and the end of its Retry-After. sender returns the host
// that sent a request, or false for requests that don't count.
func (k *Worker) MaxArrivalsInRetryAfter(grace time.Duration, sender func(id string) (host string, ok bool)) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	highest := 0
	for _, r := range k.refusals {
		host, ok := sender(r.id)
		if !ok {
			continue
		}
		count := 0
		for _, a := range k.arrivals {
			from, counts := sender(a.id)
			if counts && from == host && a.at.After(r.at.Add(grace)) && a.at.Before(r.at.Add(r.retryAfter)) {
				count++
			}
		}
		highest = max(highest, count)
	}
	return highest
}

// ArrivalsAfter returns how often a request meant for this worker was received after a time.
func (k *Worker) ArrivalsAfter(request string, from time.Time) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, a := range k.arrivals {
		if a.id == request && !a.misdirected && a.at.After(from) {
			n++
		}
	}
	return n
}
