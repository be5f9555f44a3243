package publisher

import (
	"time"

	"github.com/cicadawood/cicadawood/loader"
)

// Tracker decides which configuration is in force on one host. It never returns to an
// older generation. It does no I/O and reads no clock.
type Tracker struct {
	timing  Timing
	jitter  func() float64 // in [0, 1)
	started time.Time

	active          Head // in force
	generation      uint64
	candidate       Head // newest so far on a new host, before any is in force
	candidateFolder *loader.Folder

	platformUp   bool      // the platform answered the last read
	platformRead bool      // the platform has ever answered
	peerAnswered bool      // a peer has ever answered a RequestHead
	readingSince time.Time // start of the read in progress; zero for none
	nextRead     time.Time
	failures     int
	confirmedAt  time.Time // last time a source knew of nothing newer
	ready        bool

	announced      GenerationReceived // the newest generation received from a peer
	announcedAt    time.Time          // when a peer last sent it
	requestedAt    time.Time          // last request for it, to the peer or the platform
	anyRequestedAt time.Time          // last request to arbitrary peers
	rejected       uint64             // newest generation that can't be used
	rejection      error
	platformOlder  bool // the platform's head is older than the one in force; reported once
}

// NewTracker returns the tracker of a host that starts at now. The jitter function returns
// values in [0, 1).
func NewTracker(t Timing, jitter func() float64, now time.Time) *Tracker {
	return &Tracker{timing: t.withDefaults(), jitter: jitter, started: now, nextRead: now}
}

// Handle applies one input and returns the actions to take, in order.
func (t *Tracker) Handle(now time.Time, i Input) []Output {
	var out []Output
	switch i := i.(type) {
	case HeadRead:
		t.recordAnswer(now)
		out = t.handlePlatformHead(now, i.Head)
	case HeadUnchanged:
		t.recordAnswer(now)
		t.confirm(now)
	case HeadInvalid:
		t.recordAnswer(now)
		t.confirm(now)
		out = t.reject(0, i.Err)
	case HeadReadFailed:
		out = t.handleReadFailure(now, i.Err)
	case GenerationReceived:
		out = t.handleGeneration(now, i)
	case HeadReceived:
		t.peerAnswered = true
		if i.Head.Generation == t.generation {
			t.confirm(now)
		}
		out = t.handleHead(now, i.Head)
	case Tick:
		out = t.handleTick(now)
	}
	out = append(out, t.enforceFirst(now)...)
	return append(out, t.updateReadiness(now)...)
}

// recordAnswer records that the platform answered, and schedules the next poll.
func (t *Tracker) recordAnswer(now time.Time) {
	t.platformUp, t.platformRead, t.failures, t.readingSince = true, true, 0, time.Time{}
	t.nextRead = now.Add(t.withJitter(t.timing.PollInterval))
}

// withJitter shortens a wait by up to a fifth, so that hosts do not read in step.
func (t *Tracker) withJitter(d time.Duration) time.Duration {
	return d - time.Duration(t.jitter()*0.2*float64(d))
}

// handlePlatformHead applies the platform's head. A platform that was restored from a
// backup holds an older generation than the hosts: following it would silently bring back
// a configuration that operators have replaced. Such a head is reported and ignored; the
// next push is newer than both.
func (t *Tracker) handlePlatformHead(now time.Time, h Head) []Output {
	var out []Output
	older := h.Generation < t.generation
	if older && !t.platformOlder {
		out = append(out, Report{Event: "platform went back; keeping the newer configuration", Generation: h.Generation})
	}
	t.platformOlder = older
	if h.Generation <= t.generation {
		t.confirm(now)
		if t.rejected <= t.generation {
			t.rejection = nil
		}
	}
	return append(out, t.handleHead(now, h)...)
}

// handleHead applies a head from the platform or a peer if it is newer than the one in
// force.
func (t *Tracker) handleHead(now time.Time, h Head) []Output {
	if h.Generation <= t.generation {
		// Frames, answers and watch events may arrive late, twice or out of order, and
		// sources may be behind.
		return nil
	}
	folder, err := h.Files.Parse()
	if err != nil {
		t.confirm(now)
		return t.reject(h.Generation, err)
	}
	if t.generation == 0 {
		if h.Generation > t.candidate.Generation {
			t.candidate, t.candidateFolder = h, folder
		}
		return nil
	}
	return t.enforce(now, h, folder)
}

func (t *Tracker) enforce(now time.Time, h Head, f *loader.Folder) []Output {
	t.active, t.generation = h, h.Generation
	if t.rejected <= t.generation {
		t.rejected, t.rejection = 0, nil
	}
	t.confirmedAt = now
	return []Output{Enforce{Head: h, Folder: f}}
}

