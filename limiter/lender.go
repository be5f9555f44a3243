package limiter

import "time"

// Lender lends the limits that this host owns. The zero value has no loans. It
// is not safe for concurrent use.
type Lender struct{ loans map[string]map[string]*loan } // by organisation, host

// loan is the part of the limits that one entry was lent.
type loan struct {
	demand  Rates
	lent    Rates
	expires time.Time
	// previous is the loan before this one. The entry goes on using it if the
	// last answer was lost.
	previous        Rates
	previousExpires time.Time
}

// maxInUse returns the most that the entry may be using.
func (l *loan) maxInUse(now time.Time) Rates {
	if now.Before(l.previousExpires) {
		return combine(l.lent, l.previous, larger)
	}
	return l.lent
}

// Lend lends a part of an organisation's limits to an entry with a demand, for
// LoanTerm. It reports false, and lends nothing, until LoanTerm after since,
// the time when this host's roster last changed: loans of a previous owner may
// last until then.
func (l *Lender) Lend(now, since time.Time, organisation, host string, hosts int, limits, demand Rates) (Rates, bool) {
	if now.Sub(since) < LoanTerm {
		return Rates{}, false
	}
	active := l.activeLoans(now, organisation)
	own := active[host]
	isNew := own == nil
	if isNew {
		own = &loan{}
		active[host] = own
	}
	own.demand = demand
	evenShare := limits.apply(func(r float64) float64 { return r / float64(max(hosts, 1)) })
	unlent := combine(limits, l.lentToOthers(now, active, host), func(limit, lent float64) float64 { return max(0, limit-lent) })
	available := unlent
	if len(active) < hosts {
		// Only loans up to an even part may use the reserve.
		available = combine(unlent, limits, func(free, limit float64) float64 { return max(0, free-reserveFraction*limit) })
		available = combine(available, combine(unlent, evenShare, smaller), larger)
	}
	share := l.share(active, own, evenShare, limits)
	if isNew {
		share = combine(share, evenShare, larger) // its demand is not known well yet
	}
	if held := own.maxInUse(now); now.Before(own.expires) {
		own.previous, own.previousExpires = held, own.expires
	}
	own.lent, own.expires = combine(share, available, smaller), now.Add(LoanTerm)
	return own.lent, true
}

// activeLoans returns an organisation's loans, by host, and removes expired
// ones.
func (l *Lender) activeLoans(now time.Time, organisation string) map[string]*loan {
	if l.loans == nil {
		l.loans = map[string]map[string]*loan{}
	}
	loans := l.loans[organisation]
	if loans == nil {
		loans = map[string]*loan{}
		l.loans[organisation] = loans
	}
	for host, x := range loans {
		if !now.Before(x.expires) {
			delete(loans, host)
		}
	}
	return loans
}

// lentToOthers returns the most that all entries but one may be using.
func (l *Lender) lentToOthers(now time.Time, loans map[string]*loan, host string) Rates {
	var sum Rates
	for name, x := range loans {
		if name != host {
			sum = combine(sum, x.maxInUse(now), plus)
		}
	}
	return sum
}

// share returns an entry's part of the limits in proportion to its demand, but
// at most twice its demand or an even part: the rest stays free for the next
// request. A floor is added to each demand, so that a share can grow from
// nothing.
func (l *Lender) share(loans map[string]*loan, own *loan, evenShare, limits Rates) Rates {
	floor := evenShare.apply(func(r float64) float64 { return r / 4 })
	var sum Rates
	for _, x := range loans {
		sum = combine(sum, combine(x.demand, floor, plus), plus)
	}
	weight := combine(combine(own.demand, floor, plus), sum, func(w, sum float64) float64 {
		if sum == 0 {
			return 0
		}
		return w / sum
	})
	share := combine(limits, weight, func(r, w float64) float64 { return r * w })
	maxShare := combine(own.demand, evenShare, func(d, even float64) float64 { return max(2*d, even) })
	return combine(share, maxShare, smaller)
}

// Forget drops organisations without a loan.
func (l *Lender) Forget(now time.Time) {
	for name := range l.loans {
		if len(l.activeLoans(now, name)) == 0 {
			delete(l.loans, name)
		}
	}
}

// Len returns the number of organisations with loans.
func (l *Lender) Len() int { return len(l.loans) }
