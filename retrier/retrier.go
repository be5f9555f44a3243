// Package retrier limits retries. Each organisation and each service has a retry budget per
// tier, which first tries refill, so that retries can't multiply the load in an outage. The
// package also spreads the times after which refused callers retry.
//
// It reads no clock and no random source: the caller passes in both values.
package retrier

import (
	"sync"
	"time"
)

// Defaults of a Policy.
const (
	DefaultRatio = 0.2   // retries earned by each first try
	DefaultFloor = 0.2   // retries earned per second without first tries
	DefaultBurst = 30    // retries that a full budget allows
	maxBudgets   = 16384 // budgets kept in memory
)

// Policy sets the limits of a Budget. Zero fields take the defaults.
type Policy struct {
	Ratio float64 // retries earned by each first try
	Floor float64 // retries earned per second without first tries
	Burst float64 // retries that a full budget allows
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
	spent      float64 // tokens missing from a full bucket
	refilledAt time.Time
}

// recordFirst adds the retries that a first try earns.
func (b *Budget) recordFirst(now time.Time, p Policy) {
	b.refill(now, p)
	b.spent = max(0, b.spent-p.Ratio)
}

func (b *Budget) refill(now time.Time, p Policy) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.spent = max(0, b.spent-p.Floor*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}

func (b *Budget) hasRetry(now time.Time, p Policy) bool {
	b.refill(now, p)
	return b.spent+1 <= p.Burst
}

// Budgets holds one host's budgets of all organisations and services. The zero value uses
// the default Policy. It is safe for concurrent use.
type Budgets struct {
	Policy Policy

	mu      sync.Mutex
	budgets map[key]*Budget
}

// key is one organisation or one service, in one tier. Tiers have separate budgets, so that
// the retries of chat requests can't use up those of booking calls.
type key struct {
	organisation, service string
	tier                  int
}

// RecordFirst records the first try of a request.
func (b *Budgets) RecordFirst(now time.Time, organisation, service string, tier int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.Policy.withDefaults()
	b.get(now, key{organisation: organisation, tier: tier}).recordFirst(now, p)
	b.get(now, key{service: service, tier: tier}).recordFirst(now, p)
}

// Take takes one retry from the budgets of both the organisation and the service, or from
// neither, and reports whether it did.
func (b *Budgets) Take(now time.Time, organisation, service string, tier int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.Policy.withDefaults()
	o, s := b.get(now, key{organisation: organisation, tier: tier}), b.get(now, key{service: service, tier: tier})
	if !o.hasRetry(now, p) || !s.hasRetry(now, p) {
		return false
	}
	o.spent++
	s.spent++
	return true
}

// get returns the budget of a key. Names come from the settings, so that maxBudgets is only
// reached after years of renaming. Full budgets, which carry no information, are then
// dropped.
func (b *Budgets) get(now time.Time, k key) *Budget {
	if b.budgets == nil {
		b.budgets = map[key]*Budget{}
	}
	if x := b.budgets[k]; x != nil {
		return x
	}
	if len(b.budgets) >= maxBudgets {
		b.dropFull(now)
	}
	x := &Budget{}
	b.budgets[k] = x
	return x
}

// dropFull drops the full budgets, or all if that doesn't make room.
func (b *Budgets) dropFull(now time.Time) {
	p := b.Policy.withDefaults()
	for k, x := range b.budgets {
		if x.refill(now, p); x.spent == 0 {
			delete(b.budgets, k)
		}
	}
	if len(b.budgets) >= maxBudgets {
		clear(b.budgets)
	}
}

// Len returns the number of budgets in memory.
func (b *Budgets) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.budgets)
}

// minSpread is the minimum interval over which Jitter spreads callers.
const minSpread = time.Second

// Jitter returns the time after which a refused caller should retry: after, plus a random
// part of half of it or of one second, whichever is longer. It is never shorter than after,
// as a caller that retried earlier would be refused again. The argument random is in [0,
// 1].
func Jitter(after time.Duration, random float64) time.Duration {
	return after + time.Duration(random*float64(max(after/2, minSpread)))
}
