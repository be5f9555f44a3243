package budgeter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// fanout is the number of hosts that are asked at once.
	fanout = 3
	// replyTimeout is how long a host may take to reply to a request for a loan.
	replyTimeout = 40 * time.Millisecond
	// silentBackoff is how long a host that did not reply is not asked.
	silentBackoff = 5 * time.Second
	// minEmptyBackoff is how long a host that had nothing left is not asked; it doubles each time,
	// up to maxEmptyBackoff.
	minEmptyBackoff = 300 * time.Millisecond
	maxEmptyBackoff = 800 * time.Millisecond
	// askRate is the maximum number of hosts that are asked per second, for all services, and
	// askBurst the number that may be asked at once. An ask that brings freeLoan repeats or more
	// does not count.
	askRate  = 16
	askBurst = 30
	freeLoan = 0.25
	// wantSteps is the number of steps over which claims are counted, to expect more of them.
	wantSteps = spanSteps / 10
	// termsPerSpan is the number of terms of a loan in a span.
	termsPerSpan = 50
	// maxAppetite is the number of repeats that a round borrows at most beyond what waits.
	maxAppetite = 100
	// minLoan is the smallest part of a repeat that is lent.
	minLoan = 0.05
)

// peer is what is known of another host's budget of a service.
type peer struct {
	left       float64       // that it could lend, by its last reply; NaN before that
	empty      time.Duration // backoff of its last reply that left nothing; 0 if it left some
	backoffEnd time.Time
	repliedAt  time.Time // last; zero for never
}

// round is one round of requests for loans.
type round struct {
	sequence uint64
	open     map[string]bool // hosts that were asked and have not replied
	askedAt  time.Time
}

// overdue identifies a request for a loan that was not answered in time.
type overdue struct {
	peer     string
	sequence uint64
}

// Loan is a request to another host, or its reply.
type Loan struct {
	Peer     string
	Service  string
	Sequence uint64
	Amount   float64 // repeats
	Arrived  float64 // in a return: repeats that were sent, and have arrived
	Left     float64 // in a reply: repeats that the lender could lend beyond that
	Sharing  int     // largest number of hosts on the sender's roster in the last sizeMemory
}

// term returns for how long a loan may be used.
func (b *Budget) term() time.Duration { return b.policy.Span / termsPerSpan }

// Borrow returns the requests for loans to send so that the claims that wait may be granted, and
// by when to call it again. Until then, or until a reply arrives, it returns none. It reports false
// if no host is left that may lend.
func (b *Budget) Borrow(now time.Time, service string, waiting int) ([]Loan, time.Time, bool) {
	a := b.account(service)
	if len(a.round.open) > 0 {
		if end := a.round.askedAt.Add(replyTimeout); now.Before(end) {
			return nil, end, true
		}
		a.backOffSilent(now)
	}
	peers := a.candidates(now, b.peers)
	n := min(fanout, len(peers), b.asks.available(now))
	if n == 0 {
		return nil, time.Time{}, false
	}
	need := max(float64(waiting), a.appetite(now))
	if a.peers[peers[0]].expected() >= need {
		n = 1
	}
	b.sequence++
	b.asks.take(n)
	a.round = round{sequence: b.sequence, open: map[string]bool{}, askedAt: now}
	var out []Loan
	for _, name := range peers[:n] {
		a.round.open[name] = true
		out = append(out, Loan{Peer: name, Service: service, Sequence: a.round.sequence, Amount: need / float64(n), Sharing: b.roster.largest(now)})
	}
	return out, now.Add(replyTimeout), true
}

// backOffSilent ends a round whose open requests were not answered in time.
func (a *account) backOffSilent(now time.Time) {
	for name := range a.round.open {
		a.peers[name].backoffEnd = now.Add(silentBackoff)
		a.overdue[overdue{name, a.round.sequence}] = now
	}
	a.round.open = nil
}

// appetite returns the repeats to borrow beyond what waits: twice as many as in the round before, if
// those were used up, and half as many if some were left over.
func (a *account) appetite(now time.Time) float64 {
	a.borrowed(now)
	if a.leftOver {
		a.wanted /= 2
	} else {
		a.wanted = min(2*max(a.wanted, 1), maxAppetite)
	}
	a.leftOver = false
	return a.wanted
}

// nextEmptyBackoff returns the backoff after a reply.
func nextEmptyBackoff(last time.Duration, empty bool) time.Duration {
	if !empty {
		return 0
	}
	return min(max(2*last, minEmptyBackoff), maxEmptyBackoff)
}

// askBucket limits the requests for loans: a token bucket, full at first.
type askBucket struct {
	used      float64
	updatedAt time.Time
}

// available returns the number of hosts that may be asked now.
func (k *askBucket) available(now time.Time) int {
	if !k.updatedAt.IsZero() {
		k.used = max(0, k.used-askRate*max(0, now.Sub(k.updatedAt).Seconds()))
	}
	k.updatedAt = now
	return max(0, int(askBurst-k.used))
}

func (k *askBucket) take(n int) { k.used += float64(n) }

// giveBack makes an ask cost less that brought a loan: the rate bounds those that bring nothing.
func (k *askBucket) giveBack(loan float64) { k.used -= min(1, loan/freeLoan) }

