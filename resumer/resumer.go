package resumer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// lives is the number of attempts, each of its route's timeout, over which a stream may go
	// on, and lifeMargin what the hosts' lists may lag behind.
	lives      = 2
	lifeMargin = time.Second
	// defaultTimeout stands for the timeout of a route where none is known.
	defaultTimeout = 15 * time.Second
)

// Resumer is one host's knowledge of which workers began the streams that may be taken up.
type Resumer struct {
	self     string
	records  records
	history  history
	timeouts map[string]time.Duration  // longest timeout of a route with streams, by service
	earlier  map[string]earlierTimeout // by service
	one      map[string]bool           // services of which a single software served, as of the last check
	untold   []Record                  // own records that other hosts have not received yet
	pending  map[uint64]*lookup        // by number
	numbers  uint64                    // of lookups
	queued   []uint64                  // lookups that were not sent yet, by number
	lost     map[string]time.Time      // hosts that were asked before and can't be any more, by name, and since when
}

// earlierTimeout is a timeout that was longer than the current one.
type earlierTimeout struct {
	timeout time.Duration
	until   time.Time // when its last streams have ended; zero before the next sweep
}

// New returns the Resumer of a host that knows no workers. first states that the whole system
// starts for the first time: no stream began before.
func New(self string, first bool) *Resumer {
	return &Resumer{self: self, history: history{always: first}, one: map[string]bool{}, earlier: map[string]earlierTimeout{}, pending: map[uint64]*lookup{}, lost: map[string]time.Time{}}
}

// SetFirst states whether the whole system starts for the first time, if that becomes known later.
func (r *Resumer) SetFirst(now time.Time, first bool) {
	if r.history.always == first {
		return
	}
	r.history.always = first
	r.checkOne(now)
}

// SetTimeouts sets the longest timeout of the routes with streams of each service. Where it was
// longer before, that counts for as long as its streams may live.
func (r *Resumer) SetTimeouts(t map[string]time.Duration) {
	for service, earlier := range r.timeouts {
		if earlier > t[service] && earlier > r.earlier[service].timeout {
			r.earlier[service] = earlierTimeout{timeout: earlier}
		}
	}
	r.timeouts = t
}

// sweepTimeouts forgets the earlier timeouts whose streams have ended.
func (r *Resumer) sweepTimeouts(now time.Time) {
	for service, x := range r.earlier {
		switch {
		case x.until.IsZero():
			x.until = now.Add(lives*x.timeout + lifeMargin)
			r.earlier[service] = x
		case !now.Before(x.until):
			delete(r.earlier, service)
		}
	}
}

// life returns the longest time from a service's stream's beginning to the last attempt that
// may go on with it.
func (r *Resumer) life(service string) time.Duration {
	return lives*max(cmp.Or(r.timeouts[service], defaultTimeout), r.earlier[service].timeout) + lifeMargin
}

// longestLife returns the longest life of a stream of any service.
func (r *Resumer) longestLife() time.Duration {
	longest := lives*defaultTimeout + lifeMargin
	for service := range r.timeouts {
		longest = max(longest, r.life(service))
	}
	for service := range r.earlier {
		longest = max(longest, r.life(service))
	}
	return longest
}

// SetWorkers applies a complete list of the workers, also of those that are leaving, as it was
// at a time. Own streams of services that now have a second software are to be reported.
func (r *Resumer) SetWorkers(now, updatedAt time.Time, workers []Worker) {
	r.history.observe(now, updatedAt, workers)
	r.checkOne(now)
}

// Served records that a worker which is not on the list served until now. SetWorkers is to be
// called afterwards.
func (r *Resumer) Served(now time.Time, w Worker) { r.history.leave(now, w) }

// Missed records that software may have come and gone unseen until now. SetWorkers is to be called
// afterwards.
func (r *Resumer) Missed(now time.Time) { r.history.since, r.history.holed = now, true }

// checkOne checks of which services a single software served. Own streams of those that now have
// a second one are to be reported.
func (r *Resumer) checkOne(now time.Time) {
	for service := range r.history.present {
		one := r.isOne(now, service)
		if r.one[service] && !one {
			r.tellAll(service)
		}
		r.one[service] = one
	}
}

// ListUpdated records that the list is still current.
func (r *Resumer) ListUpdated(at time.Time) { r.history.updatedAt = at }

// isOne reports whether a single software served in a service within the life of its streams.
func (r *Resumer) isOne(now time.Time, service string) bool {
	h := r.history.view(now, service, r.life(service))
	return h.one() && h.Complete
}

// One reports whether a single software served in a service, when it was last checked.
func (r *Resumer) One(service string) bool { return r.one[service] }

// tellAll marks the own records of a service as not reported yet.
func (r *Resumer) tellAll(service string) {
	for _, x := range r.records.byKey {
		if x.own && x.Worker.Service == service {
			r.untold = append(r.untold, x.Record)
		}
	}
	slices.SortFunc(r.untold, func(a, b Record) int { return a.At.Compare(b.At) })
}

// Began records that a stream's first event came from a worker, under the keys by which
// its caller may name it. It reports whether other hosts must be notified at once.
func (r *Resumer) Began(now time.Time, keys []Key, w Worker) bool {
	return r.record(keys, Record{Worker: w, Host: r.self, At: now})
}

// BeganUncertain is Began for a worker that may have been another start than the listed one.
func (r *Resumer) BeganUncertain(now time.Time, keys []Key, listed Worker) bool {
	return r.record(keys, Record{Worker: listed.Uncertain(), Listed: listed, Host: r.self, At: now})
}

// record adds an own record under keys. It reports whether other hosts must be notified at once.
func (r *Resumer) record(keys []Key, x Record) bool {
	now := x.At
	tell := !r.isOne(now, x.Worker.Service)
	r.one[x.Worker.Service] = !tell
	for _, k := range keys {
		if k == 0 {
			continue
		}
		x.Key = k
		r.records.put(now, x, true)
		if tell {
			r.untold = append(r.untold, x)
		}
	}
	return tell
}

// Carried returns the worker that began a stream which this host carried.
func (r *Resumer) Carried(k Key) (Worker, bool) {
	x := r.records.get(k)
	if x == nil || !x.own {
		return Worker{}, false
	}
	return x.Worker, true
}

// Ended forgets own records of a stream that was answered whole.
func (r *Resumer) Ended(keys []Key) {
	for _, k := range keys {
		if x := r.records.get(k); x != nil && x.own {
			r.records.remove(k)
		}
	}
}

// Drain returns the own records that other hosts have not received yet, oldest first.
func (r *Resumer) Drain() []Record {
	out := r.untold
	r.untold = nil
	return out
}

// Receive applies a record of another host. The later one of a stream counts.
func (r *Resumer) Receive(now time.Time, x Record) {
	if old := r.records.get(x.Key); old != nil && old.own && old.At.After(x.At) {
		return
	}
	r.records.put(now, x, false)
}

// Len returns the number of records.
func (r *Resumer) Len() int { return len(r.records.byKey) }

// Sweep forgets what no stream can need any more.
func (r *Resumer) Sweep(now time.Time) {
	r.sweepTimeouts(now)
	before := now.Add(-r.longestLife())
	r.records.expire(before)
	r.history.expire(before)
	maps.DeleteFunc(r.lost, func(_ string, at time.Time) bool { return !at.After(before) })
}
