package budgeter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadawood/cicadawood/budgeter"
)

// way is one design of the budget over a simulated fleet.
type way interface {
	// started applies that a process begins on a machine, which replaces the one before.
	started(now time.Time, machine int)
	// knows applies the machines that a machine has on its roster, itself included.
	knows(now time.Time, machine int, roster []int)
	request(now time.Time, machine int)
	repeat(now time.Time, machine int, c budgeter.Claim) bool
	// woke applies that a machine was suspended, which its clock did not count.
	woke(machine int)
	// traffic returns the messages between hosts and their bytes.
	traffic() (messages, bytes int)
}

// window counts a process's requests and repeats exactly.
type window struct {
	startedAt         time.Time
	requests, repeats []time.Time
}

func (w *window) prune(now time.Time, span time.Duration) {
	for len(w.requests) > 0 && now.Sub(w.requests[0]) >= span {
		w.requests = w.requests[1:]
	}
	for len(w.repeats) > 0 && now.Sub(w.repeats[0]) >= span {
		w.repeats = w.repeats[1:]
	}
}

// evenWay lets each process use an even part by what it counted itself. With gated, a process has
// no slack for its first span.
type evenWay struct {
	policy  budgeter.Policy
	windows map[int]*window
	hosts   map[int]int
	gated   bool
}

const (
	evenMargin   = 0.8
	evenMinHosts = 8
)

func newEvenWay(p budgeter.Policy, gated bool) *evenWay {
	return &evenWay{policy: p, windows: map[int]*window{}, hosts: map[int]int{}, gated: gated}
}

func (e *evenWay) started(now time.Time, machine int) {
	e.windows[machine], e.hosts[machine] = &window{startedAt: now}, evenMinHosts
}

func (e *evenWay) knows(_ time.Time, machine int, roster []int) {
	e.hosts[machine] = max(e.hosts[machine], len(roster))
}

func (e *evenWay) request(now time.Time, machine int) {
	e.windows[machine].requests = append(e.windows[machine].requests, now)
}

