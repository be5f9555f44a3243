// Package placer decides which worker gets a request, and when to refuse it.
//
// A View is one host's knowledge of all workers: the requests that it sent them, those that
// other hosts report, and the parts of prompts in each worker's cache. From that it predicts
// each worker's time to the first event, and picks the worker with the lowest cost.
//
// Workers are of two kinds. An engine runs a language model: it prefills (reads) prompts in
// chunks, decodes tokens for its streams in between, and keeps parts of prompts in its KV
// cache. A worker of a plain service answers requests in order of arrival, as many at once as
// it has slots.
//
// The package does no I/O and takes times and messages as arguments. A View is owned by its
// host's control goroutine.
package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/attributor"
	"github.com/cicadawood/cicadawood/quarantiner"
)

const (
	// chunkTokens is the number of prompt tokens that an engine prefills between two decoding
	// steps.
	chunkTokens = 2048.0
	// stepMillis is the time of a decoding step with few requests, in milliseconds.
	stepMillis = 4.7
	// contextMillis is the time that each thousand tokens of running requests add to a decoding
	// step, in milliseconds.
	contextMillis = 0.016
	// fillingShare is the share of taken slots from which a worker counts as filling. Below it,
	// reports to other hosts may be late: requests not yet reported can't fill the other half.
	fillingShare = 0.5
	// sampleWeight is the weight of a new sample in the average time of an answer and in a
	// worker's slowness.
	sampleWeight = 0.1
)

// View is one host's view of all workers.
type View struct {
	zone          string
	workers       map[string]*worker // by name
	sorted        []*worker          // workers ordered by name, so that decisions are deterministic
	counts        map[string]int     // number of workers, by service
	flights       map[uint64]*flight
	endedEarly    map[uint64]time.Time      // ends of requests that were not reported before, by request
	answerTimes   map[string]time.Duration  // time of an answer, by plain service
	fits          map[string]*fit           // time to the first event, by service with engines
	candidates    []candidate               // of the current request; reused to avoid allocations
	recentTargets recentTargets             // targets of recent requests
	offered       tierLoads                 // offered load
	refused       []OfferedLoad             // refused requests that were not reported yet
	reservation   reservation               // for the current request
	quarantine    quarantiner.Tracker       // requests that crashed workers
	suspects      attributor.Attributor     // parts of prompts that may crash workers
	trials        trials                    // parts in quarantine of which a request may be tried
	tries         func() bool               // whether this host tries requests; nil does not
	crashReported map[string]time.Time      // when each host last reported a crash; "" is this one
	lastReceived  time.Time                 // when another host last reported what it sent
	confirmedAt   time.Time                 // when the list of workers was last known to be current
	versions      map[string]map[string]int // number of workers, by service and software
	deciders      int                       // number of hosts that decide by views of their own
	self          int                       // index of this host among them
	hosts         int                       // number of hosts that send requests by views of their own
	hostIndex     int                       // index of this host among them
	chance        float64                   // for the current request, from 0 to 1, by its random ID
	nextRetries   map[serviceRank]time.Time // when the refused requests that were asked to retry will have been prefilled

	ignoreEvictions bool // evictions cost nothing, so that specs can compare
}

// New returns a view without workers. Workers in the host's own zone are preferred, all else
// being equal.
func New(zone string) *View {
	v := &View{
		zone: zone, workers: map[string]*worker{}, flights: map[uint64]*flight{}, endedEarly: map[uint64]time.Time{},
		answerTimes: map[string]time.Duration{}, fits: map[string]*fit{}, nextRetries: map[serviceRank]time.Time{}, recentTargets: recentTargets{}, offered: tierLoads{}, crashReported: map[string]time.Time{}, trials: trials{},
		quarantine: quarantiner.Tracker{RenamedOnRestart: true},
	}
	v.suspects.SetKnown(knownCauses{&v.quarantine})
	return v
}

