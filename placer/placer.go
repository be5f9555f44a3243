// Package placer decides which worker gets a request, and when none should.
//
// A View is what one host knows of all workers: what it sent them itself, what
// the other hosts say they sent, and which parts of prompts each worker has read.
// From that it predicts how long each worker would take to the first event, and
// picks the least. It is pure: time and messages are arguments. The control
// goroutine of a host owns it.
package placer

import (
	"time"
)

// Worker is one backend server that may get requests.
type Worker struct {
	Name    string
	Service string
	Address string
	Zone    string
	Slots   int           // requests at once
	Memory  int           // tokens that an engine keeps; 0 for a plain service
	Event   int           // tokens of one event of an engine's stream
	Token   int           // bytes that a token takes in an engine's memory
	Link    float64       // megabits a second at which it fetches memory from another; 0 where it can't
	Cold    time.Duration // it is slow for that much longer
	Born    string        // differs after a restart under the same name
}

// Part is one part of a prompt. Key names it together with all parts before it:
// a part is of use to a request only where those are there too.
type Part struct {
	Key    uint64
	Tokens int
}

// Ask is a request that wants a worker.
type Ask struct {
	Service  string
	Zone     string // of the host that sends it; "" is the view's
	Parts    []Part
	Prompt   int           // tokens, all parts included; 0 for a plain service
	Output   int           // tokens, guessed
	Expected int           // tokens of output that the caller expects; 0 where it does not say
	Rank     int           // among all that engines are told; 0 is the most urgent
	Tier     int           // of its route alone; 0 is the most urgent
	Left     time.Duration // until nobody waits for the answer any more
	Patience time.Duration // until the caller leaves for want of a first event; 0 is Left
	Target   time.Duration // for the answer, or a stream's first event
	Gap      time.Duration // target for the longest pause in a stream; 0 is none
	Exclude  []string      // workers that had it already
}

// Flight is a request on its way to, or at, a worker. It is what hosts tell each
// other.
type Flight struct {
	ID     uint64
	Worker string
	Parts  []Part
	Read   int           // tokens of the prompt that the worker has to read
	Hold   int           // tokens that it takes up there
	Left   time.Duration // its answer is over by then
	Gap    time.Duration // target for the longest pause in its stream; 0 is none
	Rank   int           // 0 is the most urgent
	Tier   int           // of its route alone
	Fetch  int           // tokens of the prompt that the worker fetches from another
}

// Refusal says that no worker should get a request now.
type Refusal struct {
	After time.Duration // when there may be room
	Why   string
}

// Choice is where a request goes.
type Choice struct {
	Worker  Worker
	Flight  Flight
	Wait    time.Duration // expected until its first event, or its answer
	Pause   time.Duration // it is to be sent only then
	Source  string        // address of the worker that it is to fetch memory from; "" where it reads all
	Filling bool          // with it, half of its worker's slots are taken or more
}

// Outcome is how a request at a worker ended.
type Outcome int

// Outcomes of a flight.
const (
	Answered Outcome = iota
	Errored          // the worker said that it failed
	Refused          // the worker said that it did not run the request
	Misled           // another worker has the address
	Broken           // no answer, or one that broke off
	Dropped          // the caller went away, or the time was up
)

const (
	// chunk is the prompt tokens that an engine reads between two steps of decoding.
	chunk = 2048.0
	// stepTime is a step of decoding with few requests, in milliseconds.
	stepTime = 4.7
	// contextTime is what a thousand tokens of running requests add to a step, in
	// milliseconds.
	contextTime = 0.016
	// serviceStart is the time of a plain service's answer until its own is known.
	serviceStart = 40 * time.Millisecond
	// fillingShare is the part of a worker's slots from which on it is filling. What is
	// told late of requests sent before that can't fill the other half.
	fillingShare = 0.5
	// paceWeight is the part of a new sample in what a worker takes.
	paceWeight = 0.1
)

// View is one host's view of all workers.
type View struct {
	zone    string
	workers map[string]*worker // by name
	flights map[uint64]*flight
	over    map[uint64]time.Time     // when requests ended of which nothing else was heard
	pace    map[string]time.Duration // of plain services: time of an answer
	fits    map[string]*fit          // of services with engines: time to the first event
	options []option                 // of the request under way; kept for its memory
	demands demands
	booked  map[class]time.Time // when the refused will have been read that were told to come back
}

