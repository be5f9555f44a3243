// Package persister keeps in the platform's store what must outlast all hosts. What is due is decided
// without I/O, by the goroutine that owns the state; calls run one at a time on a goroutine of their own.
package persister

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/quarantiner"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// prefix is the prefix of the quarantine's objects in the platform's store, one
	// for each entry.
	prefix = "quarantine/"
	// minOwnership is how long a host must own the role before it calls the store: a host that
	// starts knows only itself at first, and so owns every role.
	minOwnership = time.Second
	// storeRetryDelay is the pause after a failed call.
	storeRetryDelay = time.Second
	// maxWorkers and maxNameBytes bound the workers of an entry: hosts send them to one another.
	maxWorkers   = 32
	maxNameBytes = 255
)

// Reasons why an object describes no entry that can be used.
var (
	errName    = errors.New("not the object of its fingerprint")
	errSpan    = errors.New("no duration")
	errWorkers = fmt.Errorf("over %d workers, or a name of over %d bytes", maxWorkers, maxNameBytes)
)

// Quarantine keeps quarantined requests in the platform's store, one call at a time.
// Without it, after a power failure of all hosts, each quarantined request would crash
// three more workers. Only one goroutine may use it, except for Run.
type Quarantine struct {
	store      storer.Store
	tasks      chan task
	ownedSince time.Time // when this host became the owner of the role; zero if it is not
	retryAt    time.Time // no call before
	busy       bool
	stale      bool                      // the call under way began before the store was restored
	loaded     bool                      // stored is known
	adopted    bool                      // the stored entries were merged since this host became the owner
	stored     []quarantiner.Fingerprint // fingerprints of the entries in the store
}

// task is one call: an entry to write or one to remove; if neither is set, all
// entries are read.
type task struct {
	write  *quarantiner.Entry
	remove quarantiner.Fingerprint
}

// Result is the result of a call.
type Result struct {
	task      task
	call      string              // read, write or remove
	entries   []quarantiner.Entry // entries read
	malformed error               // errors of objects that can't be decoded; they are left out
	err       error
}

// Call returns what was called: read, write or remove.
func (r Result) Call() string { return r.call }

// Err returns why the call failed, or nil.
func (r Result) Err() error { return r.err }

// Malformed returns the errors of objects that can't be decoded, or nil. They are left out.
func (r Result) Malformed() error { return r.malformed }

// NewQuarantine returns a Quarantine over a store.
func NewQuarantine(s storer.Store) *Quarantine {
	return &Quarantine{store: s, tasks: make(chan task, 1)}
}

// Sweep starts the next call that is due, if the host owns the role.
func (q *Quarantine) Sweep(now time.Time, owns bool, entries []quarantiner.Entry) {
	switch {
	case !owns:
		q.ownedSince, q.loaded, q.adopted, q.stored = time.Time{}, false, false, nil
		return
	case q.ownedSince.IsZero():
		q.ownedSince = now
		return
	case q.busy, now.Sub(q.ownedSince) < minOwnership, now.Before(q.retryAt):
		return
	}
	if job, due := q.nextTask(entries); due {
		q.busy = true
		q.tasks <- job
	}
}

// nextTask returns the next call that updates the store, or false if it is up to date.
func (q *Quarantine) nextTask(entries []quarantiner.Entry) (task, bool) {
	if !q.loaded {
		return task{}, true
	}
	for i := range entries {
		if !slices.Contains(q.stored, entries[i].Fingerprint) {
			return task{write: &entries[i]}, true
		}
	}
	for _, f := range q.stored {
		if !slices.ContainsFunc(entries, func(h quarantiner.Entry) bool { return h.Fingerprint == f }) {
			return task{remove: f}, true
		}
	}
	return task{}, false
}

// StoreRestored handles that the store was restored from an older snapshot: the entries
// are read again. Entries written since that snapshot are then written again, and those
// removed since are removed again.
func (q *Quarantine) StoreRestored() {
	q.loaded, q.stored, q.stale = false, nil, q.busy
}

// Done handles the result of a call, and returns the entries to merge.
func (q *Quarantine) Done(now time.Time, e Result) []quarantiner.Entry {
	q.busy = false
	if q.stale {
		q.stale = false // the call may have reached the store before or after it was restored
		return nil
	}
	switch {
	case e.err != nil:
		q.retryAt = now.Add(storeRetryDelay)
	case e.task.write != nil:
		q.stored = append(q.stored, e.task.write.Fingerprint)
	case e.task.remove != 0:
		q.stored = slices.DeleteFunc(q.stored, func(f quarantiner.Fingerprint) bool { return f == e.task.remove })
	default:
		q.loaded = true
		for _, h := range e.entries {
			q.stored = append(q.stored, h.Fingerprint)
		}
		if !q.adopted {
			q.adopted = true
			return e.entries
		}
	}
	return nil
}

// Run makes the calls until ctx ends, and reports their results, which belong to Done.
func (q *Quarantine) Run(ctx context.Context, report func(Result)) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-q.tasks:
			report(q.call(ctx, job))
		}
	}
}

// storedEntry is a quarantined request as it is stored. The remaining time is not stored,
// as clocks may differ: the quarantine starts again in full when the entry is read.
type storedEntry struct {
	Fingerprint quarantiner.Fingerprint `json:"fingerprint"`
	Span        time.Duration           `json:"span"` // in nanoseconds
	Workers     []string                `json:"workers"`
}

func (q *Quarantine) call(ctx context.Context, job task) Result {
	done := Result{task: job}
	switch {
	case job.write != nil:
		done.call = "write"
		value, err := json.Marshal(storedEntry{job.write.Fingerprint, job.write.Duration, job.write.Workers})
		if err == nil {
			_, err = q.store.Put(ctx, prefix+job.write.Fingerprint.String(), value, storer.Condition{})
		}
		done.err = err
	case job.remove != 0:
		done.call = "remove"
		if err := q.store.Delete(ctx, prefix+job.remove.String(), storer.Condition{}); !errors.Is(err, storer.ErrNotFound) {
			done.err = err
		}
	default:
		done.call = "read"
		done.entries, done.malformed, done.err = q.list(ctx)
	}
	return done
}

// list reads the entries in the store, and reports objects that can't be decoded.
func (q *Quarantine) list(ctx context.Context) (entries []quarantiner.Entry, malformed, err error) {
	objects, _, err := q.store.List(ctx, prefix)
	if err != nil {
		return nil, nil, err
	}
	for _, o := range objects {
		entry, err := decodeEntry(o)
		if err != nil {
			malformed = errors.Join(malformed, fmt.Errorf("%s: %w", o.Key, err))
			continue
		}
		entries = append(entries, entry)
	}
	return entries, malformed, nil
}

// decodeEntry decodes an object, and checks what hosts keep of it and send to one another.
func decodeEntry(o storer.Object) (quarantiner.Entry, error) {
	var h storedEntry
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return quarantiner.Entry{}, err
	}
	tooLong := func(name string) bool { return len(name) > maxNameBytes }
	switch {
	case h.Fingerprint == 0 || o.Key != prefix+h.Fingerprint.String():
		return quarantiner.Entry{}, errName
	case h.Span <= 0:
		return quarantiner.Entry{}, errSpan
	case len(h.Workers) > maxWorkers || slices.ContainsFunc(h.Workers, tooLong):
		return quarantiner.Entry{}, errWorkers
	}
	return quarantiner.Entry{Fingerprint: h.Fingerprint, Remaining: h.Span, Duration: h.Span, Workers: h.Workers}, nil
}
