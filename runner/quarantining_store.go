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
	// quarantinePrefix is where the platform's store has what is held back, an object each.
	quarantinePrefix = "quarantine/"
	// ownFor is how long a host owns the role before it calls the store: one that starts
	// knows only itself at first.
	ownFor = time.Second
	// storeRetry is the pause after a failed call.
	storeRetry = time.Second
)

// quarantineStore keeps the platform's store in step with what is held back, a call at a
// time. Failure: all hosts lose power, and each request that is held back ends three
// workers more. Only the goroutine of choosing touches it, but for jobs.
type quarantineStore struct {
	store  storer.Store
	jobs   chan quarantineJob
	tell   func(quarantineStored)
	since  time.Time // that the host owns the role; zero where it does not
	again  time.Time // no call before
	busy   bool
	stale  bool // the call under way began before the store came back
	read   bool // what the store has is known
	ours   bool // what it should have is known: this owner has read it before
	stored []quarantiner.Fingerprint
}

// quarantineJob is one call: what to write or remove, or to read all where neither is set.
type quarantineJob struct {
	write  *quarantiner.Entry
	remove quarantiner.Fingerprint
}

// quarantineStored is how a call ended.
type quarantineStored struct {
	quarantineJob
	call string
	held []quarantiner.Entry // that were read
	bad  error               // of objects that can't be read; they are left out
	err  error
}

func newQuarantineStore(s storer.Store) *quarantineStore {
	return &quarantineStore{store: s, jobs: make(chan quarantineJob, 1)}
}

// sweep makes the next call that is due, where the host owns the role.
func (q *quarantineStore) sweep(now time.Time, owns bool, held []quarantiner.Entry) {
	switch {
	case !owns:
		q.since, q.read, q.ours, q.stored = time.Time{}, false, false, nil
		return
	case q.since.IsZero():
		q.since = now
		return
	case q.busy, now.Sub(q.since) < ownFor, now.Before(q.again):
		return
	}
	if job, due := q.next(held); due {
		q.busy = true
		q.jobs <- job
	}
}

// next is the first call that brings the store in step; false where it is.
func (q *quarantineStore) next(held []quarantiner.Entry) (quarantineJob, bool) {
	if !q.read {
		return quarantineJob{}, true
	}
	for i := range held {
		if !slices.Contains(q.stored, held[i].Fingerprint) {
			return quarantineJob{write: &held[i]}, true
		}
	}
	for _, f := range q.stored {
		if !slices.ContainsFunc(held, func(h quarantiner.Entry) bool { return h.Fingerprint == f }) {
			return quarantineJob{remove: f}, true
		}
	}
	return quarantineJob{}, false
}

// restore takes that the store came back from an older copy: what it has is to be read
// anew. What was written last is then written again, and what was removed is removed.
func (q *quarantineStore) restore() {
	q.read, q.stored, q.stale = false, nil, q.busy
}

// done takes how a call ended, and returns what is held back by the store's word.
func (q *quarantineStore) done(now time.Time, e quarantineStored) []quarantiner.Entry {
	q.busy = false
	if q.stale {
		q.stale = false // of before the store came back, or after: not known
		return nil
	}
	switch {
	case e.err != nil:
		q.again = now.Add(storeRetry)
	case e.write != nil:
		q.stored = append(q.stored, e.write.Fingerprint)
	case e.remove != 0:
		q.stored = slices.DeleteFunc(q.stored, func(f quarantiner.Fingerprint) bool { return f == e.remove })
	default:
		q.read = true
		for _, h := range e.held {
			q.stored = append(q.stored, h.Fingerprint)
		}
		if !q.ours {
			q.ours = true
			return e.held
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
			q.tell(q.call(ctx, job))
		}
	}
}

// storedHeld is a request that is held back, as the store has it. For how much longer is
// not kept, as clocks may differ: it counts anew from the time that it is read.
type storedHeld struct {
	Fingerprint quarantiner.Fingerprint `json:"fingerprint"`
	Span        time.Duration           `json:"span"` // nanoseconds
	Workers     []string                `json:"workers"`
}

func (q *quarantineStore) call(ctx context.Context, job quarantineJob) quarantineStored {
	done := quarantineStored{quarantineJob: job}
	switch {
	case job.write != nil:
		done.call = "write"
		value, err := json.Marshal(storedHeld{job.write.Fingerprint, job.write.Duration, job.write.Workers})
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
		done.held, done.bad, done.err = q.list(ctx)
	}
	return done
}

// list reads what the store has, and says which objects can't be read.
func (q *quarantineStore) list(ctx context.Context) (held []quarantiner.Entry, bad, err error) {
	objects, _, err := q.store.List(ctx, quarantinePrefix)
	if err != nil {
		return nil, nil, err
	}
	for _, o := range objects {
		var h storedHeld
		if err := json.Unmarshal(o.Value, &h); err != nil {
			bad = errors.Join(bad, fmt.Errorf("%s: %w", o.Key, err))
			continue
		}
		held = append(held, quarantiner.Entry{Fingerprint: h.Fingerprint, Remaining: h.Span, Duration: h.Span, Workers: h.Workers})
	}
	return held, bad, nil
}

func (quarantineStored) event() {}