// flight is a Flight as the view keeps it.
type flight struct {
	Flight
	from   string // host; "" for this one
	at     time.Time
	unread float64       // milliseconds of reading that are left, as predicted
	readBy time.Time     // when it must have been read; zero before
	alone  bool          // nothing else was read from its sending to its first event
	begun  bool          // its first event was seen
	rounds float64       // of work that its plain worker needed to come to its answer, as predicted
	ends   float64       // milliseconds until its last event, as predicted from what engines read; 0 where that is not known
	took   time.Duration // until its first event or its answer, as its host saw; 0 before
}

// New returns a view that knows no worker. Workers of the host's own zone go first
// where nothing else decides.
func New(zone string) *View {
	return &View{zone: zone, workers: map[string]*worker{}, flights: map[uint64]*flight{}, over: map[uint64]time.Time{}, pace: map[string]time.Duration{}, fits: map[string]*fit{}, booked: map[class]time.Time{}, demands: demands{}}
}

// SetWorkers takes the workers that may get requests. What is known of those that
// stay is kept; one that was born anew holds nothing. It returns those that came
// and those that went.
func (v *View) SetWorkers(now time.Time, workers []Worker) (added, gone []Worker) {
	old := v.workers
	v.workers = make(map[string]*worker, len(workers))
	for _, w := range workers {
		x := old[w.Name]
		if x == nil || x.Born != w.Born || x.Address != w.Address {
			x = newWorker()
			x.coldUntil = now.Add(w.Cold)
			added = append(added, w)
		}
		x.Worker, x.fit = w, v.fitOf(w.Service)
		v.workers[w.Name] = x
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

// Workers is the number of workers of a service.
func (v *View) Workers(service string) int {
	n := 0
	for _, w := range v.workers {
		if w.Service == service {
			n++
		}
	}
	return n
}

// Place picks a worker for a request and counts it there.
func (v *View) Place(now time.Time, id uint64, a Ask) (Choice, *Refusal) {
	return v.PlaceFor(now, "", id, a)
}

// PlaceFor is Place for a request that another host sends.
func (v *View) PlaceFor(now time.Time, from string, id uint64, a Ask) (Choice, *Refusal) {
	best, refusal := v.best(now, a)
	if refusal != nil {
		return Choice{}, refusal
	}
	f := Flight{
		ID: id, Worker: best.Name, Parts: a.Parts, Read: best.read, Hold: a.Prompt + a.Output, Left: a.Left, Gap: a.Gap, Rank: a.Rank, Tier: a.Tier,
		Fetch: best.fetch,
	}
	filling := fillingShare*float64(best.Slots) <= float64(len(best.flights)+1)
	c := Choice{Filling: filling, Worker: best.Worker, Flight: f, Wait: milliseconds(v.wait(best)), Pause: best.pause(a), Source: best.source}
	v.add(now, from, f)
	if a.Expected > 0 && best.Memory > 0 {
		v.flights[id].ends = best.finish(v.wait(best), a)
	}
	return c, nil
}

// best is the option with the least cost for a request. Where the request should not
// go there, any other that has room for it and no stream that it would disturb does;
// else it is refused. To send it to the streams' workers instead was tried: it makes
// them late in the place of what was refused.
func (v *View) best(now time.Time, a Ask) (*option, *Refusal) {
	v.demands.note(now, a)
	options := v.weigh(now, a)
	best := cheapest(options, func(*option) bool { return true })
	if best == nil {
		return nil, &Refusal{After: noneAfter, Why: "no_workers"}
	}
	refusal := v.refuse(best, a)
	if refusal == nil {
		return best, nil
	}
	best = cheapest(options, func(o *option) bool { return o.tight == 0 && v.refuse(o, a) == nil })
	if best == nil {
		refusal.After = v.book(now, a, options, refusal.After)
		return nil, refusal
	}
	return best, nil
}

// weigh is what a request would make each worker of its service do, and what that
// costs.
func (v *View) weigh(now time.Time, a Ask) []option {
	options := v.options[:0]
	holder, held := v.holder(a)
	for _, w := range v.workers {
		if w.Service != a.Service || excluded(a, w.Name) {
			continue
		}
		o := w.option(now, a, holder, held)
		if o.Memory == 0 {
			o.own = inMilliseconds(v.paceOf(a.Service)) / float64(max(o.Slots, 1))
		}
		o.cost = v.cost(now, &o, a)
		options = append(options, o)
	}
	keepSlots(options)
	shareDuty(now, options)
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

func excluded(a Ask, worker string) bool {
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

// Heard takes a flight that another host told of.
func (v *View) Heard(now time.Time, from string, f Flight) {
	if _, over := v.over[f.ID]; over {
		// Failure: one host tells that a request was sent, another that it ended, and the
		// second word comes first. Taken in that order, the request never ends.
		delete(v.over, f.ID)
		return
	}
	if v.flights[f.ID] == nil {
		v.add(now, from, f)
	}
}

// add counts a flight at its worker.
func (v *View) add(now time.Time, from string, f Flight) {
	x := &flight{Flight: f, from: from, at: now}
	v.flights[f.ID] = x
	if w := v.workers[f.Worker]; w != nil {
		w.take(now, x)
	}
}

// Begun takes that a flight's first event was seen now.
func (v *View) Begun(now time.Time, id uint64) {
	if f := v.flights[id]; f != nil {
		v.BegunAfter(now, id, now.Sub(f.at))
	}
}

// BegunAfter takes that a flight's first event was seen so long after it was sent,
// wherever that was. What one host sees teaches all: in a large fleet a decider sends
// next to nothing itself.
func (v *View) BegunAfter(now time.Time, id uint64, took time.Duration) {
	f := v.flights[id]
	if f == nil || f.begun {
		return
	}
	f.begun, f.took = true, took
	if w := v.workers[f.Worker]; w != nil && w.has(f) {
		w.began(now, f, took)
	}
}

// Ended takes that a flight is over.
func (v *View) Ended(now time.Time, id uint64, o Outcome) {
	f := v.flights[id]
	if f == nil {
		v.over[id] = now
		return
	}
	w := v.forget(now, f)
	if w == nil {
		return
	}
	w.judge(now, o)
	w.learnEnd(f, inMilliseconds(now.Sub(f.at)), o)
	if w.Memory == 0 && o == Answered {
		v.learn(w.Service, f)
	}
}

// forget takes a flight off and returns the worker that had it; nil where the view knows
// none, or only one that started after it was sent.
func (v *View) forget(now time.Time, f *flight) *worker {
	delete(v.flights, f.ID)
	w := v.workers[f.Worker]
	if w == nil || !w.has(f) {
		return nil
	}
	w.drop(now, f)
	return w
}

// learn takes the time of a plain service's answer, without the time that it waited for
// others: that is multiplied by the rounds before the next request again. Failure: each
// wait makes the next one look longer, and callers are refused for one that is not there.
// It is the time that the request's host saw, as word of its end comes late.
func (v *View) learn(service string, f *flight) {
	if f.took <= 0 {
		return // a host of an older version does not say
	}
	sample := time.Duration(float64(f.took) / f.rounds)
	known := v.paceOf(service)
	v.pace[service] = known + time.Duration(paceWeight*float64(sample-known))
}

// paceOf is the time of a plain service's answer that waits for no other.
func (v *View) paceOf(service string) time.Duration {
	if v.pace[service] == 0 {
		v.pace[service] = serviceStart
	}
	return v.pace[service]
}

// Lost forgets what a host that is gone had under way: workers drop requests
// whose connections end.
func (v *View) Lost(now time.Time, host string) {
	for _, f := range v.flights {
		if f.from == host && host != "" {
			v.forget(now, f)
		}
	}
}

// Sweep forgets flights that must be over, as what other hosts said of their end
// was lost.
func (v *View) Sweep(now time.Time) {
	for id, at := range v.over {
		if now.Sub(at) > overFor {
			delete(v.over, id)
		}
	}
	for _, f := range v.flights {
		if now.Sub(f.at) > f.Left+overdueMost {
			v.forget(now, f)
		}
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
