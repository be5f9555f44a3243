package publisher

import (
	"time"

	"github.com/cicadawood/cicadawood/loader"
)

// Tracker decides, on one host, which configuration is in force. It never goes
// back to an older generation. It does no I/O and reads no clock.
type Tracker struct {
	timing  Timing
	jitter  func() float64 // in [0, 1)
	started time.Time

	force      Head // in force
	generation uint64
	best       Head // of a fresh host, before anything is in force
	bestFolder *loader.Folder

	platform  bool      // it answered last time
	answered  bool      // the platform ever did
	peered    bool      // a peer ever sent its head
	reading   time.Time // since when a read is under way; zero where none is
	nextRead  time.Time
	failures  int
	confirmed time.Time // last word that nothing newer is known
	ready     bool

	wanted   GenerationReceived // the newest generation that a peer told of
	toldAt   time.Time          // when a peer last did
	askedAt  time.Time          // when a peer, or the platform for what it told of, was last asked
	anyAsked time.Time          // when just any peers were last asked
	rejected uint64             // newest generation that could not be used
	refusal  error
	wentBack bool // the platform holds an older generation; reported once
}

// NewTracker returns the tracker of a host that starts now.
func NewTracker(t Timing, jitter func() float64, now time.Time) *Tracker {
	return &Tracker{timing: t.withDefaults(), jitter: jitter, started: now, nextRead: now}
}

// Handle takes one input and returns what is to be done, in order.
func (t *Tracker) Handle(now time.Time, i Input) []Output {
	var out []Output
	switch i := i.(type) {
	case HeadRead:
		t.platformAnswered(now)
		out = t.platformHead(now, i.Head)
	case HeadUnchanged:
		t.platformAnswered(now)
		t.confirm(now)
	case HeadInvalid:
		t.platformAnswered(now)
		t.confirm(now)
		out = t.reject(0, i.Err)
	case HeadReadFailed:
		out = t.readFailed(now, i.Err)
	case GenerationReceived:
		out = t.peerSeen(now, i)
	case HeadReceived:
		t.peered = true
		if i.Head.Generation == t.generation {
			t.confirm(now)
		}
		out = t.offer(now, i.Head)
	case Tick:
		out = t.tick(now)
	}
	out = append(out, t.settle(now)...)
	return append(out, t.readiness(now)...)
}

// platformAnswered notes that the platform is up; the next read is a poll.
func (t *Tracker) platformAnswered(now time.Time) {
	t.platform, t.answered, t.failures, t.reading = true, true, 0, time.Time{}
	t.nextRead = now.Add(t.spread(t.timing.PollInterval))
}

// spread takes up to a fifth off a wait, so that hosts do not go in step.
func (t *Tracker) spread(d time.Duration) time.Duration {
	return d - time.Duration(t.jitter()*0.2*float64(d))
}

// platformHead takes what the platform holds. A platform that was restored from
// an old backup holds an older generation than hosts do: to follow it would
// silently bring back a configuration that operators replaced. It is reported
// and kept out; the next push is newer than both.
func (t *Tracker) platformHead(now time.Time, h Head) []Output {
	var out []Output
	back := h.Generation < t.generation
	if back && !t.wentBack {
		out = append(out, Report{Event: "platform went back; keeping the newer configuration", Generation: h.Generation})
	}
	t.wentBack = back
	if h.Generation <= t.generation {
		t.confirm(now)
		if t.rejected <= t.generation {
			t.refusal = nil
		}
	}
	return append(out, t.offer(now, h)...)
}

// offer takes a head from the platform or a peer.
func (t *Tracker) offer(now time.Time, h Head) []Output {
	if h.Generation <= t.generation {
		// Never back: frames, answers and watch events may arrive late, twice or
		// in another order, and sources may be behind.
		return nil
	}
	folder, err := h.Files.Parse()
	if err != nil {
		t.confirm(now)
		return t.reject(h.Generation, err)
	}
	if t.generation == 0 {
		if h.Generation > t.best.Generation {
			t.best, t.bestFolder = h, folder
		}
		return nil
	}
	return t.enforce(now, h, folder)
}

func (t *Tracker) enforce(now time.Time, h Head, f *loader.Folder) []Output {
	t.force, t.generation = h, h.Generation
	if t.rejected <= t.generation {
		t.rejected, t.refusal = 0, nil
	}
	t.confirmed = now
	return []Output{Enforce{Head: h, Folder: f}}
}

