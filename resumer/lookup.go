package resumer

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// askTimeout is how long a host waits for what others know of a stream: many round trips
	// between zones, and a fraction of the time that callers wait for the next event.
	askTimeout = 100 * time.Millisecond
	// listTimeout is how long a host waits for the list of workers: a slow answer of its source.
	listTimeout = 400 * time.Millisecond
	// maxLookups bounds the lookups that wait for other hosts.
	maxLookups = 4096
	// maxAskKeys is the maximum number of streams in one request.
	maxAskKeys = 256
)

// TakenUp is a stream that a caller takes up.
type TakenUp struct {
	Stream   Key      // that the caller names; 0 if it names none
	Services []string // that its route leads to, the one chosen by weight first
}

// Result is why a stream that is taken up goes on, or does not.
type Result string

// Results of a lookup.
const (
	Pending    Result = "pending"     // other hosts are asked
	Known      Result = "known"       // the worker that began it is known
	OneVersion Result = "one_version" // only one version can have begun it
	Unknown    Result = "unknown"     // it may have begun at another version
	Moved      Result = "moved"       // its route no longer leads to the service that began it
)

// Reason is why nobody can tell which version began a stream.
type Reason string

// Reasons of an Unknown result.
const (
	NotAsked       Reason = "not_asked"        // too many lookups wait already
	NoList         Reason = "no_list"          // this host knows no worker of the service
	TwoVersions    Reason = "two_versions"     // they served within the life of a stream
	OthersDiffer   Reason = "others_differ"    // other hosts know of another version
	HistoryShort   Reason = "history_short"    // no host knows all of the life of a stream
	ListNotCurrent Reason = "list_not_current" // and too few hosts answered
)

// Answer states where a stream that is taken up may go on.
type Answer struct {
	Result Result
	Worker Worker        // that began it, if it is Known; a worker of the software that did for OneVersion
	From   string        // host that knew it; "" is this one
	Age    time.Duration // of the record
	Reason Reason        // of an Unknown result
	Basis  Basis         // of an answer about a stream that nobody knows
}

// Basis is what an answer about a stream that nobody knows rests on.
type Basis struct {
	Software []string      // that served in the service, as far as the host knows
	ListAge  time.Duration // of its list of workers
	Asked    int           // hosts that were asked, and those that are lost
	Answered int           // of them
}

// lookup is a stream that is taken up, for which other hosts are asked, or a current list of
// the workers is awaited.
type lookup struct {
	TakenUp
	reply      func(Answer)
	askedAt    time.Time
	asked      int             // hosts that were asked
	names      map[string]bool // of them
	waiting    map[string]bool // hosts that were asked and have not answered; nil before they were asked
	histories  map[string][]History
	question   Key  // of the request to other hosts; their answers have it
	listFailed bool // the list can't be had

	listThrottled bool // its source is up, but accepts no call of this host for now
}

// heard reports whether the hosts have been heard, or had the time to answer.
func (l *lookup) heard(now time.Time) bool {
	return l.waiting != nil && len(l.waiting) == 0 || now.Sub(l.askedAt) >= askTimeout
}

// Ask is a request to other hosts for what they know.
type Ask struct {
	Keys     []Key
	Services []string
}

// Told is another host's answer to an Ask.
type Told struct {
	Records   []Record
	Unknown   []Key
	Histories []History
}

// Resolve decides where a stream that is taken up may go on. If other hosts have to be asked, or
// the list of workers must be read, it returns a Pending Answer and calls reply later. askable
// reports whether there are other hosts.
func (r *Resumer) Resolve(now time.Time, t TakenUp, askable bool, reply func(Answer)) Answer {
	x := r.settled(t.Stream)
	if x != nil && (x.own || !askable || !x.Worker.IsUncertain()) {
		return known(now, t, x.Record)
	}
	own := r.history.view(now, t.Services[0], r.life(t.Services[0]))
	hopeless := !own.one() && (!askable || t.Stream == 0 && own.Complete)
	if hopeless {
		return r.answer(now, own, nil, 0, false)
	}
	if len(r.pending) >= maxLookups {
		a := r.answer(now, own, nil, 0, false)
		a.Reason = NotAsked
		return a
	}
	l := &lookup{TakenUp: t, reply: reply, askedAt: now, histories: map[string][]History{}}
	r.numbers++
	r.pending[r.numbers] = l
	if askable {
		r.queued = append(r.queued, r.numbers)
	} else {
		l.waiting = map[string]bool{}
	}
	return Answer{Result: Pending}
}