// confirm records that a source knows of nothing newer. While peers announce a newer
// generation that this host can't get, that does not count as a confirmation. A generation
// that no peer announces any more is given up: the only hosts that had it are gone.
func (t *Tracker) confirm(now time.Time) {
	if now.Sub(t.announcedAt) >= t.timing.ConfirmTimeout {
		t.announced = GenerationReceived{}
	}
	if t.announced.Generation <= max(t.generation, t.rejected) && now.After(t.confirmedAt) {
		t.confirmedAt = now
	}
}

// reject records a configuration that can't be used; the one in force stays. Each
// rejection is reported once.
func (t *Tracker) reject(generation uint64, err error) []Output {
	reported := t.rejection != nil && t.rejected == max(t.rejected, generation)
	t.rejected, t.rejection = max(t.rejected, generation), err
	if reported {
		return nil
	}
	return []Output{Report{Event: "configuration can't be used; keeping the last good one", Generation: generation, Err: err}}
}

func (t *Tracker) handleReadFailure(now time.Time, err error) []Output {
	first := t.platformUp || !t.platformRead && t.failures == 0
	t.platformUp, t.readingSince = false, time.Time{}
	wait := t.timing.PollInterval
	if t.failures < 8 {
		wait = min(wait, firstRetryDelay<<t.failures)
	}
	t.failures++
	t.nextRead = now.Add(t.withJitter(wait))
	var out []Output
	if first {
		out = append(out, Report{Event: "platform can't be read", Generation: t.generation, Err: err})
	}
	return append(out, t.requestAnnounced(now)...)
}

func (t *Tracker) handleGeneration(now time.Time, p GenerationReceived) []Output {
	switch {
	case p.Generation == t.generation:
		t.confirm(now)
		return nil
	case p.Generation < t.generation || p.Generation <= t.rejected:
		return nil
	case p.Generation >= t.announced.Generation:
		t.announced, t.announcedAt = p, now
	}
	if t.platformUp && t.readingSince.IsZero() && now.Sub(t.requestedAt) >= t.timing.FetchTimeout {
		t.readingSince, t.requestedAt = now, now
		return []Output{ReadPlatform{}}
	}
	return t.requestAnnounced(now)
}

// requestAnnounced asks a peer for the newer generation that it announced. While the
// platform is down this is the only source; while it answers slowly or with an older head,
// it is the second one.
func (t *Tracker) requestAnnounced(now time.Time) []Output {
	wait := t.timing.FetchTimeout
	if !t.platformUp {
		wait /= 4
	}
	if t.announced.Generation <= max(t.generation, t.candidate.Generation, t.rejected) || now.Sub(t.requestedAt) < wait {
		return nil
	}
	t.requestedAt = now
	return []Output{RequestHead{Peer: t.announced.Peer, Have: t.generation}}
}

func (t *Tracker) handleTick(now time.Time) []Output {
	var out []Output
	if t.readingSince.IsZero() && !now.Before(t.nextRead) {
		t.readingSince = now
		out = append(out, ReadPlatform{})
	}
	if t.generation == 0 && now.Sub(t.anyRequestedAt) >= t.timing.FetchTimeout/4 {
		// More often than other requests: the roster fills shortly after the start, and a
		// host without a configuration can't serve any request. It is timed separately, so
		// that it does not delay the request to a peer that announced a generation.
		t.anyRequestedAt = now
		out = append(out, RequestHead{})
	}
	return append(out, t.requestAnnounced(now)...)
}

// enforceFirst puts a new host's first configuration in force: the highest generation of
// platform and peers, once both answered or GatherTimeout has passed. A single answer may
// be an older configuration that other hosts have replaced, unless the platform is always
// current. In that case peers are not waited for: after a power loss of all hosts no peer
// can answer, and callers would be refused during the wait.
func (t *Tracker) enforceFirst(now time.Time) []Output {
	if t.generation > 0 || t.candidate.Generation == 0 {
		return nil
	}
	complete := t.platformRead && (t.peerAnswered || t.timing.AlwaysCurrent) && t.candidate.Generation >= t.announced.Generation
	if !complete && now.Sub(t.started) < t.timing.GatherTimeout {
		return nil
	}
	h, f := t.candidate, t.candidateFolder
	t.candidate, t.candidateFolder = Head{}, nil
	return t.enforce(now, h, f)
}

// updateReadiness makes the host unready once no source has confirmed its generation for
// ConfirmTimeout: its configuration may have been replaced. An outage of the platform alone
// makes no host unready, as peers confirm each other's generation.
func (t *Tracker) updateReadiness(now time.Time) []Output {
	ready := t.generation > 0 && now.Sub(t.confirmedAt) < t.timing.ConfirmTimeout
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
