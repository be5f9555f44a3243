package placer

import "time"

const (
	// bookWeight is how many times the reading that refused requests will bring must pass
	// before the next one is told to come back: new ones come as well.
	bookWeight = 2.0
	// honoured is the part of the time that it has left which a caller stays away at most
	// when it is told to.
	honoured = 1.0 / 3
)

// class is the requests of a service that are as urgent as one another.
type class struct {
	service string
	rank    int
}

// book is when a refused request is to come back: when there is room, and when those
// that were refused before it have been read. Failure: callers that were refused
// together come back together, and all but the first are refused again. The less urgent
// do not make the more urgent wait.
func (v *View) book(now time.Time, a Request, options []option, after time.Duration) time.Duration {
	own := 0.0
	for _, o := range options {
		own += o.own / float64(len(options)*len(options))
	}
	at := now.Add(after)
	key := class{service: a.Service, rank: a.Rank}
	if b := v.booked[key]; b.After(at) {
		at = b
	}
	most := now.Add(time.Duration(honoured * float64(a.Left)))
	if at.After(most) {
		at = most
	}
	v.booked[key] = at.Add(milliseconds(bookWeight * own))
	return at.Sub(now)
}
