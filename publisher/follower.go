package publisher

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	watchWait  = 20 * time.Second
	retryPause = 200 * time.Millisecond
)

// Follower keeps the configuration in force on one host. It never goes back.
type Follower struct {
	store  storer.Store
	log    *zap.Logger
	notify func(*loader.Folder, uint64)

	mu         sync.Mutex
	folder     *loader.Folder
	generation uint64
}

// NewFollower returns a follower; notify is called with each configuration that
// comes in force.
func NewFollower(s storer.Store, log *zap.Logger, notify func(*loader.Folder, uint64)) *Follower {
	return &Follower{store: s, log: log, notify: notify}
}

// Folder is the configuration in force and its generation; nil before the first.
func (f *Follower) Folder() (*loader.Folder, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.folder, f.generation
}

// Run follows the head until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		head, err := Read(ctx, f.store)
		if err == nil && head.Generation > 0 {
			f.take(head)
		}
		if err == nil {
			_, after, err = f.store.Watch(ctx, Key, max(after, head.Generation), watchWait)
		}
		if err != nil {
			after = 0
			f.log.Warn("follow", zap.Error(err))
			pause(ctx, retryPause)
		}
	}
}

// take puts a head in force unless it is older than the one that is.
func (f *Follower) take(h Head) {
	folder, err := h.Files.Parse()
	if err != nil {
		f.log.Error("configuration", zap.Uint64("generation", h.Generation), zap.Error(err))
		return
	}
	f.mu.Lock()
	if h.Generation <= f.generation {
		f.mu.Unlock()
		return
	}
	f.folder, f.generation = folder, h.Generation
	f.mu.Unlock()
	f.log.Info("configuration", zap.Uint64("generation", h.Generation))
	f.notify(folder, h.Generation)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
