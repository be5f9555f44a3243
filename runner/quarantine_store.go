package runner

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
	// quarantinePrefix is the prefix of the quarantine's objects in the platform's store, one
	// for each entry.
	quarantinePrefix = "quarantine/"
	// minOwnership is how long a host must own the role before it calls the store: a host that
	// starts knows only itself at first, and so owns every role.
	minOwnership = time.Second
	// storeRetryDelay is the pause after a failed call.
	storeRetryDelay = time.Second
)

// quarantineStore keeps the quarantine in the platform's store, one call at a time.
// Without it, after a power failure of all hosts, each quarantined request would crash
// three more workers. Only the goroutine that owns the quarantineSync accesses it, except
// for jobs.
type quarantineStore struct {
	store      storer.Store
	jobs       chan quarantineJob
	report     func(quarantineStoreResult)
	ownedSince time.Time // when this host became the owner of the role; zero if it is not
	retryAt    time.Time // no call before
	busy       bool
	stale      bool                      // the call under way began before the store was restored
	loaded     bool                      // stored is known
	adopted    bool                      // the stored entries were merged since this host became the owner
	stored     []quarantiner.Fingerprint // fingerprints of the entries in the store
}

// quarantineJob is one call: an entry to write or one to remove; if neither is set, all
// entries are read.
type quarantineJob struct {
	write  *quarantiner.Entry
	remove quarantiner.Fingerprint
}

// quarantineStoreResult is the result of a call.
type quarantineStoreResult struct {
	quarantineJob
	call      string
	entries   []quarantiner.Entry // entries read
	malformed error               // errors of objects that can't be decoded; they are left out
	err       error
}

func newQuarantineStore(s storer.Store) *quarantineStore {
	return &quarantineStore{store: s, jobs: make(chan quarantineJob, 1)}
}

// sweep starts the next call that is due, if the host owns the role.
func (q *quarantineStore) sweep(now time.Time, owns bool, entries []quarantiner.Entry) {
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
	if job, due := q.nextJob(entries); due {
		q.busy = true
		q.jobs <- job
	}
}

// nextJob returns the next call that updates the store, or false if it is up to date.
func (q *quarantineStore) nextJob(entries []quarantiner.Entry) (quarantineJob, bool) {
	if !q.loaded {
		return quarantineJob{}, true
	}
	for i := range entries {
		if !slices.Contains(q.stored, entries[i].Fingerprint) {
			return quarantineJob{write: &entries[i]}, true
		}
	}
	for _, f := range q.stored {
		if !slices.ContainsFunc(entries, func(h quarantiner.Entry) bool { return h.Fingerprint == f }) {
			return quarantineJob{remove: f}, true
		}
	}
	return quarantineJob{}, false
}

// storeRestored handles that the store was restored from an older snapshot: the entries
// are read again. Entries written since that snapshot are then written again, and those
// removed since are removed again.
func (q *quarantineStore) storeRestored() {
	q.loaded, q.stored, q.stale = false, nil, q.busy
}

// done handles the result of a call, and returns the entries to merge.
func (q *quarantineStore) done(now time.Time, e quarantineStoreResult) []quarantiner.Entry {
	q.busy = false
	if q.stale {
		q.stale = false // the call may have reached the store before or after it was restored
		return nil
	}
	switch {
	case e.err != nil:
		q.retryAt = now.Add(storeRetryDelay)
	case e.write != nil:
		q.stored = append(q.stored, e.write.Fingerprint)
	case e.remove != 0:
		q.stored = slices.DeleteFunc(q.stored, func(f quarantiner.Fingerprint) bool { return f == e.remove })
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

// run makes the calls until ctx ends.
func (q *quarantineStore) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-q.jobs:
			q.report(q.call(ctx, job))
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

func (q *quarantineStore) call(ctx context.Context, job quarantineJob) quarantineStoreResult {
	done := quarantineStoreResult{quarantineJob: job}
	switch {
	case job.write != nil:
		done.call = "write"
		value, err := json.Marshal(storedEntry{job.write.Fingerprint, job.write.Duration, job.write.Workers})
		if err == nil {
			_, err = q.store.Put(ctx, quarantinePrefix+job.write.Fingerprint.String(), value, storer.Condition{})
		}
		done.err = err
	case job.remove != 0:
		done.call = "remove"
		if err := q.store.Delete(ctx, quarantinePrefix+job.remove.String(), storer.Condition{}); !errors.Is(err, storer.ErrNotFound) {
			done.err = err
		}
	default:
		done.call = "read"
		done.entries, done.malformed, done.err = q.list(ctx)
	}
	return done
}

// list reads the entries in the store, and reports objects that can't be decoded.
func (q *quarantineStore) list(ctx context.Context) (entries []quarantiner.Entry, malformed, err error) {
	objects, _, err := q.store.List(ctx, quarantinePrefix)
	if err != nil {
		return nil, nil, err
	}
	for _, o := range objects {
		var h storedEntry
		if err := json.Unmarshal(o.Value, &h); err != nil {
			malformed = errors.Join(malformed, fmt.Errorf("%s: %w", o.Key, err))
			continue
		}
		entries = append(entries, quarantiner.Entry{Fingerprint: h.Fingerprint, Remaining: h.Span, Duration: h.Span, Workers: h.Workers})
	}
	return entries, malformed, nil
}

func (quarantineStoreResult) event() {}
