package registrar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/storer"
)

// Prefix is the key prefix of host records in the Object API. A record changes only when
// its host joins, leaves or rejoins, so a watch of all records reports few changes.
const Prefix = "hosts/"

const (
	watchTimeout   = 20 * time.Second
	relistInterval = 60 * time.Second // mean interval between lists; they recover changes that a watch lost
	retryDelay     = 500 * time.Millisecond
	// batchDelay is the pause of a watch after a change: hosts that start together write
	// their records one after another, and each write would wake every watch.
	batchDelay = 250 * time.Millisecond
	// turnPollInterval is how often a host that need not watch asks ShouldWatch again.
	turnPollInterval = time.Second
)

// follow lists all records, then watches them, and lists them again periodically and
// after each error.
func (r *Registrar) follow(ctx context.Context) {
	var unavailableSince time.Time // zero while the store answers
	var lastRevision storer.Version
	for ctx.Err() == nil {
		objects, revision, err := r.config.Store.List(ctx, Prefix)
		if err == nil {
			if !unavailableSince.IsZero() {
				r.config.Log.Info("host records read again", zap.Duration("after", time.Since(unavailableSince)))
				unavailableSince = time.Time{}
			}
			r.handleObjects(objects, lastRevision != 0 && revision.Era() > lastRevision.Era())
			lastRevision = revision
			err = r.watch(ctx, revision)
		}
		if err != nil && ctx.Err() == nil {
			if unavailableSince.IsZero() {
				unavailableSince = time.Now()
				r.config.Log.Warn("roster", zap.Error(err))
			}
			sleep(ctx, jitter(retryDelay))
		}
	}
}

// watch applies changes of records until the next list is due.
func (r *Registrar) watch(ctx context.Context, after storer.Version) error {
	relistAt := time.Now().Add(jitter(relistInterval))
	for ctx.Err() == nil && time.Now().Before(relistAt) {
		if r.config.ShouldWatch != nil && !r.config.ShouldWatch() {
			sleep(ctx, turnPollInterval)
			continue
		}
		objects, revision, err := r.config.Store.Watch(ctx, Prefix, after, watchTimeout)
		if err != nil {
			return err
		}
		r.handleObjects(objects, false)
		after = revision
		if len(objects) > 0 {
			sleep(ctx, batchDelay)
		}
	}
	return nil
}

// handleObjects passes records to the members. If restored is set, the objects are the
// complete list of a store that was restored from an older snapshot.
func (r *Registrar) handleObjects(objects []storer.Object, restored bool) {
	var records []Record
	for _, o := range objects {
		if o.Deleted {
			delete(r.oddRecords, o.Key)
			continue
		}
		if h, ok := decodeRecord(o); ok {
			records = append(records, h)
		} else {
			r.noteOdd(o)
		}
	}
	switch {
	case len(records) == 0:
	case restored:
		r.post(func(now time.Time) []Output { return r.members.ApplyRestored(now, records) })
	default:
		r.post(func(now time.Time) []Output { return r.members.ApplyRecords(now, records) })
	}
}

// noteOdd logs and counts a record that can't be used, once for each of its versions.
func (r *Registrar) noteOdd(o storer.Object) {
	if seen, ok := r.oddRecords[o.Key]; ok && seen == o.Version {
		return
	}
	r.oddRecords[o.Key] = o.Version
	r.odd.Add(1)
	r.config.Log.Warn("record can't be used", zap.String("key", o.Key), zap.Stringer("version", o.Version))
}

// decodeRecord returns a record, or false if the object has none that can be used.
func decodeRecord(o storer.Object) (Record, bool) {
	var h Record
	if err := json.Unmarshal(o.Value, &h); err != nil || Prefix+h.Name != o.Key || !inRange(factOf(h)) {
		return Record{}, false
	}
	h.Unreachable = false
	return h, true
}

// jitter returns a random duration from d/2 to 3d/2, so that the hosts of a fleet don't
// all call the store at the same instant.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
