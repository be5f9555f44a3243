// Package resumer decides where a stream that broke may go on: only at the software version of
// the worker that began it.
//
// A stream begins at the worker whose first event its caller gets. The host that carries the
// stream records that worker, and sends the record to other hosts with the first event, unless
// only one version can have begun it. A host at which a caller takes the stream up looks for
// the record, asks other hosts for it, and refuses what nobody knows. Records are found by a
// hash of the organisation and of the caller's attempt that brought the first event.
//
// The package does no I/O and takes times and messages as arguments. A Resumer is owned by its
// host's control goroutine.
package resumer

import "github.com/cespare/xxhash/v2"

// Worker is one start of a worker, with the version of the software that it runs.
type Worker struct {
	Service     string
	Name        string
	Incarnation string // differs between two starts under one name
	Version     string // "" if it is not known, which equals no other version
}

// Software identifies what a worker runs: its version, or, if that is not known, this start of
// this worker.
func (w Worker) Software() string {
	if w.Version != "" {
		return "version " + w.Version
	}
	return "start " + w.Name + "\x00" + w.Incarnation
}

// Continues reports whether a stream that other began may go on at the worker.
func (w Worker) Continues(other Worker) bool {
	return w.Service == other.Service && w.Software() == other.Software()
}

// Uncertain returns the worker without what is not certain: which start of it runs, and at
// which version. No worker continues what it began.
func (w Worker) Uncertain() Worker {
	return Worker{Service: w.Service, Name: w.Name, Incarnation: uncertain}
}

// IsUncertain reports whether the worker is one without what is not certain.
func (w Worker) IsUncertain() bool { return w.Version == "" && w.Incarnation == uncertain }

// uncertain stands for the incarnation of a worker that is not certain.
const uncertain = "uncertain"

// Key identifies a stream by its organisation and the ID of a caller's attempt; 0 is none.
type Key uint64

// KeyOf returns the key of a stream. An organisation can't name a stream of another one.
func KeyOf(organisation, attempt string) Key {
	if attempt == "" {
		return 0
	}
	return Key(xxhash.Sum64String(organisation + "\x00" + attempt))
}
