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
	// watchWait is how long one watch waits. At 360 hosts that is 12 reads/s.
	watchWait    = 30 * time.Second
	watchRetry   = 500 * time.Millisecond
	watchRetries = 4                      // doublings of watchRetry
	turnEvery    = 100 * time.Millisecond // between looks at whose turn it is to watch
	inputBacklog = 256
)

// Source is where a follower finds the configuration.
type Source struct {
	Key    string // of the object
	Decode func(storer.Object) (Head, error)
	// WatchTimeout is how long one watch waits. A watch whose connection went silent hides
	// changes for that long.
	WatchTimeout time.Duration
	// BackoffDoublings is how often the pause after a failed watch doubles.
	BackoffDoublings int
	// ShouldWatch says whether this host is to watch: others learn of a change by the
	// generation in its frames, and read the head then. Nil is always.
	ShouldWatch func() bool
}

// PushedSource is the source of configurations that operators push.
func PushedSource() Source {
	return Source{Key: Key, Decode: headOf, WatchTimeout: watchWait, BackoffDoublings: watchRetries}
}

// Actions is what a follower does to the rest of its host. The functions run on
// the follower's goroutine and must not block for long.
type Actions struct {
	Enforce func(*loader.Folder, uint64) // a configuration comes in force
	// RequestHead asks a peer by name, or a few of them for "", for a head newer than
	// have; what comes back goes to Follower.Received.
	RequestHead func(peer string, have uint64)
	SetReady    func(bool) // towards the platform's balancer
}

// Follower keeps the configuration in force on one host. It never goes back.
type Follower struct {
	store   storer.Store
	log     *zap.Logger
	actions Actions
	source  Source
	inputs  chan Input
	tracker *Tracker // owned by Run's goroutine
	tick    time.Duration

	force     atomic.Pointer[Enforce]
	status    atomic.Pointer[Status]
	confirmed atomic.Pointer[sighting] // the last frame with the generation in force

	mu      sync.Mutex
	version storer.Version // of the platform's object that was read last
}

// sighting is a frame from a peer that has the generation in force.
type sighting struct {
	generation uint64
	at         time.Time
}

// NewFollower returns a follower that does nothing before Run.
func NewFollower(s storer.Store, t Timing, log *zap.Logger, a Actions) *Follower {
	return &Follower{
		store: s, log: log, actions: a, source: PushedSource(), inputs: make(chan Input, inputBacklog),
		tracker: NewTracker(t, rand.Float64, time.Now()), tick: t.withDefaults().TickInterval,
	}
}

// SetSource has the configuration read from elsewhere. It comes before Run.
func (f *Follower) SetSource(s Source) { f.source = s }

// Folder is the configuration in force and its generation; nil before the first.
func (f *Follower) Folder() (*loader.Folder, uint64) {
	e := f.force.Load()
	if e == nil {
		return nil, 0
	}
	return e.Folder, e.Head.Generation
}

// Head is the head in force; the zero Head before the first.
func (f *Follower) Head() Head {
	if e := f.force.Load(); e != nil {
		return e.Head
	}
	return Head{}
}

// Status is the follower's state, a quarter of a second old at most.
func (f *Follower) Status() Status {
	if s := f.status.Load(); s != nil {
		return *s
	}
	return Status{}
}

// ReceiveGeneration takes the generation that a frame from another host carries. It is
// called for each frame, from any goroutine, and never blocks: where the
// generation is the one in force, which is the rule, it only notes the time.
func (f *Follower) ReceiveGeneration(peer string, generation uint64, now time.Time) {
	have := f.Head().Generation
	if generation == have {
		f.confirmed.Store(&sighting{generation: generation, at: now})
	}
	if generation <= have {
		return
	}
	f.offer(GenerationReceived{Peer: peer, Generation: generation})
}

// ReceiveHead takes a packed head that another host sent; empty where it has none.
func (f *Follower) ReceiveHead(peer string, packed []byte) {
	if len(packed) == 0 {
		f.offer(HeadReceived{Peer: peer})
		return
	}
	h, err := Unpack(packed)
	if err != nil {
		f.log.Warn("configuration of a peer", zap.String("peer", peer), zap.Error(err))
		return
	}
	f.offer(HeadReceived{Peer: peer, Head: h})
}

// offer drops what comes faster than it is taken: peers repeat it.
func (f *Follower) offer(i Input) {
	select {
	case f.inputs <- i:
	default:
	}
}

