package reserver

import (
	"errors"
	"math"
)

// ErrTooManyEvents means that a stream has far more events than its request allows tokens.
var ErrTooManyEvents = errors.New("the stream has more events than its request allows")

const (
	// eventsPerToken is how many events a stream may have for each token: an event has one or more, but
	// for some that have none, such as those that keep a connection open.
	eventsPerToken = 2
	// spareEvents is how many it may have beside that.
	spareEvents = 256
)

// MaxEvents returns how many events a stream may have whose request allows a number of tokens. 0 means
// that the request states none, and allows any number.
func MaxEvents(tokens int) int {
	if tokens <= 0 {
		return math.MaxInt
	}
	return eventsPerToken*tokens + spareEvents
}
