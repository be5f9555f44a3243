package runner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

const (
	// maxPause is the longest time between two observations of a process that runs: five sweeps.
	maxPause = 5 * sweepInterval
	// maxDoubt is how long after a standstill a host doubts what others say: by then it has read all
	// that waited in its sockets.
	maxDoubt = 5 * time.Second
)

// standstill notices that the process stood still: it was stopped, or the machine was suspended,
// for which the steady clock may not count. The zero standstill has observed nothing.
type standstill struct {
	seenAt  time.Time     // of the last observation, by the steady clock
	seen    time.Duration // the same, by a clock that counts while the machine is suspended
	endedAt time.Time     // when the process last went on; zero if it never stood still
}

// observe records the time by both clocks. It returns how long the process stood still before, and
// which part of that the steady clock does not count; 0 if it did not.
func (s *standstill) observe(now time.Time, boot time.Duration) (stood, uncounted time.Duration) {
	steady, counted := now.Sub(s.seenAt), boot-s.seen
	first := s.seenAt.IsZero()
	s.seenAt, s.seen = now, boot
	if stood = max(steady, counted); first || stood <= maxPause {
		return 0, 0
	}
	s.endedAt = now
	return stood, max(counted-steady, 0)
}

// spans reports whether the process stood still after a time.
func (s *standstill) spans(since time.Time) bool { return since.Before(s.endedAt) }

// doubts reports whether what is not known as of after the last standstill may be of before it.
// knownAt is the time as of which the host itself has asked.
func (s *standstill) doubts(now, knownAt time.Time) bool {
	return !s.endedAt.IsZero() && knownAt.Before(s.endedAt) && now.Sub(s.endedAt) < maxDoubt
}

// newStandstills returns the counter of standstills.
func newStandstills() prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadawood_host_standstills_total", Help: "Times that this host's process or machine stood still."})
}

// restsOnList reports whether an event states something of the list of workers, or is handled by
// how old the list is.
func restsOnList(e event) bool {
	switch e.(type) {
	case storeResult, listRead, listUpdateReceived, listSnapshotReceived, streamBegan, certaintyRequested, replacedRequested, streamTakenUp, originRequested:
		return true
	}
	return false
}

// noticeStandstill doubts the list of workers, and has it confirmed, if the process stood still.
func (p *selector) noticeStandstill(now time.Time) {
	stood, uncounted := p.standstill.observe(now, p.boot())
	if stood == 0 {
		return
	}
	p.standstills.Inc()
	p.log.Warn("host stood still", zap.Duration("for", stood), zap.Duration("suspended", uncounted))
	if !p.updatedAt.IsZero() {
		p.updatedAt = p.updatedAt.Add(-uncounted)
		p.origins.resumer.ListUpdated(p.updatedAt)
	}
	p.confirmList(now)
}

// doubtsList reports whether the list of workers may be of before a standstill, though others say
// that it is current.
func (p *selector) doubtsList(now time.Time) bool {
	return p.standstill.doubts(now, p.confirmation.at)
}

// listCallFailed records that a call for the list that was sent at a time failed. One in which this
// host stood still says nothing of the store.
func (p *selector) listCallFailed(now, sentAt time.Time, throttled bool) {
	if !p.standstill.spans(sentAt) {
		p.confirmation.failed(now, throttled)
	}
}

// received records that the list was received, or found to have no changes.
func (p *selector) received(now time.Time) {
	if !p.doubtsList(now) {
		p.updatedAt = now
	}
}
