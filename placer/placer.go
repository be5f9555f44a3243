// Package placer decides which worker gets a request, and when none should.
//
// A View is what one host knows of all workers: what it sent them itself, what
// the other hosts say they sent, and which parts of prompts each worker has read.
// From that it predicts how long each worker would take to the first event, and
// picks the least. It is pure: time and messages are arguments. The control
// goroutine of a host owns it.
package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/quarantiner"
)

const (
	// chunk is the prompt tokens that an engine reads between two steps of decoding.
	chunk = 2048.0
	// stepTime is a step of decoding with few requests, in milliseconds.
	stepTime = 4.7
	// contextTime is what a thousand tokens of running requests add to a step, in
	// milliseconds.
	contextTime = 0.016
	// fillingShare is the part of a worker's slots from which on it is filling. What is
	// told late of requests sent before that can't fill the other half.
	fillingShare = 0.5
	// paceWeight is the part of a new sample in what a worker takes.
	paceWeight = 0.1
)

// View is one host's view of all workers.
type View struct {
	zone     string
	workers  map[string]*worker // by name
	order    []*worker          // the same, by name, so that what is decided repeats
	counts   map[string]int     // workers, by service
	flights  map[uint64]*flight
	over     map[uint64]time.Time     // when requests ended of which nothing else was heard
	pace     map[string]time.Duration // of plain services: time of an answer
	fits     map[string]*fit          // of services with engines: time to the first event
	options  []option                 // of the request under way; kept for its memory
	demands  demands                  // what came lately
	offers   offers                   // how much is asked for
	refused  []OfferedLoad            // what was refused and not told of yet
	guard    protection               // of the request under way
	suspects quarantiner.Tracker      // requests that ended workers
	told     time.Time                // when another host last told what it sent
	sharers  int                      // hosts that decide, where these share slots
	self     int                      // which of them this is
	booked   map[class]time.Time      // when the refused will have been read that were told to come back

	evictsFreely bool // what engines would evict costs nothing; for specs that play both
}

// New returns a view that knows no worker. Workers of the host's own zone go first
// where nothing else decides.
func New(zone string) *View {
	return &View{
		zone: zone, workers: map[string]*worker{}, flights: map[uint64]*flight{}, over: map[uint64]time.Time{},
		pace: map[string]time.Duration{}, fits: map[string]*fit{}, booked: map[class]time.Time{}, demands: demands{}, offers: offers{},
		suspects: quarantiner.Tracker{RenamedOnRestart: true},
	}
}

// SetWorkers takes the workers that may get requests. What is known of those that
// stay is kept; one that was born anew holds nothing. It returns those that came
// and those that went.
func (v *View) SetWorkers(now time.Time, workers []Worker) (added, gone []Worker) {
	old := v.workers
	v.workers = make(map[string]*worker, len(workers))
	for _, w := range workers {
		x := old[w.Name]
		if x == nil || x.Instance != w.Instance || x.Address != w.Address {
			x = newWorker()
			x.coldUntil = now.Add(w.ColdFor)
			added = append(added, w)
		}
		x.Worker, x.fit = w, v.fitOf(w.Service)
		v.workers[w.Name] = x
	}
	v.order = slices.SortedFunc(maps.Values(v.workers), func(a, b *worker) int { return cmp.Compare(a.Name, b.Name) })
	v.counts = map[string]int{}
	for _, x := range v.order {
		v.counts[x.Service]++
	}
	for name, x := range old {
		if v.workers[name] == nil {
			gone = append(gone, x.Worker)
		}
	}
	return added, gone
}

// fitOf is what is known of the engines of a service.
func (v *View) fitOf(service string) *fit {
	f := v.fits[service]
	if f == nil {
		f = newFit()
		v.fits[service] = f
	}
	return f
}

// WorkerCount is the number of workers of a service.
func (v *View) WorkerCount(service string) int { return v.counts[service] }

