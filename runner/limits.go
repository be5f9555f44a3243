package runner

import (
	"time"

	"github.com/cicadawood/cicadawood/limiter"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
)

// loanCheckInterval is how often the entry checks which loans to request.
const loanCheckInterval = 100 * time.Millisecond

// limitState is the control state of the organisations' limits.
type limitState struct {
	gates          limiter.Gates // shared with the traffic goroutines
	lender         limiter.Lender
	limits         map[string]limiter.Rates
	hosts          int
	hostsChangedAt time.Time // when the roster's hosts last changed
	nextCheck      time.Time
}

// limitAdapter adapts the gates to server.Limiter.
type limitAdapter struct{ gates *limiter.Gates }

// Admit implements server.Limiter.
func (l limitAdapter) Admit(organisation string, tier, tokens int) (time.Duration, bool) {
	return l.gates.Admit(time.Now(), organisation, tier, tokens)
}

// Settle implements server.Limiter.
func (l limitAdapter) Settle(organisation string, tier, tokens int) {
	l.gates.Settle(organisation, tier, tokens)
}

// configure sets the limits of the organisations.
func (l *limitState) configure(f *loader.Folder) {
	l.limits = map[string]limiter.Rates{}
	for name, o := range f.Organisations {
		if o.Requests > 0 || o.Tokens > 0 {
			l.limits[name] = limiter.Rates{Requests: o.Requests, Tokens: o.Tokens}
		}
	}
	l.gates.Configure(l.limits)
}

// setRoster records when the hosts changed: a new owner of limits must wait until the
// loans of its predecessor have ended.
func (l *limitState) setRoster(now time.Time, old, r registrar.Roster) {
	l.hosts = 0
	changed := len(old.Hosts()) != len(r.Hosts())
	for _, h := range r.Hosts() {
		previous, ok := old.Find(h.Name)
		changed = changed || !ok || previous.Leaving != h.Leaving || previous.Incarnation != h.Incarnation
		if !h.Leaving {
			l.hosts++
		}
	}
	if changed {
		l.hostsChangedAt = now
	}
	l.gates.SetHosts(l.hosts)
}

// requestLoans requests the loans that are due.
func (c *control) requestLoans(now time.Time) {
	l := &c.limits
	if now.Before(l.nextCheck) {
		return
	}
	l.nextCheck = now.Add(loanCheckInterval)
	for _, a := range l.gates.LoanRequests(now) {
		owner, ok := c.roster.Owner("limit/" + a.Organisation)
		if !ok {
			continue
		}
		c.send(now, owner.Name, messenger.Borrow{
			Organisation: a.Organisation, Sequence: a.Sequence, Requests: a.Demand.Requests, Tokens: a.Demand.Tokens,
		})
	}
	l.lender.Forget(now)
}

// lend answers a request for a loan. A host that is not the owner by its own roster does
// not answer: two owners would lend a limit twice, and without an answer the entry safely
// falls back to its equal share.
func (c *control) lend(now time.Time, from string, b messenger.Borrow) {
	l := &c.limits
	limits, limited := l.limits[b.Organisation]
	owner, ok := c.roster.Owner("limit/" + b.Organisation)
	if !limited || !ok || owner.Name != c.self {
		return
	}
	demand := limiter.Rates{Requests: b.Requests, Tokens: b.Tokens}
	loan, ok := l.lender.Lend(now, l.hostsChangedAt, b.Organisation, from, l.hosts, limits, demand)
	if !ok {
		return
	}
	c.send(now, from, messenger.Lend{Organisation: b.Organisation, Sequence: b.Sequence, Requests: loan.Requests, Tokens: loan.Tokens})
}

// receiveLoan hands a loan to the gates.
func (c *control) receiveLoan(now time.Time, m messenger.Lend) {
	c.limits.gates.SetLoan(now, m.Organisation, m.Sequence, limiter.Rates{Requests: m.Requests, Tokens: m.Tokens})
}
