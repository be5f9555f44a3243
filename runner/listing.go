package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// catchWait is how long a call waits that is made for a change that is there.
	catchWait = 10 * time.Millisecond
	// listRetry is the pause after a failed call.
	listRetry = 250 * time.Millisecond
	// turnEvery is how often a host that others watch for looks whether it is to call.
	turnEvery = 100 * time.Millisecond
)

// listing calls the platform's store for the workers' entries, when the host's relay
// has it call.
type listing struct {
	store storer.Store
	log   *zap.Logger
	tell  func(entriesSeen)
	next  func(context.Context) callNext
	away  time.Time // since when the store does not answer; zero while it does
}

// entriesSeen is what a call of the store told of the workers' entries.
type entriesSeen struct {
	failed bool         // the call failed; nothing else is set
	whole  bool         // the word is every entry at its last revision
	word   relayer.Word // what changed
}

// callNext is whether a host is to call the store, and from which revision on.
type callNext struct {
	after uint64
	call  bool
	wait  time.Duration // for a change
}

// run lists the entries, watches them from there, and starts anew where the watch
// has a gap.
func (l *listing) run(ctx context.Context) {
	for ctx.Err() == nil {
		objects, revision, err := l.store.List(ctx, platform.WorkersPrefix)
		if err == nil {
			l.answered(revision)
			l.tell(entriesSeen{whole: true, word: relayer.Word{Upto: revision, Changed: objects}})
			err = l.watch(ctx)
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

// watch watches the entries whenever the host is to call, until a call fails.
func (l *listing) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		n := l.next(ctx)
		if !n.call {
			pause(ctx, turnEvery)
			continue
		}
		objects, revision, err := l.store.Watch(ctx, platform.WorkersPrefix, n.after, n.wait)
		if err != nil {
			return err
		}
		l.tell(entriesSeen{word: relayer.Word{After: n.after, Upto: revision, Changed: objects}})
	}
	return ctx.Err()
}

// answered notes that the store answers again.
func (l *listing) answered(revision uint64) {
	if l.away.IsZero() {
		return
	}
	l.log.Info("workers listed again", zap.Duration("after", time.Since(l.away)), zap.Uint64("version", revision))
	l.away = time.Time{}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
