package runner

import (
	"time"

	"github.com/cicadawood/cicadawood/limiter"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
)

// limitEvery is how often the entry looks for loans to ask for.
const limitEvery = 100 * time.Millisecond

// limiting is the control state of organisations' limits.
type limiting struct {
	gates  limiter.Gates // shared with the traffic goroutines
	lender limiter.Lender
	limits map[string]limiter.Rates
	hosts  int
	since  time.Time // the roster's hosts changed
	next   time.Time
}

// limits adapts the gates to server.Limiter.
type limits struct{ gates *limiter.Gates }

// Admit implements server.Limiter.
func (l limits) Admit(organisation string, tier, tokens int) (time.Duration, bool) {
	return l.gates.Admit(time.Now(), organisation, tier, tokens)
}

// Settle implements server.Limiter.
func (l limits) Settle(organisation string, tier, tokens int) {
	l.gates.Settle(organisation, tier, tokens)
}

// configure takes the organisations that have limits.
func (l *limiting) configure(f *loader.Folder) {
	l.limits = map[string]limiter.Rates{}
	for name, o := range f.Organisations {
		if o.Requests > 0 || o.Tokens > 0 {
			l.limits[name] = limiter.Rates{Requests: o.Requests, Tokens: o.Tokens}
		}
	}
	l.gates.Configure(l.limits)
}

// enroll notes when the hosts changed: an owner of limits that is new must wait
// for the loans of the one before.
func (l *limiting) enroll(now time.Time, old, r registrar.Roster) {
	l.hosts = 0
	changed := len(old.Hosts()) != len(r.Hosts())
	for _, h := range r.Hosts() {
		was, ok := old.Find(h.Name)
		changed = changed || !ok || was.Leaving != h.Leaving || was.Incarnation != h.Incarnation
		if !h.Leaving {
			l.hosts++
		}
	}
	if changed {
		l.since = now
	}
	l.gates.SetHosts(l.hosts)
}

// borrow asks for the loans that are due.
func (c *control) borrow(now time.Time) {
	l := &c.limiting
	if now.Before(l.next) {
		return
	}
	l.next = now.Add(limitEvery)
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

// lend answers an entry. A host that its own roster doesn't name as the owner
// stays silent: two lenders would lend a limit twice, and the entry's even part
// is safe.
func (c *control) lend(now time.Time, from string, b messenger.Borrow) {
	l := &c.limiting
	limits, limited := l.limits[b.Organisation]
	owner, ok := c.roster.Owner("limit/" + b.Organisation)
	if !limited || !ok || owner.Name != c.self {
		return
	}
	demand := limiter.Rates{Requests: b.Requests, Tokens: b.Tokens}
	loan, ok := l.lender.Lend(now, l.since, b.Organisation, from, l.hosts, limits, demand)
	if !ok {
		return
	}
	c.send(now, from, messenger.Lend{Organisation: b.Organisation, Sequence: b.Sequence, Requests: loan.Requests, Tokens: loan.Tokens})
}

func (c *control) lent(now time.Time, m messenger.Lend) {
	c.limiting.gates.SetLoan(now, m.Organisation, m.Sequence, limiter.Rates{Requests: m.Requests, Tokens: m.Tokens})
}
