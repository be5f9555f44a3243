package publisher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// watchTimeout bounds one watch call. With 360 hosts this makes 12 calls/s.
	watchTimeout          = 30 * time.Second
	watchBackoff          = 500 * time.Millisecond
	watchBackoffDoublings = 4                      // how often watchBackoff doubles
	shouldWatchInterval   = 100 * time.Millisecond // between calls of Source.ShouldWatch
	inputQueueSize        = 256
)

// Source describes where a follower reads the configuration.
type Source struct {
	Key    string // of the object
	Decode func(storer.Object) (Head, error)
	// WatchTimeout bounds one watch call. A watch whose connection stalled hides changes
	// for that long.
	WatchTimeout time.Duration
	// BackoffDoublings limits how often the pause between failed watches doubles.
	BackoffDoublings int
	// ShouldWatch reports whether this host is to watch the source. Hosts that don't watch
	// learn of a change from the generation in the frames of those that do, and then read
	// the head. Nil means always.
	ShouldWatch func() bool
}

// PushedSource returns the source of configurations that operators push.
func PushedSource() Source {
	return Source{Key: Key, Decode: decodeObject, WatchTimeout: watchTimeout, BackoffDoublings: watchBackoffDoublings}
}

// Actions are the calls of a follower into the rest of its host. They run on the
// follower's goroutine and must not block for long.
type Actions struct {
	Enforce func(*loader.Folder, uint64) // puts a configuration in force
	// RequestHead asks the named peer, or a few peers if the name is empty, for a head
	// newer than have. Answers go to Follower.ReceiveHead.
	RequestHead func(peer string, have uint64)
	SetReady    func(bool) // towards the platform's load balancer
}

// Follower keeps the newest configuration in force on one host. It never returns to an
// older generation.
type Follower struct {
	store   storer.Store
	log     *zap.Logger
	actions Actions
	source  Source
	inputs  chan Input
	tracker *Tracker // used by Run's goroutine only
	tick    time.Duration

	active       atomic.Pointer[Enforce]
	status       atomic.Pointer[Status]
	confirmation atomic.Pointer[confirmation] // newest one that Run has not handled yet
	oddPeer      atomic.Bool                  // a generation over maxGeneration was logged

	mu      sync.Mutex
	version storer.Version // of the object read last
}

// confirmation is a frame from a peer that has the same generation in force.
type confirmation struct {
	generation uint64
	at         time.Time
}

// NewFollower returns a follower of the pushed configurations. Run starts it.
func NewFollower(s storer.Store, t Timing, log *zap.Logger, a Actions) *Follower {
	return &Follower{
		store: s, log: log, actions: a, source: PushedSource(), inputs: make(chan Input, inputQueueSize),
		tracker: NewTracker(t, rand.Float64, time.Now()), tick: t.withDefaults().TickInterval,
	}
}

// SetSource replaces the source of configurations. It must be called before Run.
func (f *Follower) SetSource(s Source) { f.source = s }

// Folder returns the configuration in force and its generation; nil and 0 if there is none.
func (f *Follower) Folder() (*loader.Folder, uint64) {
	e := f.active.Load()
	if e == nil {
		return nil, 0
	}
	return e.Folder, e.Head.Generation
}

// Head returns the head in force; the zero Head if there is none.
func (f *Follower) Head() Head {
	if e := f.active.Load(); e != nil {
		return e.Head
	}
	return Head{}
}

// Status returns the follower's state as of its last input, at most one TickInterval ago.
func (f *Follower) Status() Status {
	if s := f.status.Load(); s != nil {
		return *s
	}
	return Status{}
}

// ReceiveGeneration handles the generation that a frame from another host carries. It is
// called for each frame, from any goroutine, and never blocks: in the usual case, the
// generation in force, it only stores the time.
func (f *Follower) ReceiveGeneration(peer string, generation uint64, now time.Time) {
	if generation > maxGeneration {
		if f.oddPeer.CompareAndSwap(false, true) {
			f.log.Warn("invalid generation from peer", zap.String("peer", peer), zap.Uint64("generation", generation))
		}
		return
	}
	have := f.Head().Generation
	if generation == have {
		f.confirmation.Store(&confirmation{generation: generation, at: now})
	}
	if generation <= have {
		return
	}
	f.tryEnqueue(GenerationReceived{Peer: peer, Generation: generation})
}

// ReceiveHead handles a packed head that another host sent; empty if it has none to send.
func (f *Follower) ReceiveHead(peer string, packed []byte) {
	if len(packed) == 0 {
		f.tryEnqueue(HeadReceived{Peer: peer})
		return
	}
	h, err := Unpack(packed)
	if err != nil {
		f.log.Warn("invalid configuration from peer", zap.String("peer", peer), zap.Error(err))
		return
	}
	f.tryEnqueue(HeadReceived{Peer: peer, Head: h})
}

// tryEnqueue queues an input from a peer, or drops it if the queue is full: peers send it
// again.
func (f *Follower) tryEnqueue(i Input) {
	select {
	case f.inputs <- i:
	default:
	}
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { f.watch(ctx) })
	ticker := time.NewTicker(f.tick)
	defer ticker.Stop()
	// The first tick is handled immediately: a host without a configuration can't serve its
	// callers, and after a power loss of all hosts no caller is served in that time.
	f.handle(ctx, &tasks, Tick{})
	for {
		select {
		case <-ctx.Done():
			// Not deferred: on a panic it would wait for a watch that does not end, and the
			// process would hang instead of exiting with an error message.
			tasks.Wait()
			return
		case i := <-f.inputs:
			f.handle(ctx, &tasks, i)
		case <-ticker.C:
			f.handle(ctx, &tasks, Tick{})
		}
	}
}

