package publisher_test

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadawood/cicadawood/publisher"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	step              = 250 * time.Millisecond
	heartbeatInterval = time.Second
	// maxDelay is the time in which an accepted push must be in force on a running host
	// that can reach the platform or a host that has the push.
	maxDelay = 16 * time.Second
)

// fleet simulates the trackers of a few hosts against a fake store with a fake clock, and
// records which pushes were accepted and which generations were in force.
type fleet struct {
	now        time.Time
	store      *fakeStore
	storeDelay time.Duration // delay of the platform's answers
	duplicate  bool          // each frame between hosts arrives a second time, 3 s later
	hosts      []*host
	queue      []delivery
	accepted   []acceptedGeneration
	violations []string // violations of the invariants, as messages
	pushes     int
}

type acceptedGeneration struct {
	generation uint64
	at         time.Time
}

// host is one host of a fleet.
type host struct {
	name          string
	tracker       *publisher.Tracker
	active        publisher.Head
	history       []uint64 // generations that were put in force, in order
	ready         bool
	unreadyCount  int // number of changes to unready
	down          bool
	frozen        bool
	noStore       bool // can't reach the platform
	noPeers       bool // can't reach other hosts
	noReceive     bool // receives nothing from other hosts
	watchStalled  bool // its watch delivers no events
	watched       storer.Version
	reads         int
	lastHeartbeat time.Time
	lastIsolated  time.Time // last time it was down, frozen or not connected
}

type delivery struct {
	at    time.Time
	to    *host
	input publisher.Input
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), store: &fakeStore{}}
	for i := range n {
		f.hosts = append(f.hosts, &host{name: fmt.Sprintf("h%d", i)})
		f.boot(f.hosts[i])
	}
	return f
}

// boot starts a new process of a host, with no state.
func (f *fleet) boot(h *host) {
	*h = host{name: h.name, lastIsolated: f.now, unreadyCount: h.unreadyCount}
	h.tracker = publisher.NewTracker(publisher.Timing{}, func() float64 { return 0.5 }, f.now)
}

// push has an operator add or edit a file, and push.
func (f *fleet) push(o *operator, name string) error {
	f.pushes++
	r, err := o.edit(name, f.pushes).push(f.now.Unix())
	if err == nil {
		f.accepted = append(f.accepted, acceptedGeneration{generation: r.Generation, at: f.now})
	}
	return err
}

// run simulates a period of time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		for _, h := range f.hosts {
			if h.down || h.frozen {
				continue
			}
			f.watch(h)
			f.sendHeartbeats(h)
			f.handle(h, publisher.Tick{})
		}
		f.deliver()
		f.check()
	}
}

func (f *fleet) deliver() {
	due := f.queue
	f.queue = nil
	for _, d := range due {
		if d.at.After(f.now) || d.to.frozen {
			f.queue = append(f.queue, d)
		} else if !d.to.down {
			f.handle(d.to, d.input)
		}
	}
}

// watch has a host read the store after a change, unless its watch is stalled.
func (f *fleet) watch(h *host) {
	if h.watchStalled || h.noStore || f.store.down || f.store.version <= h.watched {
		return
	}
	h.watched = f.store.version
	f.read(h)
}

// sendHeartbeats sends a host's heartbeat to all others when it is due.
func (f *fleet) sendHeartbeats(h *host) {
	if f.now.Sub(h.lastHeartbeat) < heartbeatInterval {
		return
	}
	h.lastHeartbeat = f.now
	for _, o := range f.hosts {
		f.sendFrame(h, o, publisher.GenerationReceived{Peer: h.name, Generation: h.active.Generation})
	}
}

func (f *fleet) sendFrame(from, to *host, i publisher.Input) {
	if from == to || from.noPeers || to.noPeers || to.noReceive {
		return
	}
	f.schedule(to, 0, i)
	if f.duplicate {
		f.schedule(to, 3*time.Second, i)
	}
}

func (f *fleet) schedule(to *host, after time.Duration, i publisher.Input) {
	f.queue = append(f.queue, delivery{at: f.now.Add(after), to: to, input: i})
}

// handle passes one input to a tracker and executes its outputs.
func (f *fleet) handle(h *host, i publisher.Input) {
	for _, o := range h.tracker.Handle(f.now, i) {
		switch o := o.(type) {
		case publisher.ReadPlatform:
			h.reads++
			f.read(h)
		case publisher.RequestHead:
			f.requestHead(h, o)
		case publisher.Enforce:
			if o.Head.Generation <= h.active.Generation {
				f.violations = append(f.violations, fmt.Sprintf("%s went back from %d to %d", h.name, h.active.Generation, o.Head.Generation))
			}
			h.active, h.history = o.Head, append(h.history, o.Head.Generation)
		case publisher.SetReady:
			h.ready = o.Ready
			if !o.Ready {
				h.unreadyCount++
			}
		}
	}
}

func (f *fleet) read(h *host) {
	if h.noStore || f.store.down || f.storeDelay > 3*time.Second {
		f.schedule(h, min(f.storeDelay, 3*time.Second), publisher.HeadReadFailed{Err: publisher.ErrUnreadable})
		return
	}
	head, err := publisher.Read(context.Background(), f.store)
	if err != nil {
		f.schedule(h, f.storeDelay, publisher.HeadInvalid{Err: err})
		return
	}
	f.schedule(h, f.storeDelay, publisher.HeadRead{Head: head})
}

func (f *fleet) requestHead(h *host, a publisher.RequestHead) {
	for _, o := range f.hosts {
		requested := a.Peer == "" || a.Peer == o.name
		if !requested || o == h || o.down || o.frozen || o.noReceive || o.noPeers || h.noPeers {
			continue
		}
		answer := publisher.HeadReceived{Peer: o.name}
		if o.active.Generation > a.Have {
			answer.Head = o.active
		}
		f.sendFrame(o, h, answer)
	}
}

// check verifies that every host that was connected for maxDelay after an accepted push has
// it in force.
func (f *fleet) check() {
	for _, h := range f.hosts {
		if h.down || h.frozen || !f.connected(h) {
			h.lastIsolated = f.now
			continue
		}
		for _, a := range f.accepted {
			since := a.at
			if h.lastIsolated.After(since) {
				since = h.lastIsolated
			}
			if f.now.Sub(since) > maxDelay && h.active.Generation < a.generation {
				f.violations = append(f.violations, fmt.Sprintf("%s has %d, not %d, after %v", h.name, h.active.Generation, a.generation, f.now.Sub(since)))
			}
		}
	}
}

// connected reports whether a host can reach the platform, or a host that has the newest
// accepted generation.
func (f *fleet) connected(h *host) bool {
	if !h.noStore && !f.store.down && f.storeDelay <= 3*time.Second {
		return true
	}
	for _, o := range f.hosts {
		current := len(f.accepted) == 0 || o.active.Generation >= f.accepted[len(f.accepted)-1].generation
		if o != h && current && !o.down && !o.frozen && !o.noReceive && !o.noPeers && !h.noPeers && !h.noReceive {
			return true
		}
	}
	return false
}
