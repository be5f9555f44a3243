package budgeter

import (
	"maps"
	"slices"
	"time"
)

// Budget is one process's part of the budgets of all services. It is not safe for concurrent use.
type Budget struct {
	policy        Policy
	startedAt     time.Time
	settlingSince time.Time // since when it knows no more hosts
	roster        sizes     // of this process
	told          sizes     // reported by other hosts
	services      map[string]*account
	peers         []string
	sequence      uint64 // of the last round of borrowing
	asks          askBucket
	open          map[Repeat]*openRepeat
	lastRepeat    Repeat
}

// account is a Budget's state for one service.
type account struct {
	ledger   Ledger
	wants    rates                 // claims, granted or not
	taken    map[kind]*rates       // repeats sent, over a span
	credits  []credit              // borrowed from other hosts, oldest first
	round    round                 // current round of borrowing
	overdue  map[overdue]time.Time // since when
	peers    map[string]*peer      // that were asked before
	wanted   float64               // appetite of the last round, in repeats
	leftOver bool                  // a loan was returned since the last round
	returns  []Loan                // what became of loans, to be reported to their lenders
	lent     []loan                // of this process, of which it is not known yet what became
	counts   Counts                // since the start
	usedAt   time.Time             // last request, claim or loan
}

// Counts are the sums of an account since the process started, in repeats.
type Counts struct {
	Granted  float64 `json:"granted"`
	Refused  float64 `json:"refused"`
	Borrowed float64 `json:"borrowed"`
	Lent     float64 `json:"lent"`
	Returned float64 `json:"returned"` // borrowed and not used
	Unsent   float64 `json:"unsent"`   // granted and not sent
}

// credit is a part of a repeat, or several repeats, that another host lent.
type credit struct {
	amount   float64
	until    time.Time
	lender   string
	sequence uint64
}

// New returns the Budget of a process that starts now.
func New(now time.Time, p Policy) *Budget {
	// A reply to an earlier process of the same host must not match a round of this one.
	return &Budget{policy: p, startedAt: now, settlingSince: now, services: map[string]*account{}, open: map[Repeat]*openRepeat{}, sequence: uint64(now.UnixNano())}
}

// Configure changes the policy. Counts of another span can't be converted: a process starts again
// with none, as a new one does.
func (b *Budget) Configure(now time.Time, p Policy) {
	if p.Span != b.policy.Span {
		b.Restart(now)
	}
	b.policy = p
}

// Restart makes a process count as a new one.
func (b *Budget) Restart(now time.Time) {
	b.startedAt, b.settlingSince = now, now
	clear(b.services)
	clear(b.open)
}

// ForgetRequests drops the requests that were counted and the loans: how long ago that was is not
// known. The repeats that were sent still count.
func (b *Budget) ForgetRequests() {
	for _, a := range b.services {
		a.ledger.ForgetRequests()
		a.credits = nil
	}
}

// SetPeers applies the other hosts of the roster that can be reached, and the number of all hosts.
func (b *Budget) SetPeers(now time.Time, peers []string, hosts int) {
	b.peers = peers
	for _, a := range b.services {
		maps.DeleteFunc(a.peers, func(name string, _ *peer) bool { return !slices.Contains(peers, name) && !a.round.open[name] })
	}
	b.noteGrowth(now, hosts)
	b.roster.set(now, hosts)
}

// learnSize applies the number of hosts that another host knows of.
func (b *Budget) learnSize(now time.Time, hosts int) {
	if hosts <= b.sharing(now) {
		return
	}
	b.noteGrowth(now, hosts)
	b.told.set(now, hosts)
}

// noteGrowth restarts the wait of a process for its part of the slack if there are more hosts than it
// knew: they did not know it either, and divided the slack by fewer.
func (b *Budget) noteGrowth(now time.Time, hosts int) {
	if !b.settled(now) && hosts > max(b.roster.largest(now), b.told.largest(now)) {
		b.settlingSince = now
	}
}

// sharing returns the number of hosts by which the slack is divided.
func (b *Budget) sharing(now time.Time) int {
	if n := max(b.roster.largest(now), b.told.largest(now)); n > 1 {
		return n
	}
	return minSharing
}

// settled reports whether the process has a part of the slack.
func (b *Budget) settled(now time.Time) bool {
	return now.Sub(b.settlingSince) >= b.policy.Span+rosterDelay
}

func (b *Budget) account(service string) *account {
	a := b.services[service]
	if a == nil {
		a = &account{taken: map[kind]*rates{}, peers: map[string]*peer{}, overdue: map[overdue]time.Time{}}
		b.services[service] = a
	}
	return a
}

// RecordRequest records a request of a caller.
func (b *Budget) RecordRequest(now time.Time, service string) {
	a := b.account(service)
	a.usedAt = now
	a.ledger.RecordRequest(now, b.policy)
}

