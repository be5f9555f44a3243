package placer

import (
	"math"
	"time"
)

// others is what the requests at a worker mean for one more.
type others struct {
	// tight is the streams whose target for pauses a stretch of reading breaks. Those more
	// urgent than the request count urgentWeight times.
	tight float64
	// urgent is how many are of more urgent routes.
	urgent int
	// overdue is the milliseconds by which the worker is behind what was predicted, and
	// equal the same for requests as urgent as this one, or more.
	overdue, equal float64
}

// others looks at each request at the worker once.
func (w *worker) others(now time.Time, a Request) others {
	var o others
	stretch := milliseconds(tightShare * w.stretch())
	rest := w.rest()
	for _, f := range w.flights {
		if f.Tier < a.Tier {
			o.urgent++
		}
		if f.Gap > 0 && f.Gap < stretch {
			o.tight += f.weight(a.Rank)
		}
		if f.begun || f.readBy.IsZero() || !f.until.IsZero() {
			continue // nobody will tell that one of a lost host has begun
		}
		behind := inMilliseconds(now.Sub(f.readBy)) - rest
		o.overdue = math.Max(o.overdue, behind)
		if f.Rank <= a.Rank {
			o.equal = math.Max(o.equal, behind)
		}
	}
	return o
}

// weight is how many times a stream counts for a request of a rank.
func (f *flight) weight(rank int) float64 {
	if f.Rank < rank {
		return urgentWeight
	}
	return 1
}
