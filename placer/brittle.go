package placer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// brittleWindow is the time in which the requests that a brittle worker turns away are
	// counted.
	brittleWindow = time.Second
	// brittleBackoff is the part of its requests that a brittle worker has room for after it
	// turned one away.
	brittleBackoff = 3.0 / 4
	// brittleGrowth is the part of a brittle worker's slots by which its room grows in a second
	// after it has turned a request away, and minBrittleGrowth the minimum, in requests.
	brittleGrowth    = 1.0 / 8
	minBrittleGrowth = 1.0
	// brittleLag is the longest delay of a report of a sent request to other hosts.
	brittleLag = 5 * time.Millisecond
	// pressedTime is how long after a brittle worker turned a request away the hosts take
	// turns to fill it.
	pressedTime = 5 * time.Second
	// brittleMarginShare is the part of a brittle worker's slots that all hosts but one leave
	// free at most, for what the others have just sent.
	brittleMarginShare = 1.0 / 4
)

// brittle is how carefully a worker is filled that says that it falls over if it has to turn
// away many requests, of all hosts together. The zero brittle is that of any other worker.
type brittle struct {
	allowed    int         // requests that it may turn away in a second; 0 if it does not say so
	since      time.Time   // when it was first known to say so
	room       float64     // requests that it is known to have room for, as of roomAt
	roomAt     time.Time   // when it last turned a request away; zero for never
	turnedAway []time.Time // in the last brittleWindow
	ownSent    []time.Time // by this host, in the last brittleLag
}

// sent records a request that this host sent to the worker.
func (b *brittle) sent(now time.Time) {
	if b.allowed > 0 {
		b.ownSent = append(b.ownSent, now)
	}
}

// turn reports whether this host, one of so many, may send another request while the worker
// has so much room. As many answers arrive at once, all hosts see the same room at once: each
// uses its part of it until it receives reports of the others' requests. With a part of less than one,
// the hosts take turns by chance once the worker has turned requests away.
func (b *brittle) turn(now time.Time, room, hosts int, chance float64) bool {
	for len(b.ownSent) > 0 && now.Sub(b.ownSent[0]) >= brittleLag {
		b.ownSent = b.ownSent[1:]
	}
	part := float64(room+len(b.ownSent)) / float64(max(hosts, 1))
	if len(b.ownSent) > 0 || part >= 1 {
		return float64(len(b.ownSent)+1) <= part
	}
	pressed := !b.roomAt.IsZero() && now.Sub(b.roomAt) < pressedTime
	return !pressed || chance < part
}

// turned records a request that the worker turned away while it had so many others, of all
// hosts. Its room is halved, and then grows again.
func (b *brittle) turned(now time.Time, others, slots int) {
	if b.allowed == 0 {
		return
	}
	b.expire(now)
	b.turnedAway = append(b.turnedAway, now)
	b.room, b.roomAt = math.Max(brittleBackoff*float64(min(others, slots)), 1), now
}

// expire forgets the requests that were turned away before the window.
func (b *brittle) expire(now time.Time) {
	for len(b.turnedAway) > 0 && now.Sub(b.turnedAway[0]) >= brittleWindow {
		b.turnedAway = b.turnedAway[1:]
	}
}

// limit returns the number of requests that a worker with so many slots may have at a time,
// for a host that leaves a margin to the others. It lets none wait. Half of what it may turn
// away is left to requests that are on their way.
func (b *brittle) limit(now time.Time, slots, margin int) int {
	if b.allowed == 0 {
		return math.MaxInt
	}
	b.expire(now)
	if len(b.turnedAway) >= (b.allowed+1)/2 {
		return 0
	}
	most := max(slots-1, 1)
	if b.roomAt.IsZero() {
		return most - margin
	}
	growth := math.Max(brittleGrowth*float64(slots), minBrittleGrowth)
	return min(int(b.room+growth*now.Sub(b.roomAt).Seconds()), most) - margin
}

// SetHosts sets the number of hosts that send requests by views of their own, and the index of
// this host among them.
func (v *View) SetHosts(count, self int) { v.hosts, v.hostIndex = count, self }

