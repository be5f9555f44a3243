// Package retrier bounds retries: a budget for each organisation and each
// service, by tier, filled by first tries, so that retries can never multiply the load of
// an outage. It also spreads the times at which refused callers come back.
//
// Everything is pure: time and randomness come in as arguments.
package retrier

import (
	"sync"
	"time"
)

// Defaults of a Budget.
const (
	DefaultRatio = 0.2 // retries for each first try
	DefaultFloor = 0.2 // retries a second without any first try
	DefaultBurst = 30  // retries at once
	keysMost     = 16384
)

// Policy is how much a Budget allows. Zero fields take the defaults.
type Policy struct {
	Ratio float64
	Floor float64
	Burst float64
}

func (p Policy) withDefaults() Policy {
	if p.Ratio == 0 {
		p.Ratio = DefaultRatio
	}
	if p.Floor == 0 {
		p.Floor = DefaultFloor
	}
	if p.Burst == 0 {
		p.Burst = DefaultBurst
	}
	return p
}

// Budget is a token bucket of retries. The zero value is full.
type Budget struct {
	spent float64 // tokens missing from a full bucket
	at    time.Time
}

// first adds what a first try earns.
func (b *Budget) first(now time.Time, p Policy) {
	b.refill(now, p)
	b.spent = max(0, b.spent-p.Ratio)
}

func (b *Budget) refill(now time.Time, p Policy) {
	if !b.at.IsZero() && now.After(b.at) {
		b.spent = max(0, b.spent-p.Floor*now.Sub(b.at).Seconds())
	}
	b.at = now
}

func (b *Budget) has(now time.Time, p Policy) bool {
	b.refill(now, p)
	return b.spent+1 <= p.Burst
}

// Budgets is the budgets of all organisations and services at one host. The
// zero value uses the default Policy. It is safe for concurrent use.
type Budgets struct {
	Policy Policy

	mu   sync.Mutex
	keys map[key]*Budget
}

// key is one organisation or one service, in one tier: the retries of chat must
// not use up those of a hold.
type key struct {
	organisation, service string
	tier                  int
}

// RecordFirst counts the first try of a request.
func (b *Budgets) RecordFirst(now time.Time, organisation, service string, tier int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.Policy.withDefaults()
	b.get(now, key{organisation: organisation, tier: tier}).first(now, p)
	b.get(now, key{service: service, tier: tier}).first(now, p)
}

// Take takes one retry out of both budgets, or out of neither.
func (b *Budgets) Take(now time.Time, organisation, service string, tier int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.Policy.withDefaults()
	o, s := b.get(now, key{organisation: organisation, tier: tier}), b.get(now, key{service: service, tier: tier})
	if !o.has(now, p) || !s.has(now, p) {
		return false
	}
	o.spent++
	s.spent++
	return true
}

// get is the budget of a key. Names come from the settings, so that the bound
// on their number is met only after years of renaming; full budgets, which
// carry no information, go then.
func (b *Budgets) get(now time.Time, k key) *Budget {
	if b.keys == nil {
		b.keys = map[key]*Budget{}
	}
	if x := b.keys[k]; x != nil {
		return x
	}
	if len(b.keys) >= keysMost {
		b.forget(now)
	}
	x := &Budget{}
	b.keys[k] = x
	return x
}

// forget drops the budgets that are full, or all where none is.
func (b *Budgets) forget(now time.Time) {
	p := b.Policy.withDefaults()
	for k, x := range b.keys {
		if x.refill(now, p); x.spent == 0 {
			delete(b.keys, k)
		}
	}
	if len(b.keys) >= keysMost {
		clear(b.keys)
	}
}

// Len is the number of budgets kept.
func (b *Budgets) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.keys)
}

const leastSpread = time.Second

// Jitter spreads the time after which refused callers come back over the half
// of it that follows, a second at least. It is never before the true time: a
// caller that came earlier would be refused again. Random is from 0 to 1.
func Jitter(after time.Duration, random float64) time.Duration {
	return after + time.Duration(random*float64(max(after/2, leastSpread)))
}
