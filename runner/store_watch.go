package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/resumer"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// minWatchWait is the shortest wait of a watch call.
	minWatchWait = time.Millisecond
	// catchUpWait is how long a watch call waits for a change that is known to exist.
	catchUpWait = 10 * time.Millisecond
	// listRetryDelay is the mean pause after a failed call.
	listRetryDelay = 250 * time.Millisecond
	// minGapWait and gapWaitSpread are the minimum and the random part of the time for which
	// a host whose watch has a gap waits for the list of the hosts that watch for all. Those
	// need some milliseconds for it, and every change must be known within 2 s.
	minGapWait    = 200 * time.Millisecond
	gapWaitSpread = 600 * time.Millisecond
	// minGapInterval is the time after a gap within which another gap delays the next list.
	minGapInterval = 2 * time.Second
	// watchCheckInterval is how often a host for which others watch checks whether it has to
	// call the store itself.
	watchCheckInterval = 100 * time.Millisecond
)

// storeWatch reads the workers' entries from the platform's store when the host's relay
// requires it.
type storeWatch struct {
	store        storer.Store
	log          *zap.Logger
	report       func(storeResult)
	nextCall     func(context.Context) storeCall
	failingSince time.Time // when the store stopped answering; zero while it answers
	calledAt     time.Time // when run's last call was sent
}

// storeResult is the result of a call for the workers' entries.
type storeResult struct {
	failed bool           // the call failed; nothing else but sentAt and throttled is set
	full   bool           // the update is the full list, each entry at its last revision
	update relayer.Update // the changed entries
	sentAt time.Time      // when the call was sent: the update has all changes until then
	missed missedChanges  // that led to a full list

	throttled bool // the store is up, and refused the call as there are too many
}

// missedChanges are the changes between the list that a host knew and a full list.
type missedChanges struct {
	known   bool // false if the store no longer has them, or did not answer
	objects []storer.Object
}

// storeCall is the next call of the store: whether the host makes it, and after which
// version.
type storeCall struct {
	after    storer.Version
	required bool
	wait     time.Duration // how long the call waits for a change

	forAll bool // the host watches for all others
}

// run lists the entries, watches them from that version on, and lists them again after a
// gap in the watch.
func (l *storeWatch) run(ctx context.Context) {
	err := l.listAfter(ctx, 0, true)
	var lastGap time.Time
	for ctx.Err() == nil {
		if err == nil {
			err = l.watch(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		call := l.nextCall(ctx)
		if errors.Is(err, storer.ErrConflict) {
			l.log.Info("watch of workers has a gap", zap.Error(err))
			if time.Since(lastGap) < minGapInterval {
				pause(ctx, listRetryDelay/2+rand.N(listRetryDelay)) // the store may drop its history immediately
			}
			lastGap = time.Now()
			l.awaitList(ctx, call)
		} else {
			l.recordFailure(err)
			pause(ctx, listRetryDelay/2+rand.N(listRetryDelay))
		}
		if next := l.nextCall(ctx).after; next.Era() == call.after.Era() {
			err = l.listAfter(ctx, next, errors.Is(err, storer.ErrConflict))
		} else {
			err = nil
		}
	}
}

// awaitList waits for the list of the hosts that watch for all, if this host does not.
// When the store is restored from an older snapshot, the watches of all hosts have a gap
// at the same moment, and without the wait the whole fleet would list the entries again
// together.
func (l *storeWatch) awaitList(ctx context.Context, call storeCall) {
	if call.forAll {
		return
	}
	deadline := time.Now().Add(minGapWait + rand.N(gapWaitSpread))
	for time.Now().Before(deadline) && ctx.Err() == nil && l.nextCall(ctx).after.Era() == call.after.Era() {
		pause(ctx, watchCheckInterval)
	}
}

// listAfter reads all entries, and the changes since the version that the host knows if the store
// still has them: a worker that came and went meanwhile is in no list.
func (l *storeWatch) listAfter(ctx context.Context, known storer.Version, gone bool) error {
	l.calledAt = time.Now()
	r, err := l.readAll(ctx)
	if err != nil {
		return err
	}
	if !gone && known != 0 {
		r.missed = l.readMissed(ctx, known)
	}
	l.recordSuccess(r.update.Upto)
	l.report(r)
	return nil
}

// readMissed reads the changes after a version. The list must not wait for it for long.
func (l *storeWatch) readMissed(ctx context.Context, after storer.Version) missedChanges {
	ctx, cancel := context.WithTimeout(ctx, resumer.ListTimeout())
	defer cancel()
	r, err := l.readChanges(ctx, after, minWatchWait)
	return missedChanges{known: err == nil, objects: r.update.Changed}
}

// readAll reads all entries.
func (l *storeWatch) readAll(ctx context.Context) (storeResult, error) {
	sentAt := time.Now()
	objects, version, err := l.store.List(ctx, platform.WorkersPrefix)
	if err != nil {
		return storeResult{}, err
	}
	return storeResult{full: true, update: relayer.Update{Upto: version, Changed: objects}, sentAt: sentAt}, nil
}

// readChanges reads the changes after a version. It waits for one for a time.
func (l *storeWatch) readChanges(ctx context.Context, after storer.Version, wait time.Duration) (storeResult, error) {
	sentAt := time.Now()
	objects, version, err := l.store.Watch(ctx, platform.WorkersPrefix, after, wait)
	if err != nil {
		return storeResult{}, err
	}
	return storeResult{update: relayer.Update{After: after, Upto: version, Changed: objects}, sentAt: sentAt}, nil
}

// confirm reads what has changed after a version until now.
func (l *storeWatch) confirm(after storer.Version) (storeResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), resumer.ListTimeout())
	defer cancel()
	r, err := l.readChanges(ctx, after, minWatchWait)
	if errors.Is(err, storer.ErrConflict) {
		return l.readAll(ctx)
	}
	return r, err
}

// recordFailure records that the store does not answer.
func (l *storeWatch) recordFailure(err error) {
	if l.failingSince.IsZero() {
		l.failingSince = time.Now()
		l.log.Warn("workers can't be listed", zap.Error(err))
	}
	l.report(failedResult(err, l.calledAt))
}

// failedResult returns the result of a call that was sent at a time and failed.
func failedResult(err error, sentAt time.Time) storeResult {
	return storeResult{failed: true, throttled: errors.Is(err, storer.ErrThrottled), sentAt: sentAt}
}

// watch watches the entries while the host has to call the store, until a call fails.
func (l *storeWatch) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		n := l.nextCall(ctx)
		if !n.required {
			pause(ctx, watchCheckInterval)
			continue
		}
		l.calledAt = time.Now()
		r, err := l.readChanges(ctx, n.after, n.wait)
		if err != nil {
			return err
		}
		l.recordSuccess(r.update.Upto)
		l.report(r)
	}
	return ctx.Err()
}

// recordSuccess records that the store answers again.
func (l *storeWatch) recordSuccess(version storer.Version) {
	if l.failingSince.IsZero() {
		return
	}
	l.log.Info("workers listed again", zap.Duration("after", time.Since(l.failingSince)), zap.Stringer("version", version))
	l.failingSince = time.Time{}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