// Place picks a worker for a request and counts it there.
func (v *View) Place(now time.Time, id uint64, a Request) (Choice, *Refusal) {
	return v.PlaceFor(now, "", id, a)
}

// PlaceFor is Place for a request that another host sends.
func (v *View) PlaceFor(now time.Time, from string, id uint64, a Request) (Choice, *Refusal) {
	if left, held := v.suspects.Quarantined(now, a.Fingerprint); held {
		return Choice{}, refusal("quarantine", left)
	}
	best, refusal := v.best(now, a)
	v.offers.note(now, a.offer(best))
	if refusal != nil {
		v.count(a.offer(best))
		return Choice{Basis: v.basis(now, a, best)}, refusal
	}
	f := Flight{
		ID: id, Worker: best.Name, Parts: a.Parts, Prefill: best.read, Hold: a.Prompt + a.Output, Left: a.Left, Gap: a.Gap, Rank: a.Rank, Tier: a.Tier,
		Fetch: best.fetch, Output: a.Output, Fingerprint: a.Fingerprint,
	}
	c := Choice{
		Worker: best.Worker, Flight: f, Wait: milliseconds(best.wait), Delay: best.pause(a), Source: best.source,
		Filling: float64(len(best.flights)+1) >= fillingShare*float64(best.Slots),
	}
	ends := best.finish(a)
	v.add(now, from, f).ends = ends
	return c, nil
}

// best is the option with the least cost for a request. Where the request should not go
// there, another does: one without streams that it would disturb, or, where less urgent
// requests come, any. Else it is refused; then the option is the one that it would have got.
func (v *View) best(now time.Time, a Request) (*option, *Refusal) {
	v.demands.note(now, a)
	options := v.weigh(now, a)
	if refusal := v.limited(now, options, a); refusal != nil {
		return cheapest(options, anyOption), refusal
	}
	options = unspent(options)
	best := cheapest(options, (*option).hasSlot)
	if best == nil {
		best = cheapest(options, anyOption)
	}
	if best == nil {
		return nil, &Refusal{RetryAfter: noneAfter, Reason: "no_workers"}
	}
	refusal := v.refuse(best, a)
	if refusal == nil {
		return best, nil
	}
	least := v.demands.leastUrgent(a)
	other := cheapest(options, func(o *option) bool { return (o.tight == 0 || !least) && v.refuse(o, a) == nil })
	if other == nil {
		refusal.RetryAfter = v.book(now, a, options, refusal.RetryAfter)
		return best, refusal
	}
	return other, nil
}

// weigh is what a request would make each worker of its service do, and what that
// costs.
func (v *View) weigh(now time.Time, a Request) []option {
	options := v.options[:0]
	holder, held := v.holder(a)
	beside := v.beside(a)
	for _, w := range v.order {
		if w.Service != a.Service || excluded(a, w.Name) || beside != "" && w.Name != beside {
			continue
		}
		o := w.option(now, a, holder, held)
		o.margin = v.margin(w)
		if o.CacheTokens == 0 {
			v.plain(&o)
		}
		o.cost = v.cost(now, &o, a)
		options = append(options, o)
	}
	shareDuty(now, options)
	v.guard = v.protect(now, options, a)
	v.options = options
	return options
}

// cheapest is the option with the least cost among those that may.
func cheapest(options []option, may func(*option) bool) *option {
	var best *option
	for i := range options {
		o := &options[i]
		if best != nil && (o.cost > best.cost || o.cost == best.cost && o.Name > best.Name) || !may(o) {
			continue
		}
		best = o
	}
	return best
}

// anyOption takes every option.
func anyOption(*option) bool { return true }

func excluded(a Request, worker string) bool {
	for _, name := range a.Exclude {
		if name == worker {
			return true
		}
	}
	return false
}

// Worker is a worker by its name; false where there is none.
func (v *View) Worker(name string) (Worker, bool) {
	w := v.workers[name]
	if w == nil {
		return Worker{}, false
	}
	return w.Worker, true
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
