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
	inLine   int
	inLate   int
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
	backlog float64 // seconds on a place, of what waits
	held    int     // places in use
	fed     time.Time
	fair    bool
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
		w.line.served = max(w.line.served, k.floor)
	}
	w.line.waiting.push(w)
	k.waiting++
	k.backlog += w.cost
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
	k.backlog = max(0, k.backlog-w.cost)
	if len(l.waiting.items) > 0 {
		k.active.fix(l.inClass)
		return
	}
	k.active.remove(l.inClass)
	if len(k.lines) > mostLines {
		delete(k.lines, l.organisation)
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