// known returns the answer for a stream whose beginning is known.
func known(now time.Time, t TakenUp, x Record) Answer {
	if !slices.Contains(t.Services, x.Worker.Service) {
		return Answer{Result: Moved, Worker: x.Worker, From: x.Host}
	}
	return Answer{Result: Known, Worker: x.Worker, From: x.Host, Age: now.Sub(x.At)}
}

// answer returns the answer for a stream that nobody knows, with what it rests on.
func (r *Resumer) answer(now time.Time, own History, others []History, asked int, current bool) Answer {
	result, reason := conclude(own, others, asked, current)
	a := Answer{
		Result: result, Reason: reason,
		Basis: Basis{Software: own.Software, ListAge: r.history.age(now), Asked: asked, Answered: len(others)},
	}
	if a.Result == OneVersion {
		a.Worker = r.history.workerOf(own.Service, own.Software[0])
	}
	return a
}

// conclude decides on a stream that nobody knows, by what this host and others know of the
// service's software, of so many that were asked. One of them must know all of a stream's life.
// The list must be current, as of after the stream was taken up: a host that stood still or was
// cut off does not see a version that the others use, and finds nobody who does if they failed
// meanwhile. If it can't be had, as the store is silent, more than half of them must have answered.
func conclude(own History, others []History, asked int, current bool) (Result, Reason) {
	switch len(own.Software) {
	case 0:
		return Unknown, NoList
	case 1:
	default:
		return Unknown, TwoVersions
	}
	complete := own.Complete
	for _, h := range others {
		if !h.one() || h.Software[0] != own.Software[0] {
			return Unknown, OthersDiffer
		}
		// What another host does not see in an old list, this one's current list need not have any more.
		complete = complete || h.Complete && (h.Fresh || !current)
	}
	switch {
	case !complete:
		return Unknown, HistoryShort
	case !current && 2*len(others) <= asked:
		return Unknown, ListNotCurrent
	}
	return OneVersion, ""
}

// DrainAsks returns the requests for the lookups since the last call, few for many of them, and
// notes which hosts get them.
func (r *Resumer) DrainAsks(hosts []string) []Ask {
	var out []Ask
	for part := range slices.Chunk(r.queued, maxAskKeys) {
		r.numbers++
		question := questionKey(r.self, r.numbers)
		a := Ask{Keys: []Key{question}}
		for _, n := range part {
			l := r.pending[n]
			if l == nil {
				continue
			}
			l.names, l.waiting, l.asked, l.question = map[string]bool{}, map[string]bool{}, len(hosts), question
			for _, h := range hosts {
				l.names[h], l.waiting[h] = true, true
			}
			if l.Stream != 0 {
				a.Keys = append(a.Keys, l.Stream)
			}
			if !slices.Contains(a.Services, l.Services[0]) {
				a.Services = append(a.Services, l.Services[0])
			}
		}
		out = append(out, a)
	}
	r.queued = nil
	return out
}

// questionKey returns the key that marks a request of a host. It names no stream, so that each
// answer has it among the keys that are not known: an answer to an earlier request may be of
// before the host stood still.
func questionKey(host string, number uint64) Key {
	return Key(xxhash.Sum64String(fmt.Sprintf("question\x00%s\x00%d", host, number)))
}

// Tell answers another host's request.
func (r *Resumer) Tell(now time.Time, a Ask) Told {
	var t Told
	for _, k := range a.Keys {
		if x := r.settled(k); x != nil {
			t.Records = append(t.Records, x.Record)
			continue
		}
		t.Unknown = append(t.Unknown, k)
	}
	for _, s := range a.Services {
		t.Histories = append(t.Histories, r.history.view(now, s, r.life(s)))
	}
	return t
}

// Vouches reports whether a host with a short history would go by this one's: it knows all of the
// life of the streams of a service, and of one version.
func (r *Resumer) Vouches(now time.Time, services []string) bool {
	return slices.ContainsFunc(services, func(s string) bool {
		h := r.history.view(now, s, r.life(s))
		return h.one() && h.Complete
	})
}

// ConfirmedAt returns the time up to which the list is known to hold all changes.
func (r *Resumer) ConfirmedAt() time.Time { return r.history.confirmedAt }

