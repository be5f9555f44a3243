package limiter

import "time"

// Gate lets one organisation's requests in at one entry. It is not safe for
// concurrent use.
type Gate struct {
	limits Rates
	hosts  int

	loan  Rates
	until time.Time // the loan is over
	// A tier's buckets are charged with what it and the more urgent ones use. So a
	// request is never refused for what less urgent ones used, and yet all of them
	// together stay within the limit.
	requests [tiers]bucket
	tokens   [tiers]bucket

	sequence uint64 // of the last ask
	asked    time.Time
	asks     int // since the entry became active
	counted  Rates
	active   time.Time // last request
}

// tiers is how many tiers are told apart; those beyond count as the last.
const tiers = 8

// bucket is a token bucket whose rate changes. It may be in debt.
type bucket struct {
	level float64
	at    time.Time
}

// fill brings the bucket to now. One that begins holds a burst.
func (b *bucket) fill(now time.Time, rate float64) {
	most := max(1, rate*burstTime.Seconds())
	if b.at.IsZero() {
		b.level = most
	} else {
		b.level += rate * max(0, now.Sub(b.at).Seconds())
	}
	b.level = min(b.level, most)
	b.at = now
}

// wait is how long until the bucket holds need.
func (b *bucket) wait(need, rate float64) time.Duration {
	if rate <= 0 {
		return askEvery
	}
	after := time.Duration((need - b.level) / rate * float64(time.Second))
	return min(max(after, leastAfter), mostAfter)
}

// Configure takes the organisation's limits and the number of hosts.
func (g *Gate) Configure(limits Rates, hosts int) { g.limits, g.hosts = limits, max(hosts, 1) }

// Rates is what the gate lets in now: its loan, or without one an even part.
func (g *Gate) Rates(now time.Time) Rates {
	if now.Before(g.until) {
		return g.loan
	}
	return g.limits.each(func(r float64) float64 { return r / float64(max(g.hosts, 1)) })
}

// Admit lets a request of a tier and of about tokens in, or says when to come
// back.
func (g *Gate) Admit(now time.Time, tier, tokens int) (time.Duration, bool) {
	g.counted = both(g.counted, Rates{1, float64(tokens)}, plus)
	g.active = now
	rates := g.fill(now)
	tier = min(max(tier, 0), tiers-1)
	if b := &g.requests[tier]; g.limits.Requests > 0 && b.level < 1 {
		return b.wait(1, rates.Requests), false
	}
	// A request may cost more tokens than ever lie in the bucket: it is let in
	// when there is any, and those after it wait until the debt is paid.
	if b := &g.tokens[tier]; g.limits.Tokens > 0 && tokens > 0 && b.level < 1 {
		return b.wait(1, rates.Tokens), false
	}
	for i := tier; i < tiers; i++ {
		g.requests[i].level--
	}
	g.Settle(tier, tokens)
	return 0, true
}

// Settle charges tokens more, or gives some back.
func (g *Gate) Settle(tier, tokens int) {
	for i := min(max(tier, 0), tiers-1); i < tiers; i++ {
		g.tokens[i].level -= float64(tokens)
	}
}

// fill brings all buckets to now, and returns the rates.
func (g *Gate) fill(now time.Time) Rates {
	rates := g.Rates(now)
	for i := range g.requests {
		g.requests[i].fill(now, rates.Requests)
		g.tokens[i].fill(now, rates.Tokens)
	}
	return rates
}

// LoanRequest is the demand to tell the owner of, where it is time to.
func (g *Gate) LoanRequest(now time.Time) (demand Rates, sequence uint64, due bool) {
	every := askEvery
	if g.asks == 1 {
		every = askSoon
	}
	since := now.Sub(g.asked)
	if g.counted.Requests == 0 {
		if since > askEvery {
			g.asks = 0
		}
		return Rates{}, 0, false
	}
	if g.asks > 0 && since < every {
		return Rates{}, 0, false
	}
	span := askEvery.Seconds()
	if g.asks > 0 {
		span = since.Seconds()
	}
	demand = g.counted.each(func(n float64) float64 { return n / span })
	g.counted = Rates{}
	g.asked = now
	g.asks++
	g.sequence++
	return demand, g.sequence, true
}

// SetLoan takes a loan in. Its term counts from the ask, so that it ends here
// before it does at the owner. An answer to an earlier ask is out of date.
func (g *Gate) SetLoan(now time.Time, sequence uint64, loan Rates) {
	if sequence != g.sequence {
		return
	}
	g.fill(now)
	g.loan, g.until = loan, g.asked.Add(LoanTerm)
}

// Idle says that nothing would be lost with the gate.
func (g *Gate) Idle(now time.Time) bool {
	if now.Sub(g.active) < idleAfter {
		return false
	}
	g.fill(now)
	return g.requests[tiers-1].level >= 1 && g.tokens[tiers-1].level >= 1
}
