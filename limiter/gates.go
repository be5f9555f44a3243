package limiter

import (
	"sync"
	"time"
)

// Gates is the gates of all organisations at one entry. It is safe for
// concurrent use. The zero value lets everything in.
type Gates struct {
	mu     sync.Mutex
	limits map[string]Rates
	hosts  int
	gates  map[string]*Gate
}

// LoanRequest is one ask for a loan.
type LoanRequest struct {
	Organisation string
	Sequence     uint64
	Demand       Rates
}

// Configure takes the organisations' limits; those without are not limited.
func (g *Gates) Configure(limits map[string]Rates) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	g.configure()
}

// SetHosts takes the number of hosts.
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

// Admit lets a request of a tier and of about tokens in, or says when to come
// back.
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

// Settle charges tokens more, or gives some back.
func (g *Gates) Settle(organisation string, tier, tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if x := g.gates[organisation]; x != nil {
		x.Settle(tier, tokens)
	}
}

// LoanRequests is the asks that are due.
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

// SetLoan takes a loan in.
func (g *Gates) SetLoan(now time.Time, organisation string, sequence uint64, loan Rates) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if x := g.gates[organisation]; x != nil {
		x.SetLoan(now, sequence, loan)
	}
}

// Rates is what the organisations at hand may use here now, for a dump.
func (g *Gates) Rates(now time.Time) map[string]Rates {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]Rates{}
	for name, x := range g.gates {
		out[name] = x.Rates(now)
	}
	return out
}