// ReceiveTold applies another host's answer, and answers the lookups that it decides.
func (r *Resumer) ReceiveTold(now time.Time, from string, t Told) {
	for _, x := range t.Records {
		if x.improves(r.records.get(x.Key)) {
			r.records.put(now, x, false)
		}
	}
	for n, l := range r.pending {
		if l.waiting == nil || !l.waiting[from] {
			continue
		}
		if x := r.settled(l.Stream); x != nil && !x.Worker.IsUncertain() {
			delete(r.pending, n)
			l.reply(known(now, l.TakenUp, x.Record))
			continue
		}
		if !slices.Contains(t.Unknown, l.question) {
			continue
		}
		delete(l.waiting, from)
		for _, h := range t.Histories {
			if h.Service == l.Services[0] {
				l.histories[from] = append(l.histories[from], h)
			}
		}
		r.conclude(now, n, l)
	}
}

// conclude answers a lookup once that is possible.
func (r *Resumer) conclude(now time.Time, n uint64, l *lookup) {
	current := !r.history.confirmedAt.Before(l.askedAt)
	a := r.concludeLookup(now, l, current)
	listed := current || l.listFailed || now.Sub(l.askedAt) >= listTimeout
	switch {
	case l.heard(now) && (listed || !r.listMayHelp(now, l)):
	case a.Result == Known && !a.Worker.IsUncertain():
	default:
		return
	}
	delete(r.pending, n)
	l.reply(a)
}

// listMayHelp reports whether a list can still show which start of a worker began a stream, or
// that one version served.
func (r *Resumer) listMayHelp(now time.Time, l *lookup) bool {
	if x := r.records.get(l.Stream); x != nil {
		return x.Worker.IsUncertain() && r.history.starts[x.Listed.Name] == x.Listed
	}
	return r.concludeLookup(now, l, true).Result == OneVersion
}

// concludeLookup decides on a lookup by what is known so far. current reports whether the list of
// workers is known as of after the stream was taken up.
func (r *Resumer) concludeLookup(now time.Time, l *lookup, current bool) Answer {
	if x := r.settled(l.Stream); x != nil {
		return known(now, l.TakenUp, x.Record)
	}
	var others []History
	for _, list := range l.histories {
		others = append(others, list...)
	}
	service := l.Services[0]
	a := r.answer(now, r.history.view(now, service, r.life(service)), others, r.askable(l), current)
	if a.Result == OneVersion && !current && l.listThrottled {
		// Hosts that get the list may use a version that none of those which answered knows.
		a.Result, a.Reason, a.Worker = Unknown, ListNotCurrent, Worker{}
	}
	return a
}

// NeedsList reports whether a lookup waits for a list of the workers that is read from now on.
func (r *Resumer) NeedsList() bool {
	for _, l := range r.pending {
		if !l.listFailed && r.history.confirmedAt.Before(l.askedAt) && r.listMayDecide(l) {
			return true
		}
	}
	return false
}

// listMayDecide reports whether what this host knows leaves a lookup to the list: where two
// versions served, no list shows that one did.
func (r *Resumer) listMayDecide(l *lookup) bool {
	if r.records.get(l.Stream) != nil {
		return r.listMayHelp(l.askedAt, l)
	}
	service := l.Services[0]
	return r.history.view(l.askedAt, service, r.life(service)).one()
}

// ListConfirmed records that the list holds all changes up to a time, and answers the lookups
// that it decides.
func (r *Resumer) ListConfirmed(now, at time.Time) {
	if at.After(r.history.confirmedAt) {
		r.history.confirmedAt = at
	}
	r.concludeAll(now)
}

// ListFailed records that a list could not be read since a time.
func (r *Resumer) ListFailed(now, since time.Time) {
	for _, l := range r.pending {
		l.listFailed = l.listFailed || !l.askedAt.After(since)
	}
	r.concludeAll(now)
}

// ListThrottled records that the source of the list refused a call, as there are too many, that was
// sent at a time: it is up, and other hosts may know of changes.
func (r *Resumer) ListThrottled(now, sentAt time.Time) {
	for _, l := range r.pending {
		l.listThrottled = l.listThrottled || !l.askedAt.After(sentAt)
	}
	r.concludeAll(now)
}

// Expire answers the lookups that have waited too long.
func (r *Resumer) Expire(now time.Time) { r.concludeAll(now) }

func (r *Resumer) concludeAll(now time.Time) {
	for n, l := range r.pending {
		r.conclude(now, n, l)
	}
}

// Waiting returns the number of lookups that wait for other hosts.
func (r *Resumer) Waiting() int { return len(r.pending) }

// AskTimeout returns how long a lookup waits for other hosts.
func AskTimeout() time.Duration { return askTimeout }

// ListTimeout returns how long a lookup waits for the list of workers.
func ListTimeout() time.Duration { return listTimeout }
