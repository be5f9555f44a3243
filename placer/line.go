package placer

import (
	"math"
	"slices"
	"time"
)

// prefillQueue holds the prompts that an engine has yet to prefill, in its order: the one under
// way, which is not interrupted; then the others by urgency, and by arrival among equals. The
// zero prefillQueue is empty.
type prefillQueue struct {
	flights []*flight
	since   time.Time // time up to which the prefill of the first is counted
}

// add inserts a flight in order.
func (l *prefillQueue) add(now time.Time, f *flight) {
	l.advance(now)
	at := len(l.flights)
	for at > 1 && l.flights[at-1].Rank > f.Rank {
		at--
	}
	l.flights = slices.Insert(l.flights, at, f)
}

// advance removes what must have been prefilled by now.
func (l *prefillQueue) advance(now time.Time) {
	spent := inMilliseconds(now.Sub(l.since))
	l.since = now
	for len(l.flights) > 0 && spent > 0 {
		f := l.flights[0]
		if f.prefillLeft > spent {
			f.prefillLeft -= spent
			return
		}
		spent -= f.prefillLeft
		f.prefillLeft = 0
		f.prefilledAt = now.Add(-milliseconds(spent))
		l.flights = l.flights[1:]
	}
}

// remove removes a flight that was prefilled or will not be.
func (l *prefillQueue) remove(now time.Time, f *flight) {
	l.advance(now)
	if i := slices.Index(l.flights, f); i >= 0 {
		l.flights = slices.Delete(l.flights, i, i+1)
	}
}

// timeAhead returns the milliseconds of prefill ahead of a request of a rank.
func (l *prefillQueue) timeAhead(now time.Time, rank int) float64 {
	l.advance(now)
	sum := 0.0
	for i, f := range l.flights {
		if i > 0 && f.Rank > rank {
			break
		}
		sum += f.prefillLeft
	}
	return sum
}

// timeUpToRank returns the milliseconds of prefill of flights that are at least as urgent as a
// rank.
func (l *prefillQueue) timeUpToRank(now time.Time, rank int) float64 {
	l.advance(now)
	sum := 0.0
	for _, f := range l.flights {
		if f.Rank <= rank {
			sum += f.prefillLeft
		}
	}
	return sum
}

// clear empties the queue once the engine has prefilled all.
func (l *prefillQueue) clear(now time.Time) {
	l.flights, l.since = nil, now
}

// maxRank is less urgent than every rank: all flights are ahead of it.
const maxRank = math.MaxInt