// SetWorkers replaces the workers that may get requests. The view keeps its data on those that
// stay, except for those that restarted: their caches are empty. SetWorkers returns the workers
// that were added and removed.
func (v *View) SetWorkers(now time.Time, workers []Worker) (added, removed []Worker) {
	old := v.workers
	v.workers = make(map[string]*worker, len(workers))
	for _, w := range workers {
		x := old[w.Name]
		if x == nil || x.Incarnation != w.Incarnation || x.Address != w.Address || x.Version != w.Version {
			x = newWorker()
			x.coldUntil = now.Add(w.WarmUp)
			added = append(added, w)
		}
		x.Worker, x.fit = w, v.fitOf(w.Service)
		v.workers[w.Name] = x
	}
	v.sorted = slices.SortedFunc(maps.Values(v.workers), func(a, b *worker) int { return cmp.Compare(a.Name, b.Name) })
	v.counts = map[string]int{}
	for _, x := range v.sorted {
		v.counts[x.Service]++
	}
	v.countVersions()
	v.inheritBrittle(now)
	for name, x := range old {
		if v.workers[name] == nil {
			removed = append(removed, x.Worker)
		}
	}
	return added, removed
}

// fitOf returns the fit of a service's engines.
func (v *View) fitOf(service string) *fit {
	f := v.fits[service]
	if f == nil {
		f = newFit()
		v.fits[service] = f
	}
	return f
}

// WorkerCount returns the number of workers of a service.
func (v *View) WorkerCount(service string) int { return v.counts[service] }

// HasOther reports whether a request may be sent to another worker than the named one, of those that
// accept. A brittle worker must have room for certain.
func (v *View) HasOther(now time.Time, name string, req Request, accept func(Worker) bool) bool {
	return slices.ContainsFunc(v.sorted, func(w *worker) bool {
		tried := w.Name == name || slices.Contains(req.Exclude, w.Name)
		return w.Service == req.Service && !tried && v.mayContinue(w, req) && accept(w.Worker) && !v.fullBy(now, w, leastChance)
	})
}

// Place picks a worker for a request of this host and counts the request there.
func (v *View) Place(now time.Time, id uint64, req Request) (Choice, *Refusal) {
	return v.PlaceFor(now, "", id, req)
}

// PlaceFor is like Place, for a request that another host sends.
func (v *View) PlaceFor(now time.Time, host string, id uint64, req Request) (Choice, *Refusal) {
	v.judge(now)
	tried := v.triedParts(now, req)
	if remaining, held := v.HeldBack(now, req); held && len(tried) == 0 {
		return Choice{}, newRefusal("quarantine", remaining)
	}
	v.chance = float64(id>>11) / (1 << 53)
	best, refusal := v.best(now, req)
	v.offered.note(now, req.offeredLoad(best))
	if refusal != nil {
		v.countRefused(req.offeredLoad(best))
		return Choice{Basis: v.basis(now, req, best)}, refusal
	}
	f := Flight{
		ID: id, Worker: best.Name, Parts: req.Parts, Prefill: best.prefillTokens, Hold: req.Prompt + req.Output, Left: req.Left, Gap: req.Gap, Rank: req.Rank, Tier: req.Tier,
		Fetch: best.fetchTokens, Output: req.Output, Fingerprint: req.Fingerprint,
	}
	c := Choice{
		Worker: best.Worker, Flight: f, Wait: milliseconds(best.wait), Delay: max(best.delay(req), v.undecided(now, req)), Source: best.source,
		Filling: float64(len(best.flights)+1) >= fillingShare*float64(best.Slots),
	}
	if len(tried) > 0 {
		v.startTrial(now, tried, id)
		c.Delay = 0
	}
	predictedEnd := best.predictEnd(req)
	v.add(now, host, f).predictedEnd = predictedEnd
	best.brittle.sent(now)
	return c, nil
}

