package placer

import (
	"time"

	"github.com/cicadawood/cicadawood/attributor"
	"github.com/cicadawood/cicadawood/quarantiner"
)

// sendReportDelay is the usual delay of another host's report that it sent a request.
const sendReportDelay = 20 * time.Millisecond

// recordSuspicion updates the quarantine by how a flight ended.
func (v *View) recordSuspicion(now time.Time, f *flight, o Outcome) {
	switch o {
	case Disconnected:
		v.quarantine.WorkerCrashed(now, f.Fingerprint, f.Worker, f.earliestSent(quarantiner.UsualUpdateDelay))
		if v.ranAtWorker(now, f) {
			v.suspects.Crashed(now, f.Worker, attributor.Request{
				Content: uint64(f.Fingerprint), Parts: f.shared, SentAt: f.earliestSentAfterCrash(), Unproven: !v.provesWorker(now, f),
			})
		}
		v.crashReported[f.host] = now
	case Answered:
		v.quarantine.Answered(f.Fingerprint)
		v.suspects.Served(now, f.shared)
		v.workerAlive(now, f.Worker, now.Add(-quarantiner.MaxUpdateDelay))
	case Errored, Unproven:
		v.quarantine.Answered(f.Fingerprint)
		v.workerAlive(now, f.Worker, now.Add(-quarantiner.MaxUpdateDelay))
	case Refused, WrongWorker:
		v.workerAlive(now, f.Worker, f.earliestAnswer(0))
	case Broken, Canceled, Silent:
	}
}

// minRunShare is the part of the expected time to its first event after which a request counts as
// run by a worker that closed its connection.
const minRunShare = 1.0 / 3

// ranAtWorker reports whether a flight's worker was there to run it, as it has begun to answer or
// took its time. Something else may accept the connections of a worker that is down and close them
// at once; other hosts may send to one that this host's list has no longer.
func (v *View) ranAtWorker(now time.Time, f *flight) bool {
	w := v.workers[f.Worker]
	if f.begun || w == nil || !w.has(f) {
		return f.begun
	}
	expected := milliseconds(f.prefillLeft + w.overhead())
	return now.Sub(f.sentAt) >= time.Duration(minRunShare*float64(expected))
}

// closeNotice is how late a busy host may notice that a connection was closed.
const closeNotice = 50 * time.Millisecond

// provesWorker reports whether a flight that ended with its connection shows that its worker was
// there: it has begun to answer, or lasted, or the worker has answered since it was listed. The list
// may name workers of an older snapshot.
func (v *View) provesWorker(now time.Time, f *flight) bool {
	w := v.workers[f.Worker]
	return f.begun || w != nil && w.seen || now.Sub(f.sentAt) >= closeNotice
}

// workerAlive records that a worker was alive at a time.
func (v *View) workerAlive(now time.Time, worker string, at time.Time) {
	if w := v.workers[worker]; w != nil {
		w.seen = true
	}
	v.quarantine.Alive(now, worker, at)
	v.suspects.Alive(now, worker, at)
}

// aliveAfterFirstEvent is how long a worker that lives after the first event of a stream shows
// that no part of the stream's prompt crashes it.
const aliveAfterFirstEvent = time.Second

// recordSurvivors records the streams that a worker has begun and outlived by now: it has just
// begun another one.
func (v *View) recordSurvivors(now time.Time, w *worker) {
	if !v.suspects.Active() {
		return
	}
	for _, f := range w.flights {
		if f.begun && now.Sub(f.begunAt) > aliveAfterFirstEvent+quarantiner.MaxUpdateDelay {
			v.suspects.Served(now, f.shared)
		}
	}
}

// earliestSent returns the earliest time at which the flight may have been sent, given the delay
// of other hosts' reports. It matters when all workers lose power at once, and copies that other
// hosts sent before are reported afterwards.
func (f *flight) earliestSent(delay time.Duration) time.Time {
	if f.host == "" {
		return f.sentAt
	}
	return f.sentAt.Add(-delay)
}

