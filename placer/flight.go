package placer

import "time"

const (
	// overdueMost is how long after its end a flight that nobody ended is kept.
	overdueMost = time.Second
	// overFor is how long it is remembered that a request ended of which nothing else was
	// heard: words of different hosts pass one another by less.
	overFor = 2 * time.Second
)

// flight is a Flight as the view keeps it.
type flight struct {
	Flight
	from   string // host; "" for this one
	index  int    // among its worker's
	at     time.Time
	unread float64       // milliseconds of reading that are left, as predicted
	readBy time.Time     // when it must have been read; zero before
	alone  bool          // nothing else was read from its sending to its first event
	begun  bool          // its first event was seen
	rounds float64       // of work that its plain worker needed to come to its answer, as predicted
	until  time.Time     // its host is gone, and it must have ended by then; zero else
	token  float64       // milliseconds that a token took as it was sent
	ends   float64       // milliseconds until its last event, as predicted by this host; 0 where that is not known
	took   time.Duration // until its first event or its answer, as its host saw; 0 before
}

// Receive takes a flight that another host told of.
func (v *View) Receive(now time.Time, from string, f Flight) {
	x := v.hear(now, from, f)
	if x == nil {
		return
	}
	if w := v.workers[f.Worker]; w != nil {
		v.offers.note(now, OfferedLoad{Service: w.Service, Tier: f.Tier, Count: 1, Output: f.Output, Prefill: milliseconds(x.unread)})
	}
}

// hear counts a flight that another host told of; nil where it is over or known.
func (v *View) hear(now time.Time, from string, f Flight) *flight {
	v.told = now
	if _, over := v.over[f.ID]; over {
		// Failure: one host tells that a request was sent, another that it ended, and the
		// second word comes first. Taken in that order, the request never ends.
		delete(v.over, f.ID)
		return nil
	}
	if v.flights[f.ID] != nil {
		return nil
	}
	return v.add(now, from, f)
}

// add counts a flight at its worker, and returns it as the view keeps it.
func (v *View) add(now time.Time, from string, f Flight) *flight {
	x := &flight{Flight: f, from: from, at: now}
	v.flights[f.ID] = x
	if w := v.workers[f.Worker]; w != nil {
		w.take(now, x)
		v.give(now, w, x)
	}
	return x
}

// Begun takes that a flight's first event was seen now.
func (v *View) Begun(now time.Time, id uint64) {
	if f := v.flights[id]; f != nil {
		v.BegunAfter(now, id, now.Sub(f.at))
	}
}

// BegunAfter takes that a flight's first event was seen so long after it was sent,
// wherever that was. What one host sees teaches all: in a large fleet a decider sends
// next to nothing itself.
func (v *View) BegunAfter(now time.Time, id uint64, took time.Duration) {
	f := v.flights[id]
	if f == nil || f.begun {
		return
	}
	f.begun, f.took = true, took
	v.suspects.Alive(now, f.Worker, f.answeredAt(took))
	if w := v.workers[f.Worker]; w != nil && w.has(f) {
		w.began(now, f, took)
	}
}

// Ended takes that a flight is over.
func (v *View) Ended(now time.Time, id uint64, o Outcome) {
	f := v.flights[id]
	if f == nil {
		v.over[id] = now
		return
	}
	v.suspect(now, f, o)
	w := v.forget(now, f)
	if w == nil {
		return
	}
	w.judge(now, o)
	v.learnLength(now, w, f, o)
	w.learnEnd(f, inMilliseconds(now.Sub(f.at)), o)
	if w.CacheTokens == 0 && o == Answered {
		v.learnPlain(w.Service, f)
	}
}

// forget takes a flight off and returns the worker that had it; nil where the view knows
// none, or only one that started after it was sent.
func (v *View) forget(now time.Time, f *flight) *worker {
	delete(v.flights, f.ID)
	w := v.workers[f.Worker]
	if w == nil || !w.has(f) {
		return nil
	}
	w.drop(now, f)
	return w
}

// HostLost takes that a host is gone. Workers drop requests whose connections end, so that
// what it had under way at plain services is forgotten. Failure: the connections of a host
// that lost its power do not end, and engines go on with its streams; forgotten at once,
// their slots are given away, and streams are taken off for it. So these count until they
// must have ended.
func (v *View) HostLost(now time.Time, host string) {
	for _, f := range v.flights {
		if f.from != host || host == "" {
			continue
		}
		if w := v.workers[f.Worker]; w != nil && w.CacheTokens > 0 && w.has(f) {
			f.until = f.at.Add(v.lasts(w, f))
			continue
		}
		v.forget(now, f)
	}
}

// lasts is how long after it was sent a flight to an engine is expected to end.
func (v *View) lasts(w *worker, f *flight) time.Duration {
	tokens := float64(f.Output) * v.offers.of(w.Service, f.Tier).told()
	return min(milliseconds(f.unread+w.rest()+tokens*f.token), f.Left)
}

// Sweep forgets flights that must be over, as what other hosts said of their end
// was lost.
func (v *View) Sweep(now time.Time) {
	for id, at := range v.over {
		if now.Sub(at) > overFor {
			delete(v.over, id)
		}
	}
	for _, f := range v.flights {
		if now.Sub(f.at) > f.Left+overdueMost || !f.until.IsZero() && now.After(f.until) {
			v.forget(now, f)
		}
	}
}
