package placer

import (
	"time"

	"github.com/cicadawood/cicadawood/quarantiner"
)

// suspect takes what a flight's end says of the request.
func (v *View) suspect(now time.Time, f *flight, o Outcome) {
	switch o {
	case Disconnected:
		v.suspects.WorkerCrashed(now, f.Fingerprint, f.Worker, f.sentBy())
	case Answered, Errored:
		v.suspects.Answered(f.Fingerprint)
		v.suspects.Alive(now, f.Worker, now.Add(-quarantiner.MaxUpdateDelay))
	case Refused, WrongWorker:
		v.suspects.Alive(now, f.Worker, f.answeredAt(0))
	case Broken, Canceled:
	}
}

// sentBy is when the flight was sent at the earliest. Failure: all workers lose power in one
// moment, and copies that other hosts had sent before are heard of after it.
func (f *flight) sentBy() time.Time {
	if f.from == "" {
		return f.at
	}
	return f.at.Add(-quarantiner.UsualUpdateDelay)
}

// answeredAt is when the worker gave the flight's first event at the earliest: what another
// host sent may have been heard of late.
func (f *flight) answeredAt(took time.Duration) time.Time {
	if f.from == "" {
		return f.at.Add(took)
	}
	return f.at.Add(took - quarantiner.MaxUpdateDelay)
}

// beside is the worker at which one like a suspected request is; "" where none is, or
// where this one was there. Failure: copies of a request that ends workers come faster
// than they end them, and each takes one more with it. Together they take one.
func (v *View) beside(a Request) string {
	if !v.suspects.Suspected(a.Fingerprint) {
		return ""
	}
	worker, id := "", uint64(0)
	for _, f := range v.flights {
		if f.Fingerprint == a.Fingerprint && !excluded(a, f.Worker) && v.workers[f.Worker] != nil && (worker == "" || f.ID < id) {
			worker, id = f.Worker, f.ID
		}
	}
	return worker
}

// Quarantine is what the view knows of requests that ended workers.
func (v *View) Quarantine() *quarantiner.Tracker { return &v.suspects }
