package faker

import (
	"strconv"
	"time"
)

// fallTime is how long a worker that fell over is away.
const fallTime = 2 * time.Second

// brittle is the state of a worker that has no room for waiting requests and falls over if it
// turns away too many.
type brittle struct {
	allowed    int         // requests that it may turn away in a second; 0 if it is not brittle
	strictFrom time.Time   // from when it lets none wait
	running    int         // requests
	turnedAway []time.Time // in the last second
	fallenTill time.Time
	falls      int
}

// stated returns the value of the header in all answers; "" for none.
func (b *brittle) stated() string {
	if b.allowed == 0 {
		return ""
	}
	return strconv.Itoa(b.allowed)
}

// SetBrittle makes the worker say in all answers from now on that it falls over if it turns
// away more requests in a second than allowed, and do so from strictFrom on; 0 ends that.
func (k *Worker) SetBrittle(allowed int, strictFrom time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.brittle.allowed, k.brittle.strictFrom, k.brittle.turnedAway = allowed, strictFrom, nil
}

// Falls returns how often the worker fell over.
func (k *Worker) Falls() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.brittle.falls
}

// enter admits a request, unless the worker is brittle and full; fallen reports that it has
// fallen over. An admitted request ends with leave.
func (k *Worker) enter(now time.Time) (admitted, fallen bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := &k.brittle
	switch {
	case now.Before(b.fallenTill):
		return false, true
	case b.allowed == 0 || now.Before(b.strictFrom) || b.running < k.Slots:
		b.running++
		return true, false
	}
	for len(b.turnedAway) > 0 && now.Sub(b.turnedAway[0]) > time.Second {
		b.turnedAway = b.turnedAway[1:]
	}
	b.turnedAway = append(b.turnedAway, now)
	if len(b.turnedAway) > b.allowed {
		b.falls++
		b.fallenTill, b.turnedAway = now.Add(fallTime), nil
		return false, true
	}
	return false, false
}

func (k *Worker) leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.brittle.running--
}
