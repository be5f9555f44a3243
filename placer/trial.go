package placer

import (
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/attributor"
	"github.com/cicadawood/cicadawood/quarantiner"
)

const (
	// storedTrials is how many of them count as tried for a part that was read from the store: a host
	// that has started does not know.
	storedTrials = 1
	// trialDelay is how long after a part was put in quarantine a request with it may be tried, and
	// trialWindow how long after that.
	trialDelay  = 300 * time.Millisecond
	trialWindow = time.Minute
	// maxTrials is the number of requests that are tried with one part, at all hosts together while
	// they agree on who tries: a part that crashes workers crashes one with the first that is run.
	maxTrials = 3
	// trialPause is the pause after the first request that was tried in vain; it grows with each. All
	// workers of a service may be down for a moment.
	trialPause = time.Second
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
	nextAt time.Time // no request is tried before
	flight uint64    // that is tried now; 0 if there is none
	count  int       // requests that were tried
	fewest int       // parts in quarantine of a request with it, at the fewest; 0 if none came
}

// SetTries sets whether this host tries requests. One of all hosts should.
func (v *View) SetTries(tries func() bool) { v.tries = tries }

// noteHeld records that a part was put in quarantine now, and that so many requests with it were
// tried.
func (v *View) noteHeld(now time.Time, p attributor.PartID, tried int) {
	v.trials[p] = &trial{heldAt: now, nextAt: now.Add(trialDelay), count: tried}
}

// triedParts returns the parts that a request would try: all that hold it back, if no request with
// one of them has fewer. Parts that come only together are tried together, and without the cause.
func (v *View) triedParts(now time.Time, req Request) []attributor.PartID {
	if _, held := v.quarantine.Quarantined(now, req.Fingerprint); held || v.tries == nil {
		return nil
	}
	held := slices.DeleteFunc(SharedParts(req.Parts), func(p attributor.PartID) bool {
		_, held := v.quarantine.Quarantined(now, quarantiner.FingerprintOfPart(uint64(p)))
		return !held
	})
	for _, p := range held {
		if t := v.trials[p]; t != nil && (t.fewest == 0 || len(held) < t.fewest) {
			t.fewest = len(held)
		}
	}
	if slices.ContainsFunc(held, func(p attributor.PartID) bool { return !v.mayTry(now, p, len(held)) }) {
		return nil
	}
	return held
}

// mayTry reports whether a request with a part, and so many parts in quarantine, may be tried now.
func (v *View) mayTry(now time.Time, p attributor.PartID, held int) bool {
	t := v.trials[p]
	if t == nil || t.flight != 0 || t.count >= maxTrials || held > t.fewest || !v.tries() {
		return false
	}
	return !now.Before(t.nextAt) && now.Sub(t.heldAt) < trialDelay+trialWindow
}

// startTrial records that a request tries parts.
func (v *View) startTrial(now time.Time, parts []attributor.PartID, id uint64) {
	for _, p := range parts {
		t := v.trials[p]
		t.flight = id
		t.count++
		t.nextAt = now.Add(time.Duration(t.count) * trialPause)
	}
}

// endTrial evaluates the end of a request that may have tried a part. After a crash none is tried
// again, unless nothing ran the request.
func (v *View) endTrial(id uint64, o Outcome, ran bool) {
	for p, t := range v.trials {
		if t.flight != id {
			continue
		}
		t.flight = 0
		switch o {
		case Answered:
			v.clearPart(p)
		case Disconnected:
			if ran {
				t.count = maxTrials
			}
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
