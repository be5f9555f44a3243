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
func (q *prefillQueue) add(now time.Time, f *flight) {
	q.advance(now)
	at := len(q.flights)
	for at > 1 && q.flights[at-1].Rank > f.Rank {
		at--
	}
	q.flights = slices.Insert(q.flights, at, f)
}

// advance removes the prompts that must have been prefilled by now.
func (q *prefillQueue) advance(now time.Time) {
	spent := inMilliseconds(now.Sub(q.since))
	q.since = now
	for len(q.flights) > 0 && spent > 0 {
		f := q.flights[0]
		if f.prefillLeft > spent {
			f.prefillLeft -= spent
			return
		}
		spent -= f.prefillLeft
		f.prefillLeft = 0
		f.prefilledAt = now.Add(-milliseconds(spent))
		q.flights = q.flights[1:]
	}
}

// remove removes a flight that was prefilled or will not be.
func (q *prefillQueue) remove(now time.Time, f *flight) {
	q.advance(now)
	if i := slices.Index(q.flights, f); i >= 0 {
		q.flights = slices.Delete(q.flights, i, i+1)
	}
}

// timeAhead returns the milliseconds of prefill ahead of a request of a rank.
func (q *prefillQueue) timeAhead(now time.Time, rank int) float64 {
	q.advance(now)
	sum := 0.0
	for i, f := range q.flights {
		if i > 0 && f.Rank > rank {
			break
		}
		sum += f.prefillLeft
	}
	return sum
}

// timeUpToRank returns the milliseconds of prefill of flights that are at least as urgent as a
// rank.
func (q *prefillQueue) timeUpToRank(now time.Time, rank int) float64 {
	q.advance(now)
	sum := 0.0
	for _, f := range q.flights {
		if f.Rank <= rank {
			sum += f.prefillLeft
		}
	}
	return sum
}

// clear empties the queue once the engine has prefilled all.
func (q *prefillQueue) clear(now time.Time) {
	q.flights, q.since = nil, now
}

// maxRank is less urgent than every rank: all flights are ahead of it.
const maxRank = math.MaxInt
