package runner

import (
	"context"
	"errors"
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
	// gapLeast and gapSpread are how long a host whose watch has a gap waits for the word of
	// those that watch for all: a list takes these some milliseconds, and no change may be
	// known later than 2 s.
	gapLeast  = 200 * time.Millisecond
	gapSpread = 600 * time.Millisecond
	// gapAgain is the time in which a second gap is not answered by a list at once.
	gapAgain = 2 * time.Second
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
	failed bool           // the call failed; nothing else is set
	whole  bool           // the word is every entry at its last revision
	word   relayer.Update // what changed
}

// callNext is whether a host is to call the store, and from which revision on.
type callNext struct {
	after storer.Version
	call  bool
	wait  time.Duration // for a change

	forAll bool // the host watches for all others
}

// run lists the entries, watches them from there, and starts anew where the watch
// has a gap.
func (l *listing) run(ctx context.Context) {
	err := l.list(ctx)
	var gap time.Time // the last
	for ctx.Err() == nil {
		if err == nil {
			err = l.watch(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		before := l.next(ctx)
		if errors.Is(err, storer.ErrConflict) {
			l.log.Info("watch of workers has a gap", zap.Error(err))
			if time.Since(gap) < gapAgain {
				pause(ctx, listRetry/2+rand.N(listRetry)) // a store that forgets at once
			}
			gap = time.Now()
			l.await(ctx, before)
		} else {
			l.failed(err)
			pause(ctx, listRetry/2+rand.N(listRetry))
		}
		if err = nil; l.next(ctx).after.Era() == before.after.Era() {
			err = l.list(ctx)
		}
	}
}

// await gives a host that watches for all time to tell the others of a list, where this
// host does not. Failure: the store comes back from an older copy, and all hosts of a fleet
// list anew in one moment.
func (l *listing) await(ctx context.Context, before callNext) {
	if before.forAll {
		return
	}
	until := time.Now().Add(gapLeast + rand.N(gapSpread))
	for time.Now().Before(until) && ctx.Err() == nil && l.next(ctx).after.Era() == before.after.Era() {
		pause(ctx, turnEvery)
	}
}

// list lists the entries.
func (l *listing) list(ctx context.Context) error {
	objects, version, err := l.store.List(ctx, platform.WorkersPrefix)
	if err != nil {
		return err
	}
	l.answered(version)
	l.tell(entriesSeen{whole: true, word: relayer.Update{Upto: version, Changed: objects}})
	return nil
}

// failed notes that the store does not answer.
func (l *listing) failed(err error) {
	if l.away.IsZero() {
		l.away = time.Now()
		l.log.Warn("workers can't be listed", zap.Error(err))
	}
	l.tell(entriesSeen{failed: true})
}

// watch watches the entries whenever the host is to call, until a call fails.
func (l *listing) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		n := l.next(ctx)
		if !n.call {
			pause(ctx, turnEvery)
			continue
		}
		objects, version, err := l.store.Watch(ctx, platform.WorkersPrefix, n.after, n.wait)
		if err != nil {
			return err
		}
		l.answered(version)
		l.tell(entriesSeen{word: relayer.Update{After: n.after, Upto: version, Changed: objects}})
	}
	return ctx.Err()
}

// answered notes that the store answers again.
func (l *listing) answered(version storer.Version) {
	if l.away.IsZero() {
		return
	}
	l.log.Info("workers listed again", zap.Duration("after", time.Since(l.away)), zap.Stringer("version", version))
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