func (e *evenWay) repeat(now time.Time, machine int, _ budgeter.Claim) bool {
	w := e.windows[machine]
	w.prune(now, e.policy.Span)
	slack := e.policy.Slack / float64(e.hosts[machine])
	if e.gated && now.Sub(w.startedAt) < e.policy.Span+2*time.Second {
		slack = 0
	}
	if float64(len(w.repeats)+1) > evenMargin*(e.policy.Ratio*float64(len(w.requests))+slack) {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

func (e *evenWay) woke(int)            {}
func (e *evenWay) traffic() (int, int) { return 0, 0 }

// gossipWay has each process grant by the sums of all, as reported every period: what was not reported
// yet, or by a process that is gone, does not count.
type gossipWay struct {
	policy  budgeter.Policy
	clock   func() time.Time
	period  time.Duration
	windows map[int]*window
	rosters map[int][]int
	heard   map[int]map[int][2]int // requests and repeats of others, by machine
	told    time.Time
	sent    int
}

const gossipBytes = 60 // of one message with the counts of a service

func newGossipWay(p budgeter.Policy, clock func() time.Time) *gossipWay {
	return &gossipWay{policy: p, clock: clock, period: 200 * time.Millisecond, windows: map[int]*window{}, rosters: map[int][]int{}, heard: map[int]map[int][2]int{}}
}

func (g *gossipWay) started(now time.Time, machine int) {
	g.windows[machine], g.heard[machine] = &window{startedAt: now}, map[int][2]int{}
}

func (g *gossipWay) knows(_ time.Time, machine int, roster []int) { g.rosters[machine] = roster }

func (g *gossipWay) request(_ time.Time, machine int) {
	now := g.clock()
	g.tell(now)
	g.windows[machine].requests = append(g.windows[machine].requests, now)
}

func (g *gossipWay) tell(now time.Time) {
	if now.Sub(g.told) < g.period {
		return
	}
	g.told = now
	for from, w := range g.windows {
		w.prune(now, g.policy.Span)
		for _, to := range g.rosters[from] {
			if to != from && g.heard[to] != nil {
				g.heard[to][from] = [2]int{len(w.requests), len(w.repeats)}
				g.sent++
			}
		}
	}
}

func (g *gossipWay) repeat(_ time.Time, machine int, _ budgeter.Claim) bool {
	now := g.clock()
	g.tell(now)
	w := g.windows[machine]
	w.prune(now, g.policy.Span)
	requests, repeats := len(w.requests), len(w.repeats)
	for _, other := range g.rosters[machine] {
		if other != machine {
			requests += g.heard[machine][other][0]
			repeats += g.heard[machine][other][1]
		}
	}
	if float64(repeats+1) > 0.9*(g.policy.Ratio*float64(requests)+g.policy.Slack) {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

func (g *gossipWay) woke(int)            {}
func (g *gossipWay) traffic() (int, int) { return g.sent, g.sent * gossipBytes }

// ownerWay has one machine, the first on the asker's roster, count for all. A process that takes over
// grants nothing for a span.
type ownerWay struct {
	policy  budgeter.Policy
	clock   func() time.Time
	windows map[int]*window // of the owners: requests and repeats of all
	rosters map[int][]int
	since   map[int]time.Time // when a machine became the first of its roster
	sent    int
}

func newOwnerWay(p budgeter.Policy, clock func() time.Time) *ownerWay {
	return &ownerWay{policy: p, clock: clock, windows: map[int]*window{}, rosters: map[int][]int{}, since: map[int]time.Time{}}
}

func (o *ownerWay) started(_ time.Time, machine int) {
	now := o.clock()
	o.windows[machine], o.since[machine] = &window{startedAt: now}, now
}

func (o *ownerWay) knows(_ time.Time, machine int, roster []int) {
	now := o.clock()
	if old := o.rosters[machine]; len(old) > 0 && old[0] != machine && roster[0] == machine {
		o.since[machine] = now
	}
	o.rosters[machine] = roster
}

func (o *ownerWay) owner(machine int) int {
	if r := o.rosters[machine]; len(r) > 0 {
		return r[0]
	}
	return machine
}

func (o *ownerWay) request(_ time.Time, machine int) {
	now := o.clock()
	w := o.windows[o.owner(machine)]
	w.requests = append(w.requests, now)
	o.sent++
}

func (o *ownerWay) repeat(_ time.Time, machine int, _ budgeter.Claim) bool {
	now := o.clock()
	owner := o.owner(machine)
	o.sent += 2
	w := o.windows[owner]
	w.prune(now, o.policy.Span)
	if now.Sub(o.since[owner]) < o.policy.Span || float64(len(w.repeats)+1) > 0.95*(o.policy.Ratio*float64(len(w.requests))+o.policy.Slack) {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

func (o *ownerWay) woke(int)            {}
func (o *ownerWay) traffic() (int, int) { return o.sent, o.sent * gossipBytes }

// loanWay is the package's own: parts that each process earns, and loans between processes.
type loanWay struct {
	policy  budgeter.Policy
	budgets map[int]*budgeter.Budget
	cut     func(a, b int) bool // the two can't reach each other
	clock   func(machine int) time.Time
	bytes   int
	sent    int
	waits   []int                                     // rounds of loans that each granted repeat waited for
	late    func(machine int, r budgeter.Repeat) bool // whether a repeat arrives later; nil is none
}

const (
	service     = "lm"
	loanBytes   = 70 // of a request for a loan, or of its reply, with its frame
	maxRounds   = 20
	frozenRound = 2 // rounds in which a host that does not reply ends a repeat's wait
)

func newLoanWay(p budgeter.Policy, cut func(a, b int) bool, clock func(machine int) time.Time) *loanWay {
	return &loanWay{policy: p, budgets: map[int]*budgeter.Budget{}, cut: cut, clock: clock}
}

func (l *loanWay) started(now time.Time, machine int) {
	l.budgets[machine] = budgeter.New(now, l.policy)
}

func (l *loanWay) knows(now time.Time, machine int, roster []int) {
	var peers []string
	random := rand.New(rand.NewPCG(uint64(machine), uint64(len(roster))))
	for _, i := range random.Perm(len(roster)) { // each machine asks the others in an order of its own
		if other := roster[i]; other != machine {
			peers = append(peers, fmt.Sprint(other))
		}
	}
	l.budgets[machine].SetPeers(now, peers, len(roster))
}

func (l *loanWay) request(now time.Time, machine int) {
	l.budgets[machine].RecordRequest(now, service)
}

func (l *loanWay) repeat(now time.Time, machine int, c budgeter.Claim) bool {
	b := l.budgets[machine]
	b.Want(now, service)
	l.giveBack(now, machine)
	for round, silent := 0, 0; round < maxRounds; round++ {
		if r, ok := b.Take(now, service, c); ok {
			if l.late == nil || !l.late(machine, r) {
				b.Arrived(now, r)
			}
			l.waits = append(l.waits, round)
			return true
		}
		loans, end, possible := b.Borrow(now, service, 1)
		if !possible {
			break
		}
		if len(loans) == 0 {
			if silent++; silent > frozenRound {
				break
			}
			now = end
			continue
		}
		l.lend(now, machine, loans)
	}
	b.Refuse(service)
	return false
}

// giveBack returns what a machine borrowed and did not use.
func (l *loanWay) giveBack(now time.Time, machine int) {
	for _, x := range l.budgets[machine].Returns(now) {
		var lender int
		if _, err := fmt.Sscan(x.Peer, &lender); err != nil {
			panic(err)
		}
		l.sent, l.bytes = l.sent+1, l.bytes+loanBytes
		if l.cut(machine, lender) {
			continue
		}
		x.Peer = fmt.Sprint(machine)
		l.budgets[lender].Return(l.clock(lender), x)
	}
}

func (l *loanWay) lend(now time.Time, machine int, loans []budgeter.Loan) {
	for _, x := range loans {
		var lender int
		if _, err := fmt.Sscan(x.Peer, &lender); err != nil {
			panic(err)
		}
		l.sent, l.bytes = l.sent+1, l.bytes+loanBytes
		if l.budgets[lender] == nil || l.cut(machine, lender) {
			continue
		}
		x.Peer = fmt.Sprint(machine)
		reply := l.budgets[lender].Lend(l.clock(lender), x)
		reply.Peer = fmt.Sprint(lender)
		l.sent, l.bytes = l.sent+1, l.bytes+loanBytes
		l.budgets[machine].Receive(now, reply)
	}
}

func (l *loanWay) woke(machine int)    { l.budgets[machine].ForgetRequests() }
func (l *loanWay) traffic() (int, int) { return l.sent, l.bytes }

// exactWay knows all that happens at all machines at once, and grants what the rule allows.
type exactWay struct {
	policy            budgeter.Policy
	clock             func() time.Time
	startedAt         time.Time
	requests, repeats []float64 // by step since startedAt
}

const exactSteps = 50 // of a span

func (e *exactWay) step() int {
	now := e.clock()
	if e.startedAt.IsZero() {
		e.startedAt = now
	}
	n := int(now.Sub(e.startedAt) / (e.policy.Span / exactSteps))
	for len(e.requests) <= n {
		e.requests, e.repeats = append(e.requests, 0), append(e.repeats, 0)
	}
	return n
}

func (e *exactWay) request(time.Time, int) { e.requests[e.step()]++ }

func (e *exactWay) repeat(time.Time, int, budgeter.Claim) bool {
	n := e.step()
	within := func(counts []float64, first, last int) float64 {
		sum := 0.0
		for i := max(first, 0); i <= min(last, n); i++ {
			sum += counts[i]
		}
		return sum
	}
	repeats := 0.0
	for begin := n; begin > n-exactSteps && begin >= 0; begin-- {
		repeats += e.repeats[begin]
		requests := 0.0
		for _, earlier := range []int{0, exactSteps / 2, exactSteps} {
			requests = max(requests, within(e.requests, begin-earlier, begin-earlier+exactSteps-1))
		}
		if repeats+1 > e.policy.Ratio*requests+e.policy.Slack {
			return false
		}
	}
	e.repeats[n]++
	return true
}

func (e *exactWay) started(time.Time, int)      {}
func (e *exactWay) knows(time.Time, int, []int) {}
func (e *exactWay) woke(int)                    {}
func (e *exactWay) traffic() (int, int)         { return 0, 0 }
