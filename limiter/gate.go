package limiter

import "time"

// Gate admits one organisation's requests at one entry. It is not safe for
// concurrent use.
type Gate struct {
	limits Rates
	hosts  int

	loan        Rates
	loanExpires time.Time
	// Each tier's buckets are charged with the use of that tier and of the more
	// urgent ones. So a request is never refused because of less urgent ones, and
	// yet all tiers together stay within the limit.
	requests [tiers]bucket
	tokens   [tiers]bucket

	sequence     uint64    // of the last loan request
	requestedAt  time.Time // when it was sent
	requestCount int       // loan requests since the entry became active
	newDemand    Rates     // requests and tokens since the last loan request
	lastAdmit    time.Time // last call of Admit
}

// tiers is the number of tiers with buckets of their own; all further tiers
// share the last one.
const tiers = 8

// bucket is a token bucket with a variable rate. Its level may be negative.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// refill updates the level to now. A new bucket holds a full burst.
func (b *bucket) refill(now time.Time, rate float64) {
	capacity := max(1, rate*burstDuration.Seconds())
	if b.updatedAt.IsZero() {
		b.level = capacity
	} else {
		b.level += rate * max(0, now.Sub(b.updatedAt).Seconds())
	}
	b.level = min(b.level, capacity)
	b.updatedAt = now
}

// wait returns the time until the bucket holds need.
func (b *bucket) wait(need, rate float64) time.Duration {
	if rate <= 0 {
		return requestInterval
	}
	after := time.Duration((need - b.level) / rate * float64(time.Second))
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// Configure sets the organisation's limits and the number of hosts.
func (g *Gate) Configure(limits Rates, hosts int) { g.limits, g.hosts = limits, max(hosts, 1) }

// Rates returns the rates in force: those of the loan, or without one an even
// part of the limits.
func (g *Gate) Rates(now time.Time) Rates {
	if now.Before(g.loanExpires) {
		return g.loan
	}
	return g.limits.apply(func(r float64) float64 { return r / float64(max(g.hosts, 1)) })
}

// Admit reports whether a request of a tier and of about this many tokens is
// admitted, and if not, after what time to retry.
func (g *Gate) Admit(now time.Time, tier, tokens int) (time.Duration, bool) {
	g.newDemand = combine(g.newDemand, Rates{1, float64(tokens)}, plus)
	g.lastAdmit = now
	rates := g.refill(now)
	tier = min(max(tier, 0), tiers-1)
	if b := &g.requests[tier]; g.limits.Requests > 0 && b.level < 1 {
		return b.wait(1, rates.Requests), false
	}
	// A request may take more tokens than the bucket can hold: it is admitted if
	// there is at least one, and later requests wait until the debt is paid.
	if b := &g.tokens[tier]; g.limits.Tokens > 0 && tokens > 0 && b.level < 1 {
		return b.wait(1, rates.Tokens), false
	}
	for i := tier; i < tiers; i++ {
		g.requests[i].level--
	}
	g.Settle(tier, tokens)
	return 0, true
}

// Settle charges further tokens to a tier; a negative number gives tokens back.
func (g *Gate) Settle(tier, tokens int) {
	for i := min(max(tier, 0), tiers-1); i < tiers; i++ {
		g.tokens[i].level -= float64(tokens)
	}
}

// refill updates all buckets to now and returns the rates in force.
func (g *Gate) refill(now time.Time) Rates {
	rates := g.Rates(now)
	for i := range g.requests {
		g.requests[i].refill(now, rates.Requests)
		g.tokens[i].refill(now, rates.Tokens)
	}
	return rates
}

// LoanRequest returns the demand and sequence to send to the limit's owner. due
// is false if no request is due.
func (g *Gate) LoanRequest(now time.Time) (demand Rates, sequence uint64, due bool) {
	interval := requestInterval
	if g.requestCount == 1 {
		interval = secondRequestDelay
	}
	since := now.Sub(g.requestedAt)
	if g.newDemand.Requests == 0 {
		if since > requestInterval {
			g.requestCount = 0
		}
		return Rates{}, 0, false
	}
	if g.requestCount > 0 && since < interval {
		return Rates{}, 0, false
	}
	seconds := requestInterval.Seconds()
	if g.requestCount > 0 {
		seconds = since.Seconds()
	}
	demand = g.newDemand.apply(func(n float64) float64 { return n / seconds })
	g.newDemand = Rates{}
	g.requestedAt = now
	g.requestCount++
	g.sequence++
	return demand, g.sequence, true
}

// SetLoan applies a loan. Its term counts from the request, so that it ends
// here before it ends at the owner. Answers to earlier requests are out of date
// and ignored.
func (g *Gate) SetLoan(now time.Time, sequence uint64, loan Rates) {
	if sequence != g.sequence {
		return
	}
	g.refill(now)
	g.loan, g.loanExpires = loan, g.requestedAt.Add(LoanTerm)
}

// Idle reports whether the gate can be dropped without loss of state.
func (g *Gate) Idle(now time.Time) bool {
	if now.Sub(g.lastAdmit) < idleTimeout {
		return false
	}
	g.refill(now)
	return g.requests[tiers-1].level >= 1 && g.tokens[tiers-1].level >= 1
}
