package placer

import (
	"time"

	"github.com/cicadawood/cicadawood/quarantiner"
)

// recordSuspicion updates the quarantine by how a flight ended.
func (v *View) recordSuspicion(now time.Time, f *flight, o Outcome) {
	switch o {
	case Disconnected:
		v.quarantine.WorkerCrashed(now, f.Fingerprint, f.Worker, f.earliestSent())
	case Answered, Errored:
		v.quarantine.Answered(f.Fingerprint)
		v.quarantine.Alive(now, f.Worker, now.Add(-quarantiner.MaxUpdateDelay))
	case Refused, WrongWorker:
		v.quarantine.Alive(now, f.Worker, f.earliestAnswer(0))
	case Broken, Canceled, Silent:
	}
}

// earliestSent returns the earliest time at which the flight may have been sent. It matters
// when all workers lose power at once, and copies that other hosts sent before are reported
// afterwards.
func (f *flight) earliestSent() time.Time {
	if f.host == "" {
		return f.sentAt
	}
	return f.sentAt.Add(-quarantiner.UsualUpdateDelay)
}

// earliestAnswer returns the earliest time at which the worker may have sent the flight's first
// event: another host's report that it was sent may have been late.
func (f *flight) earliestAnswer(took time.Duration) time.Time {
	if f.host == "" {
		return f.sentAt.Add(took)
	}
	return f.sentAt.Add(took - quarantiner.MaxUpdateDelay)
}

// workerOfCopy returns the worker that has a copy of a suspected request; "" if there is none,
// or if the request was there before. Copies of a request that crashes workers arrive faster
// than they crash them, and would crash one worker each. Together they crash one.
func (v *View) workerOfCopy(req Request) string {
	if !v.quarantine.Suspected(req.Fingerprint) {
		return ""
	}
	worker, id := "", uint64(0)
	for _, f := range v.flights {
		w := v.workers[f.Worker]
		if f.Fingerprint == req.Fingerprint && !excluded(req, f.Worker) && w != nil && v.mayContinue(w, req) && (worker == "" || f.ID < id) {
			worker, id = f.Worker, f.ID
		}
	}
	return worker
}

// Quarantine returns the tracker of requests that crashed workers.
func (v *View) Quarantine() *quarantiner.Tracker { return &v.quarantine }
