package dispatcher

import (
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
)

// mostLines bounds the organisations that a class remembers while they wait for
// nothing.
const mostLines = 2048

// waiter is a request that waits for a grant.
type waiter struct {
	from     string
	ask      messenger.Ask
	class    *class
	line     *line
	asked    time.Time
	due      time.Time // to start by, for its targets
	end      time.Time // to start by, for its deadline
	cost     float64   // seconds on a place, estimated
	tokens   float64   // estimated
	late     bool      // its targets are missed; only its deadline is left
	inLine   int
	inLate   int
	inSoon   int
	sequence uint64
}

// before is earliest deadline first.
func before(a, b *waiter) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.sequence < b.sequence
}

// line is one organisation's waiting requests of one class.
type line struct {
	organisation string
	waiting      heap[*waiter]
	served       float64 // tokens, estimated until done
	backlog      float64 // seconds on a place, of what waits and is not late
	held         int     // places in use
	rate         float64 // places in use, a moving mean
	inClass      int
}

// class is the queue of one service class and what it has in use.
type class struct {
	name    string
	config  loader.Class
	lines   map[string]*line
	active  heap[*line] // those with a request waiting
	floor   float64     // served tokens that an organisation coming back starts at
	waiting int
	late    int     // of those, whose targets are missed
	backlog float64 // seconds on a place, of what waits and is not late
	held    int     // places in use
	fed     time.Time
	fair    bool
	counts  Counts
}

// Counts is what became of a class's requests at this dispatcher so far.
type Counts struct {
	Granted   uint64 `json:"granted"`
	Refused   uint64 `json:"refused"`
	Preempted uint64 `json:"preempted"`
	Reclaimed uint64 `json:"reclaimed"` // places taken back without a Done
}

func newClass(name string, c loader.Class, fair bool) *class {
	k := &class{name: name, config: c, lines: map[string]*line{}, fair: fair}
	k.active = heap[*line]{less: k.lineBefore, index: func(l *line) *int { return &l.inClass }}
	return k
}

// lineBefore puts the organisation that was served less first; those within a
// quantum go by their earliest deadline.
func (k *class) lineBefore(a, b *line) bool {
	if x, y := int(a.served/fairQuantum), int(b.served/fairQuantum); k.fair && x != y {
		return x < y
	}
	return before(a.waiting.first(), b.waiting.first())
}

func (k *class) lineOf(organisation string) *line {
	l := k.lines[organisation]
	if l == nil {
		l = &line{organisation: organisation, inClass: -1}
		l.waiting = heap[*waiter]{less: before, index: func(w *waiter) *int { return &w.inLine }}
		k.lines[organisation] = l
	}
	return l
}

func (k *class) push(now time.Time, w *waiter) {
	if k.waiting == 0 {
		k.fed = now
	}
	w.line = k.lineOf(w.ask.Organisation)
	if w.line.inClass < 0 {
		w.line.rate = float64(w.line.held)
		w.line.served = max(w.line.served, k.floor)
	}
	w.line.waiting.push(w)
	k.waiting++
	k.count(w, w.cost)
	if w.line.inClass < 0 {
		k.active.push(w.line)
		return
	}
	k.active.fix(w.line.inClass)
}

func (k *class) remove(w *waiter) {
	l := w.line
	l.waiting.remove(w.inLine)
	k.waiting--
	if w.late {
		k.late--
	} else {
		k.count(w, -w.cost)
	}
	if len(l.waiting.items) > 0 {
		k.active.fix(l.inClass)
		return
	}
	k.active.remove(l.inClass)
	k.forget(l)
}

// forget drops a line of no use once there are many.
func (k *class) forget(l *line) {
	if len(k.lines) > mostLines && l.inClass < 0 && l.held == 0 {
		delete(k.lines, l.organisation)
	}
}

func (k *class) count(w *waiter, cost float64) {
	k.backlog = max(0, k.backlog+cost)
	w.line.backlog = max(0, w.line.backlog+cost)
}

// postpone puts a request that missed its targets behind those that can still
// meet theirs: served first, it would only make the next ones late too.
func (k *class) postpone(w *waiter) {
	k.count(w, -w.cost)
	w.late, w.due = true, w.end
	k.late++
	w.line.waiting.fix(w.inLine)
	k.active.fix(w.line.inClass)
}

// wait is the seconds that a new request of a line waits for the line's own and,
// as organisations take turns, for as much of each other's. The second bound is
// for what the others still ask for meanwhile: a large organisation's line moves
// at the rate that they leave it.
func (k *class) wait(l *line, places float64) float64 {
	if l == nil || !k.fair {
		return k.backlog / places
	}
	sum := 0.0
	for _, o := range k.active.items {
		sum += min(o.backlog, l.backlog)
	}
	rate := max(l.rate, places/float64(max(len(k.active.items), 1)))
	return max(sum/places, l.backlog/min(rate, places))
}

// average follows the places that each line with a request waiting uses.
func (k *class) average(weight float64) {
	for _, l := range k.active.items {
		l.rate += weight * (float64(l.held) - l.rate)
	}
}

// first is the request of the class that goes next.
func (k *class) first() *waiter { return k.active.first().waiting.first() }

// charge counts tokens that an organisation was served, or gives back what was
// counted too much.
func (k *class) charge(organisation string, tokens float64) {
	l := k.lineOf(organisation)
	if tokens > 0 {
		k.floor = max(k.floor, l.served)
	}
	l.served = max(0, l.served+tokens)
	if l.inClass >= 0 {
		k.active.fix(l.inClass)
	}
}