// brittleMargin returns the requests of a brittle worker's room that this host leaves to the
// others: those whose reports it has not received yet. One host, a different one for each worker, leaves
// none.
func (v *View) brittleMargin(w *worker) int {
	if w.brittle.allowed == 0 || v.hosts < 2 || int(xxhash.Sum64String(w.Name)%uint64(v.hosts)) == v.hostIndex {
		return 0
	}
	return min(v.hosts-1, int(brittleMarginShare*float64(w.Slots)))
}

// full reports whether a brittle worker gets no requests from this host now.
func (v *View) full(now time.Time, w *worker) bool { return v.fullBy(now, w, v.chance) }

// leastChance is the draw by which a host gets no turn that depends on chance.
const leastChance = 1

// fullBy is full, by a draw from 0 to 1.
func (v *View) fullBy(now time.Time, w *worker, chance float64) bool {
	if w.brittle.allowed == 0 {
		return false
	}
	room := w.brittle.limit(now, w.Slots, v.brittleMargin(w)) - len(w.flights)
	return room <= 0 || !w.brittle.turn(now, room, v.hosts, chance)
}

// BrittleWorker is a worker that says that it falls over if it turns away more requests in a
// second than Allowed; 0 means that it no longer says so.
type BrittleWorker struct {
	Worker  string
	Allowed int
}

// UpdateBrittle records what a worker said in an answer to a request that was sent at a time:
// what answers an older request does not end what it said since. All workers of a service are
// brittle together, so the others are filled as carefully until they say otherwise.
// UpdateBrittle reports whether other hosts may not know it.
func (v *View) UpdateBrittle(now, sentAt time.Time, worker string, allowed int) bool {
	w := v.workers[worker]
	if w == nil || w.brittle.allowed == allowed || allowed == 0 && sentAt.Before(w.brittle.since) {
		return false
	}
	v.setBrittle(now, w, allowed)
	return true
}

// ReceiveBrittle applies what a worker said to another host.
func (v *View) ReceiveBrittle(now time.Time, b BrittleWorker) {
	if w := v.workers[b.Worker]; w != nil && w.brittle.allowed != b.Allowed {
		v.setBrittle(now, w, b.Allowed)
	}
}

// inheritBrittle makes workers that have joined a brittle service as brittle as the others.
func (v *View) inheritBrittle(now time.Time) {
	for _, w := range v.sorted {
		if w.brittle.allowed > 0 {
			v.setBrittle(now, w, w.brittle.allowed)
		}
	}
}

func (v *View) setBrittle(now time.Time, w *worker, allowed int) {
	if allowed <= 0 {
		w.brittle = brittle{}
		return
	}
	for _, other := range v.sorted {
		if other.Service != w.Service || other != w && other.brittle.allowed > 0 {
			continue
		}
		if other.brittle.allowed == 0 {
			other.brittle.since = now
		}
		other.brittle.allowed = allowed
	}
}

// Brittle returns the workers that say that they are brittle, or whose service's others do.
func (v *View) Brittle() []BrittleWorker {
	var out []BrittleWorker
	for _, w := range v.sorted {
		if w.brittle.allowed > 0 {
			out = append(out, BrittleWorker{Worker: w.Name, Allowed: w.brittle.allowed})
		}
	}
	return out
}

// IsBrittle reports whether a worker says that it is brittle, or others of its service do.
func (v *View) IsBrittle(worker string) bool {
	w := v.workers[worker]
	return w != nil && w.brittle.allowed > 0
}

// refuseByBrittle refuses a request if no worker of its service has room and they are
// brittle: its caller may return when the first may have answered another request.
func refuseByBrittle(candidates []candidate) *Refusal {
	if len(candidates) == 0 {
		return nil
	}
	soonest := math.Inf(1)
	for i := range candidates {
		if !candidates[i].full {
			return nil
		}
		soonest = math.Min(soonest, candidates[i].wait)
	}
	return newRefusal("brittle", milliseconds(soonest))
}