// earliestSentAfterCrash is like earliestSent. A host that reports a crash and then that it sent a
// request did so in this order.
func (f *flight) earliestSentAfterCrash() time.Time {
	earliest := f.earliestSent(sendReportDelay)
	if f.crashReported.After(earliest) {
		return f.crashReported
	}
	return earliest
}

// earliestAnswer returns the earliest time at which the worker may have sent the flight's first
// event: another host's report that it was sent may have been late.
func (f *flight) earliestAnswer(took time.Duration) time.Time {
	if f.host == "" {
		return f.sentAt.Add(took)
	}
	return f.sentAt.Add(took - quarantiner.MaxUpdateDelay)
}

// judge evaluates the crashes that were reported, and puts the parts that caused them in
// quarantine.
func (v *View) judge(now time.Time) {
	if !v.suspects.Active() {
		return
	}
	found, explained := v.suspects.Judge(now)
	for _, f := range found {
		var crashes []quarantiner.Crash
		for _, m := range f.Crashes {
			crashes = append(crashes, quarantiner.Crash(m))
		}
		v.noteHeld(now, f.Part, 0)
		v.quarantine.Hold(now, quarantiner.FingerprintOfPart(uint64(f.Part)), crashes)
	}
	for _, m := range explained {
		v.quarantine.Explain(now, quarantiner.Crash(m))
	}
}

// ReceiveQuarantined adds an entry of another host, which has just made it, or one from the store to
// the quarantine. It reports whether it was not quarantined here yet.
func (v *View) ReceiveQuarantined(now time.Time, e quarantiner.Entry, stored bool) bool {
	if !v.quarantine.Receive(now, e) {
		return false
	}
	if id, ok := e.Fingerprint.Part(); ok {
		tried := 0
		if stored {
			tried = storedTrials
		}
		v.noteHeld(now, attributor.PartID(id), tried)
		v.suspects.HeldElsewhere(attributor.PartID(id), e.Workers)
	}
	return true
}

// HeldBack reports whether a request is in quarantine, by its content or by a part of its prompt,
// and for how much longer.
func (v *View) HeldBack(now time.Time, req Request) (time.Duration, bool) {
	remaining, held := v.quarantine.Quarantined(now, req.Fingerprint)
	for _, p := range SharedParts(req.Parts) {
		if r, ok := v.quarantine.Quarantined(now, quarantiner.FingerprintOfPart(uint64(p))); ok {
			remaining, held = max(remaining, r), true
		}
	}
	return remaining, held
}

// knownCauses is the attributor's view of the parts in quarantine.
type knownCauses struct{ quarantine *quarantiner.Tracker }

// Held implements attributor.Known.
func (k knownCauses) Held(now time.Time, p attributor.PartID) bool {
	_, held := k.quarantine.Quarantined(now, quarantiner.FingerprintOfPart(uint64(p)))
	return held
}

// OnProbation implements attributor.Known.
func (k knownCauses) OnProbation(p attributor.PartID) bool {
	return k.quarantine.OnProbation(quarantiner.FingerprintOfPart(uint64(p)))
}

// workerOfCopy returns the worker that has a copy of a suspected request; "" if there is none,
// or if the request was there before. Copies of a request that crashes workers arrive faster
// than they crash them, and would crash one worker each. Together they crash one.
func (v *View) workerOfCopy(req Request) string {
	if !v.quarantine.Suspected(req.Fingerprint) {
		return ""
	}
	return v.workerOf(req, func(f *flight) bool { return f.Fingerprint == req.Fingerprint })
}

// workerOf returns the worker of the first flight that is accepted and whose worker may get the
// request; "" if there is none.
func (v *View) workerOf(req Request, accept func(*flight) bool) string {
	worker, id := "", uint64(0)
	for _, f := range v.flights {
		w := v.workers[f.Worker]
		if accept(f) && !excluded(req, f.Worker) && w != nil && v.mayContinue(w, req) && (worker == "" || f.ID < id) {
			worker, id = f.Worker, f.ID
		}
	}
	return worker
}

// Quarantine returns the tracker of requests that crashed workers.
func (v *View) Quarantine() *quarantiner.Tracker { return &v.quarantine }

// Suspects returns the attributor of crashes to parts of prompts.
func (v *View) Suspects() *attributor.Attributor { return &v.suspects }
