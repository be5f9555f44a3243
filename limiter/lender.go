package limiter

import "time"

// Lender lends the limits that this host owns. The zero value has lent nothing.
// It is not safe for concurrent use.
type Lender struct{ books map[string]map[string]*loan } // by organisation, host

// loan is what one entry was lent.
type loan struct {
	demand Rates
	lent   Rates
	until  time.Time
	// older is the loan before, which the entry goes on using where the last
	// answer was lost.
	older      Rates
	olderUntil time.Time
}

// used is the most the entry may be using.
func (l *loan) used(now time.Time) Rates {
	if now.Before(l.olderUntil) {
		return both(l.lent, l.older, larger)
	}
	return l.lent
}

// Lend lends a part of an organisation's limits to an entry that wants demand,
// for Term. Since is when this host's roster last changed: loans of an owner
// before may last until Term after, and nothing is lent so long.
func (l *Lender) Lend(now, since time.Time, organisation, host string, hosts int, limits, demand Rates) (Rates, bool) {
	if now.Sub(since) < LoanTerm {
		return Rates{}, false
	}
	book := l.book(now, organisation)
	mine := book[host]
	newcomer := mine == nil
	if newcomer {
		mine = &loan{}
		book[host] = mine
	}
	mine.demand = demand
	even := limits.each(func(r float64) float64 { return r / float64(max(hosts, 1)) })
	free := both(limits, l.others(now, book, host), func(limit, lent float64) float64 { return max(0, limit-lent) })
	room := free
	if len(book) < hosts {
		// The reserve goes to even parts only.
		room = both(free, limits, func(free, limit float64) float64 { return max(0, free-reserve*limit) })
		room = both(room, both(free, even, smaller), larger)
	}
	share := l.share(book, mine, even, limits)
	if newcomer {
		share = both(share, even, larger) // its demand is hardly known yet
	}
	if held := mine.used(now); now.Before(mine.until) {
		mine.older, mine.olderUntil = held, mine.until
	}
	mine.lent, mine.until = both(share, room, smaller), now.Add(LoanTerm)
	return mine.lent, true
}

// book is an organisation's loans that are not over.
func (l *Lender) book(now time.Time, organisation string) map[string]*loan {
	if l.books == nil {
		l.books = map[string]map[string]*loan{}
	}
	book := l.books[organisation]
	if book == nil {
		book = map[string]*loan{}
		l.books[organisation] = book
	}
	for host, x := range book {
		if !now.Before(x.until) {
			delete(book, host)
		}
	}
	return book
}

func (l *Lender) others(now time.Time, book map[string]*loan, host string) Rates {
	var sum Rates
	for name, x := range book {
		if name != host {
			sum = both(sum, x.used(now), plus)
		}
	}
	return sum
}

// share is an entry's part by demand, but no more than twice its demand: what
// nobody wants stays free for whoever comes next. Each has a floor, so that it
// can grow from nothing.
func (l *Lender) share(book map[string]*loan, mine *loan, even, limits Rates) Rates {
	floor := even.each(func(r float64) float64 { return r / 4 })
	var sum Rates
	for _, x := range book {
		sum = both(sum, both(x.demand, floor, plus), plus)
	}
	weight := both(both(mine.demand, floor, plus), sum, func(w, sum float64) float64 {
		if sum == 0 {
			return 0
		}
		return w / sum
	})
	share := both(limits, weight, func(r, w float64) float64 { return r * w })
	most := both(mine.demand, even, func(d, even float64) float64 { return max(2*d, even) })
	return both(share, most, smaller)
}

// Forget drops the organisations without a loan.
func (l *Lender) Forget(now time.Time) {
	for name := range l.books {
		if len(l.book(now, name)) == 0 {
			delete(l.books, name)
		}
	}
}

// Len is the number of organisations with loans.
func (l *Lender) Len() int { return len(l.books) }