// best returns the candidate with the lowest cost for a request. If the request should not go
// there, best falls back to another one: one without streams that the request would disturb,
// or, if less urgent requests arrive, any. Otherwise it returns a refusal with the candidate
// that the request would have got.
func (v *View) best(now time.Time, req Request) (*candidate, *Refusal) {
	v.recentTargets.note(now, req)
	candidates := v.candidatesFor(now, req)
	if refusal := v.refuseByLimit(now, candidates, req); refusal != nil {
		return cheapest(candidates, anyCandidate), refusal
	}
	if refusal := refuseByBrittle(candidates); refusal != nil {
		return cheapest(candidates, anyCandidate), refusal
	}
	candidates = withinLimit(candidates)
	if apart := v.isolated(now, req, candidates); apart != nil {
		if c, refusal := v.bestOf(apart, req); refusal == nil {
			return c, nil
		}
	}
	c, refusal := v.bestOf(candidates, req)
	if c != nil && refusal != nil {
		refusal.RetryAfter = v.scheduleRetry(now, req, candidates, refusal.RetryAfter)
	}
	return c, refusal
}

// bestOf is best among some of the candidates. Its refusals name the earliest time to retry.
func (v *View) bestOf(candidates []candidate, req Request) (*candidate, *Refusal) {
	best := cheapest(candidates, (*candidate).hasSlot)
	if best == nil {
		best = cheapest(candidates, anyCandidate)
	}
	if best == nil {
		return nil, v.refuseUnplaceable(req)
	}
	refusal := v.refuse(best, req)
	if refusal == nil {
		return best, nil
	}
	leastUrgent := v.recentTargets.leastUrgent(req)
	other := cheapest(candidates, func(c *candidate) bool { return (c.tightStreams == 0 || !leastUrgent) && v.refuse(c, req) == nil })
	if other == nil {
		return best, refusal
	}
	return other, nil
}

// candidatesFor returns the workers of a request's service with the predicted effects and the
// cost of the request at each.
func (v *View) candidatesFor(now time.Time, req Request) []candidate {
	candidates := v.candidates[:0]
	holder, heldTokens := v.holder(req)
	copyAt := v.workerOfCopy(req)
	for _, w := range v.sorted {
		if w.Service != req.Service || excluded(req, w.Name) || req.backoff(w.Name).Left > 0 || copyAt != "" && w.Name != copyAt {
			continue
		}
		if !v.mayContinue(w, req) {
			continue
		}
		c := w.candidate(now, req, holder, heldTokens)
		c.margin = v.margin(w)
		c.resumable = v.keptForResumed(w, req)
		c.full = v.full(now, w)
		if c.CacheTokens == 0 {
			v.setPlainTimes(&c)
		}
		c.cost = v.cost(now, &c, req)
		candidates = append(candidates, c)
	}
	setPrefillShares(now, candidates)
	v.reservation = v.reserve(now, candidates, req)
	if v.preferred(req) {
		v.reservation = reservation{}
		for i := range candidates {
			candidates[i].reserved, candidates[i].margin = 0, 0
		}
	}
	v.candidates = candidates
	return candidates
}

// cheapest returns the candidate with the lowest cost among those that may get the request.
func cheapest(candidates []candidate, accept func(*candidate) bool) *candidate {
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		if best != nil && (c.cost > best.cost || c.cost == best.cost && c.Name > best.Name) || !accept(c) {
			continue
		}
		best = c
	}
	return best
}

// anyCandidate accepts every candidate.
func anyCandidate(*candidate) bool { return true }

func excluded(req Request, worker string) bool {
	for _, name := range req.Exclude {
		if name == worker {
			return true
		}
	}
	return false
}

// WorkersOf returns the workers of a service, ordered by name.
func (v *View) WorkersOf(service string) []Worker {
	var out []Worker
	for _, w := range v.sorted {
		if w.Service == service {
			out = append(out, w.Worker)
		}
	}
	return out
}

// WorkerAt returns the worker with an address, and whether it exists.
func (v *View) WorkerAt(address string) (Worker, bool) {
	for _, w := range v.sorted {
		if w.Address == address {
			return w.Worker, true
		}
	}
	return Worker{}, false
}

// Worker returns a worker by its name, and whether it exists.
func (v *View) Worker(name string) (Worker, bool) {
	w := v.workers[name]
	if w == nil {
		return Worker{}, false
	}
	return w.Worker, true
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
