package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/observer"
	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// listWait is how long a watch of the workers' entries waits: as for the
	// operator's configuration, one that is deaf hides a worker that leaves.
	listWait = 2500 * time.Millisecond
	// listRetry is the pause after a failed call.
	listRetry = 250 * time.Millisecond
)

// listing follows the workers' entries in the platform's store.
type listing struct {
	store storer.Store
	log   *zap.Logger
	tell  func(entriesSeen)
	away  time.Time // since when the store does not answer; zero while it does
}

// entriesSeen is what a call of the store told of the workers' entries.
type entriesSeen struct {
	failed  bool             // the call failed; nothing else is set
	whole   bool             // changed is every entry
	changed []observer.Entry // new or changed
	removed []string         // names
}

// run lists the entries, watches them from there, and starts anew where the watch
// has a gap.
func (l *listing) run(ctx context.Context) {
	for ctx.Err() == nil {
		objects, revision, err := l.store.List(ctx, platform.WorkersPrefix)
		if err == nil && !l.away.IsZero() {
			l.log.Info("workers listed again", zap.Duration("after", time.Since(l.away)), zap.Uint64("version", revision))
			l.away = time.Time{}
		}
		for whole := true; err == nil; whole = false {
			l.tell(l.decode(objects, whole))
			objects, revision, err = l.store.Watch(ctx, platform.WorkersPrefix, revision, listWait)
		}
		if ctx.Err() != nil {
			return
		}
		if l.away.IsZero() {
			l.away = time.Now()
			l.log.Warn("workers can't be listed", zap.Error(err))
		}
		l.tell(entriesSeen{failed: true})
		pause(ctx, listRetry/2+rand.N(listRetry))
	}
}

// decode takes the entries of a call, the last word on each worker. One that can't
// be read names no worker; the others hold.
func (l *listing) decode(objects []storer.Object, whole bool) entriesSeen {
	seen := entriesSeen{whole: whole}
	last := map[string]int{}
	for i, o := range objects {
		last[o.Key] = i
	}
	for i, o := range objects {
		if last[o.Key] != i {
			continue
		}
		e, err := platform.DecodeWorker(o)
		switch {
		case o.Deleted:
			seen.removed = append(seen.removed, platform.NameOf(o))
		case err != nil:
			l.log.Warn("worker's entry", zap.String("worker", platform.NameOf(o)), zap.Uint64("version", o.Version), zap.Error(err))
			seen.removed = append(seen.removed, platform.NameOf(o))
		default:
			seen.changed = append(seen.changed, e)
		}
	}
	return seen
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