// slack returns this process's part of the slack. What the process before it spent counts for a
// span: until then a new one has none. Whoever spends slack in a window thus ran when the window
// began, and the parts of those that ran at one time add up to the whole.
func (b *Budget) slack(now time.Time) float64 {
	if !b.settled(now) {
		return 0
	}
	return b.policy.Slack / float64(b.sharing(now))
}

// Want records that a repeat asks for budget. It is called once for each.
func (b *Budget) Want(now time.Time, service string) {
	a := b.account(service)
	a.usedAt = now
	a.wants.add(now, b.policy, 1)
}

// Take takes the budget for one repeat. It returns false if there was not enough. The repeat is open
// until Arrived or NotSent is called for it, or, after Unanswered, its workers answer something.
func (b *Budget) Take(now time.Time, service string, c Claim) (Repeat, bool) {
	a := b.account(service)
	a.usedAt = now
	available := a.ledger.Available(now, b.policy, b.slack(now)) + a.borrowed(now)
	if available < 1+b.reserved(now, a, c) {
		return 0, false
	}
	parts := a.use(1)
	own := 1.0
	for _, x := range parts {
		own -= x.Amount
	}
	a.ledger.Open(own)
	if a.taken[c.kind()] == nil {
		a.taken[c.kind()] = &rates{}
	}
	a.taken[c.kind()].add(now, b.policy, 1)
	a.counts.Granted++
	b.lastRepeat++
	b.open[b.lastRepeat] = &openRepeat{service: service, own: own, loans: parts, grantedAt: now}
	return b.lastRepeat, true
}

// Refuse records that a repeat gets no budget.
func (b *Budget) Refuse(service string) { b.account(service).counts.Refused++ }

// reserved returns what a claim has to leave to others: a kind that has taken more than the
// reserve leaves that much, so that a flood of its repeats does not use up those of others.
func (b *Budget) reserved(now time.Time, a *account, c Claim) float64 {
	reserve := c.reserveShare() * a.ledger.Capacity(now, b.policy, b.slack(now))
	if t := a.taken[c.kind()]; t == nil || t.over(now, b.policy, spanSteps) < reserve {
		return 0
	}
	return reserve
}

// borrowed returns the repeats that other hosts lent and that may still be used. What is over goes
// back to the lender.
func (a *account) borrowed(now time.Time) float64 {
	sum := 0.0
	var left []credit
	for _, c := range a.credits {
		if now.Before(c.until) {
			left = append(left, c)
			sum += c.amount
			continue
		}
		if c.amount > 0 {
			a.giveBack(Loan{Peer: c.lender, Sequence: c.sequence, Amount: c.amount})
			a.leftOver = a.leftOver || c.amount >= minLoan
		}
	}
	a.credits = left
	return sum
}

// use consumes at most an amount of the credits, the one that ends first at first, and returns the parts.
func (a *account) use(amount float64) []Loan {
	var parts []Loan
	for i := range a.credits {
		x := &a.credits[i]
		part := min(amount, x.amount)
		if part <= 0 {
			continue
		}
		x.amount -= part
		amount -= part
		parts = append(parts, Loan{Peer: x.lender, Sequence: x.sequence, Amount: part})
	}
	return parts
}

// State is what a process knows of a service's budget.
type State struct {
	Service   string        `json:"service"`
	Requests  float64       `json:"requests"`  // of callers in the last span, at this process
	Charged   float64       `json:"charged"`   // repeats that arrived, or were lent, in the last span, and open ones
	Open      float64       `json:"open"`      // of those: sent or lent, and not known to have arrived
	Slack     float64       `json:"slack"`     // part of the slack
	Available float64       `json:"available"` // repeats that may be sent now, borrowed ones included
	Borrowed  float64       `json:"borrowed"`  // of those
	Sharing   int           `json:"sharing"`   // hosts that share the slack
	Age       time.Duration `json:"age"`       // of the process's counts
	Counts    Counts        `json:"counts"`
}

// State returns what the process knows of a service's budget.
func (b *Budget) State(now time.Time, service string) State {
	a := b.account(service)
	slack := b.slack(now)
	borrowed := a.borrowed(now)
	return State{
		Service: service, Requests: a.ledger.Requests(now, b.policy), Charged: a.ledger.Charged(now, b.policy), Open: a.ledger.open, Slack: slack,
		Available: a.ledger.Available(now, b.policy, slack) + borrowed, Borrowed: borrowed,
		Sharing: b.sharing(now), Age: now.Sub(b.startedAt), Counts: a.counts,
	}
}

// States returns the State of each service with an account, by name.
func (b *Budget) States(now time.Time) []State {
	var out []State
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		out = append(out, b.State(now, name))
	}
	return out
}
