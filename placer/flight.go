package placer

import (
	"time"

	"github.com/cicadawood/cicadawood/attributor"
)

const (
	// maxOverdue is how long after its deadline a flight is kept whose end was not reported.
	maxOverdue = time.Second
	// endedEarlyFor is how long the end of an unknown request is remembered. Updates of
	// different hosts overtake each other by less than that.
	endedEarlyFor = 2 * time.Second
)

// flight is a Flight with the view's own data.
type flight struct {
	Flight
	host          string // sender; "" is this host
	index         int    // in its worker's flights
	sentAt        time.Time
	prefillLeft   float64   // predicted milliseconds of prefill left
	prefilledAt   time.Time // predicted end of its prefill; zero before that
	alone         bool      // nothing else was prefilled between its sending and its first event
	begun         bool      // its first event was seen
	begunAt       time.Time // when its first event was reported
	shared        []attributor.PartID
	suspected     bool          // it has a part that was suspected when it was sent
	crashReported time.Time     // when its host last reported a crash before it reported this flight; zero for never
	rounds        float64       // predicted time to its plain worker's answer, in multiples of one answer's time
	expiresAt     time.Time     // predicted end, if its host is lost; zero otherwise
	tokenTime     float64       // milliseconds per token when it was sent
	predictedEnd  float64       // milliseconds to its last event, predicted by this host; 0 if unknown
	took          time.Duration // time to its first event or answer, measured by its host; 0 before that
}

// Receive adds a flight that another host reported.
func (v *View) Receive(now time.Time, host string, f Flight) {
	x := v.addReceived(now, host, f)
	if x == nil {
		return
	}
	if w := v.workers[f.Worker]; w != nil {
		v.offered.note(now, OfferedLoad{Service: w.Service, Tier: f.Tier, Count: 1, Output: f.Output, Prefill: milliseconds(x.prefillLeft)})
	}
}

// addReceived adds a flight that another host reported. It returns nil if the flight is over or
// already known.
func (v *View) addReceived(now time.Time, host string, f Flight) *flight {
	v.lastReceived = now
	if _, ended := v.endedEarly[f.ID]; ended {
		// One host reports that a request was sent, another that it ended, and the second
		// report arrived first. Adding the flight now would count it for good.
		delete(v.endedEarly, f.ID)
		return nil
	}
	if v.flights[f.ID] != nil {
		return nil
	}
	return v.add(now, host, f)
}

// add counts a flight at its worker, and returns the view's record of it.
func (v *View) add(now time.Time, host string, f Flight) *flight {
	x := &flight{Flight: f, host: host, sentAt: now, shared: SharedParts(f.Parts), crashReported: v.crashReported[host]}
	x.suspected = v.suspects.Active() && len(v.suspectsAmong(now, x.shared)) > 0
	v.suspects.Sent(x.shared)
	v.flights[f.ID] = x
	if w := v.workers[f.Worker]; w != nil {
		w.add(now, x)
		v.recordPrefill(now, w, x)
	}
	return x
}

// Begun records that a flight's first event was seen now.
func (v *View) Begun(now time.Time, id uint64) {
	if f := v.flights[id]; f != nil {
		v.BegunAfter(now, id, now.Sub(f.sentAt))
	}
}

// BegunAfter records that a flight's first event was seen so long after it was sent, by any
// host. The measurements of all hosts are learned from: in a large fleet, a host that decides
// sends few requests itself.
func (v *View) BegunAfter(now time.Time, id uint64, took time.Duration) {
	f := v.flights[id]
	if f == nil || f.begun {
		return
	}
	f.begun, f.begunAt, f.took = true, now, took
	v.workerAlive(now, f.Worker, f.earliestAnswer(took))
	if w := v.workers[f.Worker]; w != nil && w.has(f) {
		w.firstEvent(now, f, took)
		v.recordSurvivors(now, w)
	}
}

// Ended records that a flight ended.
func (v *View) Ended(now time.Time, id uint64, o Outcome) {
	f := v.flights[id]
	if f == nil {
		v.endedEarly[id] = now
		return
	}
	v.recordSuspicion(now, f, o)
	v.endTrial(id, o, v.ranAtWorker(now, f))
	w := v.forget(now, f)
	if w == nil {
		return
	}
	w.recordOutcome(now, o)
	v.learnLength(now, w, f, o)
	w.learnEnd(f, inMilliseconds(now.Sub(f.sentAt)), o)
	if w.CacheTokens == 0 && o.answered() {
		v.learnPlain(w.Service, f)
	}
}

// Knows reports whether a flight is under way.
func (v *View) Knows(id uint64) bool { return v.flights[id] != nil }

// forget removes a flight and returns its worker. It returns nil if the view does not know the
// worker, or only an incarnation that started after the flight was sent.
func (v *View) forget(now time.Time, f *flight) *worker {
	delete(v.flights, f.ID)
	w := v.workers[f.Worker]
	if w == nil || !w.has(f) {
		return nil
	}
	w.remove(now, f)
	return w
}

// HostLost handles the failure of a host. Workers drop requests whose connections close, so its
// flights to plain services are removed. But the connections of a host without power do not
// close, and engines go on with its streams; if those were removed immediately, their slots
// would be given away and streams would be preempted. They count until their predicted end.
func (v *View) HostLost(now time.Time, host string) {
	delete(v.crashReported, host)
	for _, f := range v.flights {
		if f.host != host || host == "" {
			continue
		}
		if w := v.workers[f.Worker]; w != nil && w.CacheTokens > 0 && w.has(f) {
			f.expiresAt = f.sentAt.Add(v.expectedDuration(w, f))
			continue
		}
		v.forget(now, f)
	}
}

// expectedDuration returns the expected time from sending to end of a flight to an engine.
func (v *View) expectedDuration(w *worker, f *flight) time.Duration {
	tokens := float64(f.Output) * v.offered.tier(w.Service, f.Tier).outputRatio()
	return min(milliseconds(f.prefillLeft+w.overhead()+tokens*f.tokenTime), f.Left)
}

// Sweep removes flights that must be over although their end was not reported, as the update
// was lost.
func (v *View) Sweep(now time.Time) {
	v.judge(now)
	v.suspects.Sweep(now)
	v.sweepTrials(now)
	for id, at := range v.endedEarly {
		if now.Sub(at) > endedEarlyFor {
			delete(v.endedEarly, id)
		}
	}
	for _, f := range v.flights {
		if now.Sub(f.sentAt) > f.Left+maxOverdue || !f.expiresAt.IsZero() && now.After(f.expiresAt) {
			v.forget(now, f)
		}
	}
}
