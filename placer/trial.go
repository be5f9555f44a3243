package placer

import (
	"time"

	"github.com/cicadawood/cicadawood/attributor"
	"github.com/cicadawood/cicadawood/quarantiner"
)

const (
	// trialDelay is how long after a part was put in quarantine a request with it may be tried, and
	// trialWindow how long after that.
	trialDelay  = time.Second
	trialWindow = time.Minute
	// maxTrials is the number of requests that are tried with one part, at all hosts together while
	// they agree on who tries: a part that crashes workers crashes one with the first of them.
	maxTrials = 2
	// trialSurvival is how long a worker that lives on after the first event of a tried request shows
	// that the part does not crash it.
	trialSurvival = 500 * time.Millisecond
)

// trials are the parts of which a request may be tried: a part that only came together with the
// cause is held back, too, and would stay so.
type trials map[attributor.PartID]*trial

// trial is the state of one part.
type trial struct {
	heldAt time.Time
	flight uint64 // that is tried now; 0 if there is none
	count  int    // requests that were tried
}

// SetTries sets which parts this host tries.
func (v *View) SetTries(tries func(attributor.PartID) bool) { v.tries = tries }

// noteHeld records that a part was put in quarantine now.
func (v *View) noteHeld(now time.Time, p attributor.PartID) {
	v.trials[p] = &trial{heldAt: now}
}

// triedPart returns the part that a request would try: the only one that holds it back.
func (v *View) triedPart(now time.Time, req Request) (attributor.PartID, bool) {
	if _, held := v.quarantine.Quarantined(now, req.Fingerprint); held || v.tries == nil {
		return 0, false
	}
	var found attributor.PartID
	n := 0
	for _, p := range SharedParts(req.Parts) {
		if _, held := v.quarantine.Quarantined(now, quarantiner.FingerprintOfPart(uint64(p))); held {
			found = p
			n++
		}
	}
	return found, n == 1 && v.mayTry(now, found)
}

// mayTry reports whether a request with a part may be tried now.
func (v *View) mayTry(now time.Time, p attributor.PartID) bool {
	t := v.trials[p]
	if t == nil || t.flight != 0 || t.count >= maxTrials || !v.tries(p) {
		return false
	}
	since := now.Sub(t.heldAt)
	return since >= trialDelay && since < trialDelay+trialWindow
}

// startTrial records that a request tries a part.
func (v *View) startTrial(p attributor.PartID, id uint64) {
	t := v.trials[p]
	t.flight = id
	t.count++
}

// endTrial evaluates the end of a request that may have tried a part.
func (v *View) endTrial(id uint64, o Outcome) {
	for p, t := range v.trials {
		if t.flight != id {
			continue
		}
		t.flight = 0
		switch o {
		case Answered:
			v.clearPart(p)
		case Disconnected:
			t.count = maxTrials
		case Errored, Refused, WrongWorker, Broken, Canceled, Silent, Unproven:
		}
	}
}

// sweepTrials releases the parts that are tried by a request which its worker outlives, and forgets
// those that are not tried any more.
func (v *View) sweepTrials(now time.Time) {
	for p, t := range v.trials {
		f := v.flights[t.flight]
		switch {
		case t.flight != 0 && f != nil && f.begun && now.Sub(f.begunAt) > trialSurvival:
			v.clearPart(p)
		case now.Sub(t.heldAt) > trialDelay+trialWindow && f == nil:
			delete(v.trials, p)
		}
	}
}

// clearPart releases a part that was shown to be sound.
func (v *View) clearPart(p attributor.PartID) {
	delete(v.trials, p)
	v.quarantine.Release(quarantiner.FingerprintOfPart(uint64(p)))
}