// confirm notes a word that nothing newer is to be had. While peers tell of a
// newer generation that this host can't get, no such word counts. What nobody
// tells of any more is given up: its only holders are gone.
func (t *Tracker) confirm(now time.Time) {
	if now.Sub(t.toldAt) >= t.timing.ConfirmTimeout {
		t.wanted = GenerationReceived{}
	}
	if t.wanted.Generation <= max(t.generation, t.rejected) && now.After(t.confirmed) {
		t.confirmed = now
	}
}

// reject keeps the configuration in force in place of one that can't be used.
func (t *Tracker) reject(generation uint64, err error) []Output {
	known := t.refusal != nil && t.rejected == max(t.rejected, generation)
	t.rejected, t.refusal = max(t.rejected, generation), err
	if known {
		return nil
	}
	return []Output{Report{Event: "configuration can't be used; keeping the last good one", Generation: generation, Err: err}}
}

func (t *Tracker) readFailed(now time.Time, err error) []Output {
	first := t.platform || !t.answered && t.failures == 0
	t.platform, t.reading = false, time.Time{}
	wait := t.timing.PollInterval
	if t.failures < 8 {
		wait = min(wait, firstRetry<<t.failures)
	}
	t.failures++
	t.nextRead = now.Add(t.spread(wait))
	var out []Output
	if first {
		out = append(out, Report{Event: "platform can't be read", Generation: t.generation, Err: err})
	}
	return append(out, t.fetch(now)...)
}

func (t *Tracker) peerSeen(now time.Time, p GenerationReceived) []Output {
	switch {
	case p.Generation == t.generation:
		t.confirm(now)
		return nil
	case p.Generation < t.generation || p.Generation <= t.rejected:
		return nil
	case p.Generation >= t.wanted.Generation:
		t.wanted, t.toldAt = p, now
	}
	if t.platform && t.reading.IsZero() && now.Sub(t.askedAt) >= t.timing.FetchTimeout {
		t.reading, t.askedAt = now, now
		return []Output{ReadPlatform{}}
	}
	return t.fetch(now)
}

// fetch asks a peer for the newer generation that it told of. In an outage of
// the platform that is the only way; where the platform answers, but slowly or
// with an older head, it is the second.
func (t *Tracker) fetch(now time.Time) []Output {
	wait := t.timing.FetchTimeout
	if !t.platform {
		wait /= 4
	}
	if t.wanted.Generation <= max(t.generation, t.best.Generation, t.rejected) || now.Sub(t.askedAt) < wait {
		return nil
	}
	t.askedAt = now
	return []Output{RequestHead{Peer: t.wanted.Peer, Have: t.generation}}
}

func (t *Tracker) tick(now time.Time) []Output {
	var out []Output
	if t.reading.IsZero() && !now.Before(t.nextRead) {
		t.reading = now
		out = append(out, ReadPlatform{})
	}
	if t.generation == 0 && now.Sub(t.anyAsked) >= t.timing.FetchTimeout/4 {
		// Often: the roster fills in the first moments, and a host without a
		// configuration serves nobody. It must not put off the question of who has one.
		t.anyAsked = now
		out = append(out, RequestHead{})
	}
	return append(out, t.fetch(now)...)
}

// settle puts a fresh host's first configuration in force: the highest that
// platform and peers hold, once both answered or the time for it is over. The
// first answer alone may be an older one, which hosts have long replaced, unless the
// platform's is always current. Failure: after a loss of power of all hosts no peer
// can answer, and callers were refused for as long as it was waited for.
func (t *Tracker) settle(now time.Time) []Output {
	if t.generation > 0 || t.best.Generation == 0 {
		return nil
	}
	complete := t.answered && (t.peered || t.timing.AlwaysCurrent) && t.best.Generation >= t.wanted.Generation
	if !complete && now.Sub(t.started) < t.timing.GatherTimeout {
		return nil
	}
	h, f := t.best, t.bestFolder
	t.best, t.bestFolder = Head{}, nil
	return t.enforce(now, h, f)
}

// readiness turns a host unready that could confirm its generation with nobody
// for too long: it may serve a configuration that was replaced long ago. A
// platform outage alone turns none, as peers confirm each other.
func (t *Tracker) readiness(now time.Time) []Output {
	ready := t.generation > 0 && now.Sub(t.confirmed) < t.timing.ConfirmTimeout
	if ready == t.ready {
		return nil
	}
	t.ready = ready
	out := []Output{SetReady{Ready: ready}}
	if !ready {
		out = append(out, Report{Event: "configuration unconfirmed; unready", Generation: t.generation})
	}
	return out
}