func (f *Follower) handle(ctx context.Context, tasks *sync.WaitGroup, i Input) {
	now := time.Now()
	if seen := f.confirmation.Swap(nil); seen != nil {
		f.execute(ctx, tasks, f.tracker.Handle(seen.at, GenerationReceived{Generation: seen.generation}))
	}
	f.execute(ctx, tasks, f.tracker.Handle(now, i))
	s := f.tracker.Status(now)
	f.status.Store(&s)
}

func (f *Follower) execute(ctx context.Context, tasks *sync.WaitGroup, out []Output) {
	for _, o := range out {
		switch o := o.(type) {
		case ReadPlatform:
			tasks.Go(func() { f.poll(ctx) })
		case RequestHead:
			f.actions.RequestHead(o.Peer, o.Have)
		case Enforce:
			f.active.Store(&o)
			f.log.Info("configuration in force", zap.Uint64("generation", o.Head.Generation), zap.Int("bytes", len(o.Head.packed)))
			f.actions.Enforce(o.Folder, o.Head.Generation)
		case SetReady:
			f.actions.SetReady(o.Ready)
		case Report:
			f.log.Warn("configuration", zap.String("event", o.Event), zap.Uint64("generation", o.Generation), zap.Error(o.Err))
		}
	}
}

// ConditionalReader is implemented by a Store that can check cheaply whether an object
// changed.
type ConditionalReader interface {
	// Changed reads an object unless its version is still have; it then returns false.
	Changed(ctx context.Context, key string, have storer.Version) (storer.Object, bool, error)
}

// poll reads the source in addition to the watch: a watch can stall or miss a change
// without any error, and would hide it forever.
func (f *Follower) poll(ctx context.Context) {
	c, ok := f.store.(ConditionalReader)
	if !ok {
		o, err := f.store.Get(ctx, f.source.Key)
		f.handleObject(ctx, o, err)
		return
	}
	f.mu.Lock()
	have := f.version
	f.mu.Unlock()
	o, changed, err := c.Changed(ctx, f.source.Key, have)
	if err == nil && !changed {
		f.enqueue(ctx, HeadUnchanged{})
		return
	}
	f.handleObject(ctx, o, err)
}

// handleObject queues the result of a read of the platform as an input.
func (f *Follower) handleObject(ctx context.Context, o storer.Object, err error) {
	if errors.Is(err, storer.ErrNotFound) {
		f.enqueue(ctx, HeadRead{})
		return
	}
	if errors.Is(err, storer.ErrUnreadable) {
		f.enqueue(ctx, HeadInvalid{Err: err})
		return
	}
	if err != nil {
		f.enqueue(ctx, HeadReadFailed{Err: err})
		return
	}
	h, err := f.source.Decode(o)
	if err != nil {
		f.enqueue(ctx, HeadInvalid{Err: err})
		return
	}
	f.mu.Lock()
	f.version = o.Version
	f.mu.Unlock()
	f.enqueue(ctx, HeadRead{Head: h})
}

func (f *Follower) enqueue(ctx context.Context, i Input) {
	select {
	case f.inputs <- i:
	case <-ctx.Done():
	}
}

// watch follows the platform's changes: a list, then watches from its revision. Any error
// starts over with a list, so that changes in between are not missed.
func (f *Follower) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		objects, revision, err := f.store.List(ctx, f.source.Key)
		for err == nil {
			failures = 0
			f.handleLatest(ctx, objects)
			if len(objects) == 0 && f.Head().Generation > 0 {
				f.enqueue(ctx, HeadUnchanged{}) // the platform answered that there is nothing newer
			}
			if f.waitToWatch(ctx) {
				break // other hosts watched meanwhile: list again
			}
			objects, revision, err = f.store.Watch(ctx, f.source.Key, revision, f.source.WatchTimeout)
		}
		if err == nil {
			continue
		}
		if errors.Is(err, storer.ErrConflict) && failures == 0 {
			failures++
			continue // a gap: the platform has discarded the revision
		}
		f.log.Debug("configuration watch failed", zap.Error(err))
		wait := watchBackoff << min(failures, f.source.BackoffDoublings)
		sleep(ctx, wait-time.Duration(rand.Float64()*float64(wait)/2))
		failures++
	}
}

// waitToWatch waits until this host is to watch, and reports whether it had to wait.
func (f *Follower) waitToWatch(ctx context.Context) bool {
	waited := false
	for f.source.ShouldWatch != nil && !f.source.ShouldWatch() && ctx.Err() == nil {
		waited = true
		sleep(ctx, shouldWatchInterval)
	}
	return waited
}

// handleLatest handles the last event of the source's object, if there is one.
func (f *Follower) handleLatest(ctx context.Context, objects []storer.Object) {
	for i := len(objects) - 1; i >= 0; i-- {
		if o := objects[i]; o.Key == f.source.Key && !o.Deleted {
			f.handleObject(ctx, o, nil)
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
