package resumer

import "time"

// maxRecords is the maximum number of records that a host keeps: at 1,500 streams a second
// those of more than half a minute. The oldest go first.
const maxRecords = 1 << 16

// Record states which worker began a stream.
type Record struct {
	Key    Key
	Worker Worker
	// Listed is the worker as it was listed, if it is not certain that it was this start of it.
	Listed Worker
	Host   string    // that carried the stream's first event
	At     time.Time // when it began
}

// improves reports whether another host's record says more than a known one, which may be nil.
func (x Record) improves(known *record) bool {
	if known == nil {
		return true
	}
	if known.own || !known.Worker.IsUncertain() {
		return false
	}
	return !x.Worker.IsUncertain() || x.Listed != (Worker{}) || known.Listed == (Worker{})
}

// records is a bounded set of records that expire. The zero records is empty.
type records struct {
	byKey map[Key]*record
	order []orderedKey // oldest first; holds keys that were replaced or removed as well
	limit int          // 0 is maxRecords
}

type record struct {
	Record
	own      bool   // this host carried the stream's first event
	sequence uint64 // of the order's entry
}

type orderedKey struct {
	key      Key
	sequence uint64
	at       time.Time // when it was added
}

// put adds a record, in place of an earlier one of the same stream.
func (r *records) put(now time.Time, x Record, own bool) {
	if r.byKey == nil {
		r.byKey = map[Key]*record{}
	}
	sequence := uint64(1)
	if n := len(r.order); n > 0 {
		sequence = r.order[n-1].sequence + 1
	}
	r.byKey[x.Key] = &record{Record: x, own: own, sequence: sequence}
	r.order = append(r.order, orderedKey{x.Key, sequence, now})
	limit := r.limit
	if limit == 0 {
		limit = maxRecords
	}
	for len(r.byKey) > limit || len(r.order) > 2*limit {
		r.dropOldest()
	}
}

// dropOldest removes the oldest record, unless it was replaced by a newer one.
func (r *records) dropOldest() {
	o := r.order[0]
	r.order = r.order[1:]
	if x := r.byKey[o.key]; x != nil && x.sequence == o.sequence {
		delete(r.byKey, o.key)
	}
}

// remove removes the record of a stream.
func (r *records) remove(k Key) { delete(r.byKey, k) }

// expire removes the records that were added before a time.
func (r *records) expire(before time.Time) {
	for len(r.order) > 0 && r.order[0].at.Before(before) {
		r.dropOldest()
	}
}

// get returns the record of a stream; nil if there is none.
func (r *records) get(k Key) *record { return r.byKey[k] }
