package limiter

import (
	"sync"
	"time"
)

// Gates holds the gates of all organisations at one entry. It is safe for
// concurrent use. The zero value admits every request.
type Gates struct {
	mu     sync.Mutex
	limits map[string]Rates
	hosts  int
	gates  map[string]*Gate
}

// LoanRequest asks the owner of an organisation's limits for a loan.
type LoanRequest struct {
	Organisation string
	Sequence     uint64
	Demand       Rates
}

// Configure sets the organisations' limits. Organisations that are missing from
// limits are not limited.
func (g *Gates) Configure(limits map[string]Rates) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	g.configure()
}

// SetHosts sets the number of hosts.
func (g *Gates) SetHosts(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hosts = n
	g.configure()
}

func (g *Gates) configure() {
	for name, x := range g.gates {
		if limits, ok := g.limits[name]; ok {
			x.Configure(limits, g.hosts)
			continue
		}
		delete(g.gates, name)
	}
}

// Admit reports whether an organisation's request of a tier and of about this
// many tokens is admitted, and if not, after what time to retry.
func (g *Gates) Admit(now time.Time, organisation string, tier, tokens int) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limits, limited := g.limits[organisation]
	if !limited {
		return 0, true
	}
	x := g.gates[organisation]
	if x == nil {
		if g.gates == nil {
			g.gates = map[string]*Gate{}
		}
		x = &Gate{}
		x.Configure(limits, g.hosts)
		g.gates[organisation] = x
	}
	return x.Admit(now, tier, tokens)
}

// Settle charges further tokens to an organisation; a negative number gives
// tokens back.
func (g *Gates) Settle(organisation string, tier, tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if x := g.gates[organisation]; x != nil {
		x.Settle(tier, tokens)
	}
}

// LoanRequests returns the loan requests that are due, and drops idle gates.
func (g *Gates) LoanRequests(now time.Time) []LoanRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []LoanRequest
	for name, x := range g.gates {
		if demand, sequence, due := x.LoanRequest(now); due {
			out = append(out, LoanRequest{name, sequence, demand})
		} else if x.Idle(now) {
			delete(g.gates, name)
		}
	}
	return out
}

// SetLoan applies a loan to the gate of its organisation.
func (g *Gates) SetLoan(now time.Time, organisation string, sequence uint64, loan Rates) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if x := g.gates[organisation]; x != nil {
		x.SetLoan(now, sequence, loan)
	}
}

// Rates returns the rates in force of each organisation with a gate, for dumps.
func (g *Gates) Rates(now time.Time) map[string]Rates {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]Rates{}
	for name, x := range g.gates {
		out[name] = x.Rates(now)
	}
	return out
}
