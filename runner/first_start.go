package runner

import (
	"time"

	"github.com/cicadawood/cicadawood/registrar"
)

const (
	// maxFirstSpread is the time within which all hosts start when the whole system does, with the
	// difference of their clocks.
	maxFirstSpread = 10 * time.Second
	// firstDelay is the time after which a host's roster has the hosts whose records the store has.
	firstDelay = time.Second
)

// recordWritten reports whether this host's record in the store is the first one under its name.
type recordWritten struct{ fresh bool }

// firstStart decides whether the whole system starts for the first time. Settings that say so may be of an
// earlier start: a process that is killed may be started again with them.
type firstStart struct {
	claimed   bool      // by the settings
	writtenAt time.Time // when this host's record was written; zero before that
	denied    bool      // there was an earlier process
}

// written applies that this host's record was written.
func (f *firstStart) written(now time.Time, fresh bool) {
	f.writtenAt = now
	f.denied = f.denied || !fresh
}

// setRoster applies a roster. Hosts that started long before this one show that it is no first start.
func (f *firstStart) setRoster(self string, r registrar.Roster) {
	own, ok := r.Find(self)
	if !ok {
		return
	}
	for _, h := range r.Hosts() {
		if h.Incarnation+uint64(maxFirstSpread) < own.Incarnation {
			f.denied = true
		}
	}
}

// confirmed reports whether it is the first start.
func (f *firstStart) confirmed(now time.Time) bool {
	return f.claimed && !f.denied && !f.writtenAt.IsZero() && now.Sub(f.writtenAt) >= firstDelay
}

func (recordWritten) event() {}