// Run follows the head until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { f.watch(ctx) })
	ticker := time.NewTicker(f.tick)
	defer ticker.Stop()
	// Failure: a host that reads its first configuration only at the first tick answers
	// callers with nothing for that long after each start. When all hosts lose power at
	// once, that is time in which nobody is served.
	f.handle(ctx, &tasks, Tick{})
	for {
		select {
		case <-ctx.Done():
			// Not deferred: a panic would wait here for a watch that does not end,
			// and the process would stand still in place of dying with a word.
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
	if seen := f.confirmed.Swap(nil); seen != nil {
		f.act(ctx, tasks, f.tracker.Handle(seen.at, GenerationReceived{Generation: seen.generation}))
	}
	f.act(ctx, tasks, f.tracker.Handle(now, i))
	s := f.tracker.Status(now)
	f.status.Store(&s)
}

func (f *Follower) act(ctx context.Context, tasks *sync.WaitGroup, out []Output) {
	for _, o := range out {
		switch o := o.(type) {
		case ReadPlatform:
			tasks.Go(func() { f.read(ctx) })
		case RequestHead:
			f.actions.RequestHead(o.Peer, o.Have)
		case Enforce:
			f.force.Store(&o)
			f.log.Info("configuration in force", zap.Uint64("generation", o.Head.Generation), zap.Int("bytes", len(o.Head.packed)))
			f.actions.Enforce(o.Folder, o.Head.Generation)
		case SetReady:
			f.actions.SetReady(o.Ready)
		case Report:
			f.log.Warn("configuration", zap.String("event", o.Event), zap.Uint64("generation", o.Generation), zap.Error(o.Err))
		}
	}
}

// ConditionalReader is a Store that can tell cheaply whether an object changed.
type ConditionalReader interface {
	// Changed reads an object unless it still has the version have; false then.
	Changed(ctx context.Context, key string, have storer.Version) (storer.Object, bool, error)
}

// read is the poll behind the watch: a watch can go silent or miss a change
// without any error, and would hide it for good.
func (f *Follower) read(ctx context.Context) {
	c, ok := f.store.(ConditionalReader)
	if !ok {
		o, err := f.store.Get(ctx, f.source.Key)
		f.learn(ctx, o, err)
		return
	}
	f.mu.Lock()
	have := f.version
	f.mu.Unlock()
	o, changed, err := c.Changed(ctx, f.source.Key, have)
	if err == nil && !changed {
		f.put(ctx, HeadUnchanged{})
		return
	}
	f.learn(ctx, o, err)
}

// learn turns a read of the platform into an input.
func (f *Follower) learn(ctx context.Context, o storer.Object, err error) {
	if errors.Is(err, storer.ErrNotFound) {
		f.put(ctx, HeadRead{})
		return
	}
	if err != nil {
		f.put(ctx, HeadReadFailed{Err: err})
		return
	}
	h, err := f.source.Decode(o)
	if err != nil {
		f.put(ctx, HeadInvalid{Err: err})
		return
	}
	f.mu.Lock()
	f.version = o.Version
	f.mu.Unlock()
	f.put(ctx, HeadRead{Head: h})
}

func (f *Follower) put(ctx context.Context, i Input) {
	select {
	case f.inputs <- i:
	case <-ctx.Done():
	}
}

// watch follows the platform's changes: a list, then watches from its revision.
// Any error starts over with a list, so that what happened in between shows.
func (f *Follower) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		objects, revision, err := f.store.List(ctx, f.source.Key)
		for err == nil {
			failures = 0
			f.latest(ctx, objects)
			if len(objects) == 0 && f.Head().Generation > 0 {
				f.put(ctx, HeadUnchanged{}) // the platform answered that there is nothing newer
			}
			if f.waitTurn(ctx) {
				break // others watched meanwhile: list anew
			}
			objects, revision, err = f.store.Watch(ctx, f.source.Key, revision, f.source.WatchTimeout)
		}
		if err == nil {
			continue
		}
		if errors.Is(err, storer.ErrConflict) && failures == 0 {
			failures++
			continue // a gap: the revision is forgotten
		}
		f.log.Debug("watch configuration", zap.Error(err))
		wait := watchRetry << min(failures, f.source.BackoffDoublings)
		pause(ctx, wait-time.Duration(rand.Float64()*float64(wait)/2))
		failures++
	}
}

// waitTurn waits until it is this host's turn to watch, and says whether it had to.
func (f *Follower) waitTurn(ctx context.Context) bool {
	waited := false
	for f.source.ShouldWatch != nil && !f.source.ShouldWatch() && ctx.Err() == nil {
		waited = true
		pause(ctx, turnEvery)
	}
	return waited
}

// latest takes the last event of the head, if there is one.
func (f *Follower) latest(ctx context.Context, objects []storer.Object) {
	for i := len(objects) - 1; i >= 0; i-- {
		if o := objects[i]; o.Key == f.source.Key && !o.Deleted {
			f.learn(ctx, o, nil)
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