// candidates returns the hosts that may lend, those with most left first. Those of which nothing is
// known come before those that are known to have less than a repeat; of these, those that had the
// longest time to earn more come first.
func (a *account) candidates(now time.Time, peers []string) []string {
	var out []string
	for _, name := range peers {
		x := a.peers[name]
		if x == nil {
			x = &peer{left: math.NaN()}
			a.peers[name] = x
		}
		if !now.Before(x.backoffEnd) {
			out = append(out, name)
		}
	}
	slices.SortStableFunc(out, func(x, y string) int {
		return cmp.Or(cmp.Compare(a.peers[y].expected(), a.peers[x].expected()), a.peers[x].repliedAt.Compare(a.peers[y].repliedAt))
	})
	return out
}

// expected returns the whole repeats that a host may be expected to lend: one if nothing is known of it.
func (x *peer) expected() float64 {
	if math.IsNaN(x.left) {
		return 1
	}
	return math.Floor(x.left)
}

// Lend lends a part of this process's budget: at most what is asked for, and what it is not about to
// need itself. The loan is open until the borrower reports what became of it.
func (b *Budget) Lend(now time.Time, asked Loan) Loan {
	b.learnSize(now, asked.Sharing)
	a := b.account(asked.Service)
	a.usedAt = now
	available := a.ledger.Available(now, b.policy, b.slack(now))
	kept := min(a.wants.over(now, b.policy, wantSteps), math.Floor(available)) // a part of a repeat is of no use here
	free := available - kept
	amount := min(max(asked.Amount, 0), free)
	if amount < minLoan {
		amount = 0
	}
	if amount > 0 {
		a.ledger.Open(amount)
		a.lent = append(a.lent, loan{borrower: asked.Peer, sequence: asked.Sequence, amount: amount, lentAt: now})
		a.counts.Lent += amount
	}
	return Loan{Peer: asked.Peer, Service: asked.Service, Sequence: asked.Sequence, Amount: amount, Left: free - amount, Sharing: b.roster.largest(now)}
}

// loan is an entry of the loans that this process made.
type loan struct {
	borrower string
	sequence uint64
	amount   float64 // still open
	lentAt   time.Time
}

// giveBack notes what became of a loan, or of a part of it, for its lender.
func (a *account) giveBack(x Loan) {
	a.counts.Returned += x.Amount
	for i := range a.returns {
		if r := &a.returns[i]; r.Peer == x.Peer && r.Sequence == x.Sequence {
			r.Amount += x.Amount
			r.Arrived += x.Arrived
			return
		}
	}
	a.returns = append(a.returns, x)
}

// Returns returns what became of the loans of other hosts, to be reported to them: not used in time, or
// arrived. It settles what has been open for a span with nothing known of it, and forgets the services
// that nothing counts for any more.
func (b *Budget) Returns(now time.Time) []Loan {
	b.settleOld(now)
	var out []Loan
	for service, a := range b.services {
		if now.Sub(a.usedAt) > idleSpans*b.policy.Span {
			delete(b.services, service)
			continue
		}
		a.borrowed(now)
		a.settleLent(now, b.policy)
		maps.DeleteFunc(a.overdue, func(_ overdue, since time.Time) bool { return now.Sub(since) > b.policy.Span })
		for _, l := range a.returns {
			l.Service = service
			out = append(out, l)
		}
		a.returns = nil
	}
	return out
}

// Return applies what another host reports of a loan: a part of it was not sent, or has arrived. It
// returns the amount that was not sent.
func (b *Budget) Return(now time.Time, back Loan) float64 {
	a := b.account(back.Service)
	i := slices.IndexFunc(a.lent, func(x loan) bool { return x.borrower == back.Peer && x.sequence == back.Sequence })
	if i < 0 {
		return 0
	}
	x := &a.lent[i]
	arrived := min(max(back.Arrived, 0), x.amount)
	a.ledger.Settle(now, arrived, b.policy)
	x.amount -= arrived
	unsent := min(max(back.Amount, 0), x.amount)
	a.ledger.Cancel(unsent)
	x.amount -= unsent
	if x.amount <= 0 {
		a.lent = slices.Delete(a.lent, i, i+1)
	}
	return unsent
}

// settleLent settles the loans of which the borrower has reported nothing for a span.
func (a *account) settleLent(now time.Time, p Policy) {
	for len(a.lent) > 0 && now.Sub(a.lent[0].lentAt) > p.Span {
		a.ledger.Settle(now, a.lent[0].amount, p)
		a.lent = a.lent[1:]
	}
}

// Receive applies a reply. A loan may be used for its term after it was asked for. It returns the amount.
func (b *Budget) Receive(now time.Time, reply Loan) float64 {
	a := b.account(reply.Service)
	if reply.Sequence != a.round.sequence || !a.round.open[reply.Peer] {
		a.receiveOverdue(reply)
		return 0
	}
	delete(a.round.open, reply.Peer)
	x := a.peers[reply.Peer]
	x.left, x.repliedAt = reply.Left, now
	b.asks.giveBack(reply.Amount)
	b.learnSize(now, reply.Sharing)
	x.empty = nextEmptyBackoff(x.empty, reply.Left < minLoan)
	x.backoffEnd = now.Add(x.empty)
	if reply.Amount > 0 {
		a.credits = append(a.credits, credit{amount: reply.Amount, until: a.round.askedAt.Add(b.term()), lender: reply.Peer, sequence: reply.Sequence})
		a.counts.Borrowed += reply.Amount
	}
	return reply.Amount
}

// receiveOverdue gives back a loan that came too late to be used.
func (a *account) receiveOverdue(reply Loan) {
	key := overdue{reply.Peer, reply.Sequence}
	if _, ok := a.overdue[key]; !ok || reply.Amount <= 0 {
		return
	}
	delete(a.overdue, key)
	a.giveBack(Loan{Peer: reply.Peer, Sequence: reply.Sequence, Amount: reply.Amount})
}
