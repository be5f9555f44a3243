package registrar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/storer"
)

// Prefix is where host records live in the Object API. They change only when a
// host joins, leaves or rejoins, so a watch of all of them stays quiet.
const Prefix = "hosts/"

const (
	watchTimeout   = 20 * time.Second
	relistInterval = 60 * time.Second // at most between two lists, against changes that a watch lost
	retryDelay     = 500 * time.Millisecond
	// batchDelay is how long a watch rests after a change: hosts that start together
	// write their records one after the other, and each would wake every watch.
	batchDelay = 250 * time.Millisecond
	// turnPollInterval is the pause between looks at whose turn it is to watch.
	turnPollInterval = time.Second
)

// follow reads all records, then watches them, and starts anew where the watch
// has a gap.
func (r *Registrar) follow(ctx context.Context) {
	var away time.Time // since when the store does not answer
	var listed storer.Version
	for ctx.Err() == nil {
		objects, revision, err := r.config.Store.List(ctx, Prefix)
		if err == nil {
			if !away.IsZero() {
				r.config.Log.Info("roster read again", zap.Duration("after", time.Since(away)))
				away = time.Time{}
			}
			r.handleObjects(objects, listed != 0 && revision.Era() > listed.Era())
			listed = revision
			err = r.watch(ctx, revision)
		}
		if err != nil && ctx.Err() == nil {
			if away.IsZero() {
				away = time.Now()
				r.config.Log.Warn("roster", zap.Error(err))
			}
			sleep(ctx, jitter(retryDelay))
		}
	}
}

// watch takes changes until it is time to list again.
func (r *Registrar) watch(ctx context.Context, after storer.Version) error {
	until := time.Now().Add(jitter(relistInterval))
	for ctx.Err() == nil && time.Now().Before(until) {
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

// handleObjects takes records; restored says that they are all that a store has which came back
// from an older copy of itself.
func (r *Registrar) handleObjects(objects []storer.Object, restored bool) {
	var records []Record
	for _, o := range objects {
		if h, ok := decodeRecord(o); ok && !o.Deleted {
			records = append(records, h)
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

func decodeRecord(o storer.Object) (Record, bool) {
	var h Record
	err := json.Unmarshal(o.Value, &h)
	h.Unreachable = false
	return h, err == nil && h.Name != "" && Prefix+h.Name == o.Key
}

// jitter is d with a random half taken or added, so that a fleet does not come
// back to the store in one instant.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
