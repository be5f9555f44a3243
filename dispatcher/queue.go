package dispatcher

import (
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
)

// maxQueues is the number of organisation queues in a class above which idle
// ones are dropped.
const maxQueues = 2048

// waiter is a request that waits for a grant.
type waiter struct {
	from        string
	ask         messenger.Ask
	class       *class
	queue       *orgQueue
	askedAt     time.Time
	targetStart time.Time // latest start that meets the targets of its class
	latestStart time.Time // latest start that meets its deadline
	cost        float64   // seconds on a place, estimated
	tokens      float64   // of output, estimated
	postponed   bool      // its targets are missed; only its deadline counts
	queueIndex  int       // in queue.waiting
	latestIndex int       // in Dispatcher.byLatestStart
	targetIndex int       // in Dispatcher.byTargetStart; -1 if not there
	sequence    uint64
}

// before orders requests by earliest deadline first, and by arrival where the
// deadlines are equal.
func before(a, b *waiter) bool {
	if !a.targetStart.Equal(b.targetStart) {
		return a.targetStart.Before(b.targetStart)
	}
	return a.sequence < b.sequence
}

// orgQueue is one organisation's waiting requests of one class.
type orgQueue struct {
	organisation string
	waiting      heap[*waiter]
	served       float64 // tokens; estimated for requests in progress
	backlog      float64 // seconds on a place, of waiting requests that are not postponed
	used         int     // places in use
	meanUsed     float64 // moving mean of used
	classIndex   int     // in class.active; -1 if no request waits
}

// class is the queue of one service class and the places that it uses.
type class struct {
	name          string
	config        loader.Class
	queues        map[string]*orgQueue
	active        heap[*orgQueue] // queues with a waiting request
	servedFloor   float64         // served tokens with which a returning organisation starts at least
	waiting       int
	postponed     int       // of waiting
	backlog       float64   // seconds on a place, of waiting requests that are not postponed
	used          int       // places in use
	unservedSince time.Time // last grant, or when the queue became non-empty
	fair          bool      // organisations take turns
	counts        Counts
}

// Counts is the outcomes of a class's requests at this dispatcher so far.
type Counts struct {
	Granted   uint64 `json:"granted"`
	Refused   uint64 `json:"refused"`
	Preempted uint64 `json:"preempted"`
	Reclaimed uint64 `json:"reclaimed"` // places reclaimed without a Done
}

func newClass(name string, c loader.Class, fair bool) *class {
	k := &class{name: name, config: c, queues: map[string]*orgQueue{}, fair: fair}
	k.active = heap[*orgQueue]{less: k.queueBefore, index: func(q *orgQueue) *int { return &q.classIndex }}
	return k
}

// queueBefore orders organisations by their served tokens, fewest first, and
// those within the same quantum by the earliest deadline of their requests.
func (k *class) queueBefore(a, b *orgQueue) bool {
	if x, y := int(a.served/fairQuantum), int(b.served/fairQuantum); k.fair && x != y {
		return x < y
	}
	return before(a.waiting.first(), b.waiting.first())
}

func (k *class) queueOf(organisation string) *orgQueue {
	q := k.queues[organisation]
	if q == nil {
		q = &orgQueue{organisation: organisation, classIndex: -1}
		q.waiting = heap[*waiter]{less: before, index: func(w *waiter) *int { return &w.queueIndex }}
		k.queues[organisation] = q
	}
	return q
}

func (k *class) push(now time.Time, w *waiter) {
	if k.waiting == 0 {
		k.unservedSince = now
	}
	w.queue = k.queueOf(w.ask.Organisation)
	if w.queue.classIndex < 0 {
		w.queue.meanUsed = float64(w.queue.used)
		w.queue.served = max(w.queue.served, k.servedFloor)
	}
	w.queue.waiting.push(w)
	k.waiting++
	k.addBacklog(w, w.cost)
	if w.queue.classIndex < 0 {
		k.active.push(w.queue)
		return
	}
	k.active.fix(w.queue.classIndex)
}

func (k *class) remove(w *waiter) {
	q := w.queue
	q.waiting.remove(w.queueIndex)
	k.waiting--
	if w.postponed {
		k.postponed--
	} else {
		k.addBacklog(w, -w.cost)
	}
	if len(q.waiting.items) > 0 {
		k.active.fix(q.classIndex)
		return
	}
	k.active.remove(q.classIndex)
	k.prune(q)
}

// prune drops a queue that is not in use if the class has too many.
func (k *class) prune(q *orgQueue) {
	if len(k.queues) > maxQueues && q.classIndex < 0 && q.used == 0 {
		delete(k.queues, q.organisation)
	}
}

func (k *class) addBacklog(w *waiter, cost float64) {
	k.backlog = max(0, k.backlog+cost)
	w.queue.backlog = max(0, w.queue.backlog+cost)
}

// postpone moves a request that missed its targets behind those that can still
// meet theirs: served first, it would only make these late as well.
func (k *class) postpone(w *waiter) {
	k.addBacklog(w, -w.cost)
	w.postponed, w.targetStart = true, w.latestStart
	k.postponed++
	w.queue.waiting.fix(w.queueIndex)
	k.active.fix(w.queue.classIndex)
}

// expectedWait returns the seconds for which a new request of queue q waits
// when the class uses the given number of places. As organisations take turns,
// that is the time for the queue's own backlog and for as much of the backlog
// of each other queue.
//
// The other organisations keep sending meanwhile, so a large organisation's
// queue is drained only at the rate that they leave to it. The wait is
// therefore at least the queue's own backlog at that rate.
func (k *class) expectedWait(q *orgQueue, places float64) float64 {
	if q == nil || !k.fair {
		return k.backlog / places
	}
	sum := 0.0
	for _, o := range k.active.items {
		sum += min(o.backlog, q.backlog)
	}
	rate := max(q.meanUsed, places/float64(max(len(k.active.items), 1)))
	return max(sum/places, q.backlog/min(rate, places))
}

// updateMeans updates the mean number of places in use of each queue with a
// waiting request.
func (k *class) updateMeans(weight float64) {
	for _, q := range k.active.items {
		q.meanUsed += weight * (float64(q.used) - q.meanUsed)
	}
}

// first returns the request of the class that is granted next.
func (k *class) first() *waiter { return k.active.first().waiting.first() }

// charge adds to the tokens that an organisation was served; a negative number
// corrects an estimate that was too high.
func (k *class) charge(organisation string, tokens float64) {
	q := k.queueOf(organisation)
	if tokens > 0 {
		k.servedFloor = max(k.servedFloor, q.served)
	}
	q.served = max(0, q.served+tokens)
	if q.classIndex >= 0 {
		k.active.fix(q.classIndex)
	}
}
