package publisher_test

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadawood/cicadawood/publisher"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	step      = 250 * time.Millisecond
	heartbeat = time.Second
	// bound is within what an accepted push is in force on a live host that can
	// reach the platform or a host that has it.
	bound = 16 * time.Second
)

// fleet plays a few hosts' trackers against a fake store, in steps of a fake
// clock, and keeps a history of what was accepted and what came in force.
type fleet struct {
	now      time.Time
	store    *fakeStore
	slow     time.Duration // of the platform's answers
	crossed  bool          // frames between hosts arrive twice, the second time late
	hosts    []*host
	queue    []delivery
	accepted []accepted
	faults   []string // broken promises
	pushes   int
}

type accepted struct {
	generation uint64
	at         time.Time
}

// host is one host of a fleet.
type host struct {
	name     string
	tracker  *publisher.Tracker
	force    publisher.Head
	history  []uint64 // generations that came in force
	ready    bool
	unready  int // how often it turned unready
	dead     bool
	frozen   bool
	noStore  bool // can't reach the platform
	noPeers  bool // can't reach other hosts
	deaf     bool // hears nothing from other hosts
	silent   bool // its watch tells nothing
	watched  storer.Version
	reads    int
	lastBeat time.Time
	rejoined time.Time // when it could last reach nobody
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

// boot starts a host afresh: it remembers nothing.
func (f *fleet) boot(h *host) {
	*h = host{name: h.name, rejoined: f.now, unready: h.unready}
	h.tracker = publisher.NewTracker(publisher.Timing{}, func() float64 { return 0.5 }, f.now)
}

// push lets an operator add or edit a file.
func (f *fleet) push(o *operator, name string) error {
	f.pushes++
	r, err := o.edit(name, f.pushes).push(f.now.Unix())
	if err == nil {
		f.accepted = append(f.accepted, accepted{generation: r.Generation, at: f.now})
	}
	return err
}

// run plays d of time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		for _, h := range f.hosts {
			if h.dead || h.frozen {
				continue
			}
			f.watch(h)
			f.beat(h)
			f.feed(h, publisher.Tick{})
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
		} else if !d.to.dead {
			f.feed(d.to, d.input)
		}
	}
}

// watch tells a host of a change, unless its watch is silent.
func (f *fleet) watch(h *host) {
	if h.silent || h.noStore || f.store.down || f.store.version <= h.watched {
		return
	}
	h.watched = f.store.version
	f.read(h)
}

// beat sends the heartbeat to each other host.
func (f *fleet) beat(h *host) {
	if f.now.Sub(h.lastBeat) < heartbeat {
		return
	}
	h.lastBeat = f.now
	for _, o := range f.hosts {
		f.frame(h, o, publisher.GenerationReceived{Peer: h.name, Generation: h.force.Generation})
	}
}

func (f *fleet) frame(from, to *host, i publisher.Input) {
	if from == to || from.noPeers || to.noPeers || to.deaf {
		return
	}
	f.send(to, 0, i)
	if f.crossed {
		f.send(to, 3*time.Second, i)
	}
}

func (f *fleet) send(to *host, after time.Duration, i publisher.Input) {
	f.queue = append(f.queue, delivery{at: f.now.Add(after), to: to, input: i})
}

// feed gives a tracker one input and does what it says.
func (f *fleet) feed(h *host, i publisher.Input) {
	for _, o := range h.tracker.Handle(f.now, i) {
		switch o := o.(type) {
		case publisher.ReadPlatform:
			h.reads++
			f.read(h)
		case publisher.RequestHead:
			f.ask(h, o)
		case publisher.Enforce:
			if o.Head.Generation <= h.force.Generation {
				f.faults = append(f.faults, fmt.Sprintf("%s went back from %d to %d", h.name, h.force.Generation, o.Head.Generation))
			}
			h.force, h.history = o.Head, append(h.history, o.Head.Generation)
		case publisher.SetReady:
			h.ready = o.Ready
			if !o.Ready {
				h.unready++
			}
		}
	}
}

func (f *fleet) read(h *host) {
	if h.noStore || f.store.down || f.slow > 3*time.Second {
		f.send(h, min(f.slow, 3*time.Second), publisher.HeadReadFailed{Err: publisher.ErrUnreadable})
		return
	}
	head, err := publisher.Read(context.Background(), f.store)
	if err != nil {
		f.send(h, f.slow, publisher.HeadInvalid{Err: err})
		return
	}
	f.send(h, f.slow, publisher.HeadRead{Head: head})
}

func (f *fleet) ask(h *host, a publisher.RequestHead) {
	for _, o := range f.hosts {
		asked := a.Peer == "" || a.Peer == o.name
		if !asked || o == h || o.dead || o.frozen || o.deaf || o.noPeers || h.noPeers {
			continue
		}
		answer := publisher.HeadReceived{Peer: o.name}
		if o.force.Generation > a.Have {
			answer.Head = o.force
		}
		f.frame(o, h, answer)
	}
}

// check holds every host against what was accepted: a host that has been able to
// reach the platform, or a host that has it, for the bound has it in force.
func (f *fleet) check() {
	for _, h := range f.hosts {
		if h.dead || h.frozen || !f.connected(h) {
			h.rejoined = f.now
			continue
		}
		for _, a := range f.accepted {
			since := a.at
			if h.rejoined.After(since) {
				since = h.rejoined
			}
			if f.now.Sub(since) > bound && h.force.Generation < a.generation {
				f.faults = append(f.faults, fmt.Sprintf("%s has %d, not %d, after %v", h.name, h.force.Generation, a.generation, f.now.Sub(since)))
			}
		}
	}
}

// connected says whether a host can reach the platform, or a host with all that
// was accepted.
func (f *fleet) connected(h *host) bool {
	if !h.noStore && !f.store.down && f.slow <= 3*time.Second {
		return true
	}
	for _, o := range f.hosts {
		current := len(f.accepted) == 0 || o.force.Generation >= f.accepted[len(f.accepted)-1].generation
		if o != h && current && !o.dead && !o.frozen && !o.deaf && !o.noPeers && !h.noPeers && !h.deaf {
			return true
		}
	}
	return false
}
