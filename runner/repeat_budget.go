package runner

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/budgeter"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/router"
)

const (
	// maxBorrowWait is how long a repeat waits for loans of other hosts.
	maxBorrowWait = 100 * time.Millisecond
	// budgetRetryAfter is the retry time of a request that was refused for want of budget.
	budgetRetryAfter = time.Second
	// maxClockGap is the difference between the monotonic clock and the time of day over one
	// sweep beyond which this host may have been suspended.
	maxClockGap = time.Second
)

// repeatBudget is this host's part of the retry budgets of all services, and the exchange of loans
// with other hosts. Only the selector's run goroutine uses it.
type repeatBudget struct {
	self    string
	sender  sender
	log     *zap.Logger
	post    func(event) bool
	granted func(now time.Time, e workerRequested) // receives each request whose repeat was granted

	budget    *budgeter.Budget
	addresses map[string]string          // control addresses of the other hosts, by name
	waiting   map[string][]waitingRepeat // for loans, by service, in their order
	sweptAt   time.Time
	metrics   *repeatMetrics
}

// waitingRepeat is a repeat that waits for loans.
type waitingRepeat struct {
	requested workerRequested
	since     time.Time
}

// repeatBorrowed, repeatLent, repeatReturned and repeatArrived are messages of other hosts; loansDue reports that a round of
// requests for loans has ended.
type (
	repeatBorrowed struct {
		from    string
		request messenger.RepeatBorrow
	}
	repeatLent struct {
		from  string
		reply messenger.RepeatLend
	}
	repeatReturned struct {
		from string
		back messenger.RepeatReturn
	}
	repeatArrived struct {
		from    string
		arrived messenger.RepeatArrived
	}
	loansDue struct{ service string }
)

// repeatsEnded reports what became of repeats of a request.
type repeatsEnded struct{ router.RepeatsEnded }

func newRepeatBudget(now time.Time, h loader.Host, s sender, log *zap.Logger) *repeatBudget {
	return &repeatBudget{
		self: h.Name, sender: s, log: log, budget: budgeter.New(now, repeatPolicy(h.Repeat)),
		waiting: map[string][]waitingRepeat{}, sweptAt: now, metrics: newRepeatMetrics(),
	}
}

func repeatPolicy(p loader.Repeat) budgeter.Policy {
	return budgeter.Policy{Ratio: p.Ratio, Slack: p.Slack, Span: p.Window.Std()}
}

func (b *repeatBudget) configure(now time.Time, p loader.Repeat) {
	b.budget.Configure(now, repeatPolicy(p))
}

// setRoster applies a new roster.
func (b *repeatBudget) setRoster(now time.Time, r registrar.Roster) {
	hosts := r.Hosts()
	var peers []string
	b.addresses = map[string]string{}
	for _, h := range hosts {
		if h.Name == b.self || h.Unreachable {
			continue
		}
		peers = append(peers, h.Name)
		b.addresses[h.Name] = h.Control
	}
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	b.budget.SetPeers(now, peers, len(hosts))
}

// charge counts a request, and notes in it the repeat that was granted. It returns false for one that
// has to wait or is refused; it is granted or answered later.
func (b *repeatBudget) charge(now time.Time, e *workerRequested) bool {
	service := e.request.Service
	switch {
	case e.charge == router.ChargeFirst:
		b.budget.RecordRequest(now, service)
		return true
	case !e.charge.Repeats():
		return true
	}
	b.budget.Want(now, service)
	if len(b.waiting[service]) == 0 && b.take(now, e) {
		b.record(now, waitingRepeat{*e, now}, true)
		return true
	}
	b.waiting[service] = append(b.waiting[service], waitingRepeat{*e, now})
	b.serve(now, service)
	return false
}

// take takes the budget for a repeat, and notes it in the request.
func (b *repeatBudget) take(now time.Time, e *workerRequested) bool {
	r, ok := b.budget.Take(now, e.request.Service, claimOf(*e))
	e.repeat = r
	return ok
}

func claimOf(e workerRequested) budgeter.Claim {
	return budgeter.Claim{Tier: e.request.Tier, Begun: e.charge == router.ChargeRepeatBegun, LastChance: e.charge == router.ChargeRepeatLast}
}

// serve grants the waiting repeats that the budget allows, and borrows for the others. It refuses
// those that have waited for too long, and all if no host is left to borrow from.
func (b *repeatBudget) serve(now time.Time, service string) {
	b.grantWaiting(now, service)
	list := b.waiting[service]
	if len(list) == 0 {
		delete(b.waiting, service)
		return
	}
	loans, due, possible := b.budget.Borrow(now, service, len(list))
	for _, l := range loans {
		b.send(l.Peer, messenger.RepeatBorrow{Service: l.Service, Sequence: l.Sequence, Amount: l.Amount, Sharing: l.Sharing})
	}
	if len(loans) > 0 {
		time.AfterFunc(due.Sub(now), func() { b.post(loansDue{service}) })
	}
	left := list[:0]
	for _, w := range list {
		if possible && now.Sub(w.since) < maxBorrowWait {
			left = append(left, w)
			continue
		}
		b.refuse(now, w)
	}
	if b.waiting[service] = left; len(left) == 0 {
		delete(b.waiting, service)
	}
}

// grantWaiting grants the waiting repeats that the budget allows: those first whose callers have
// part of an answer, then the more urgent.
func (b *repeatBudget) grantWaiting(now time.Time, service string) {
	list := b.waiting[service]
	slices.SortStableFunc(list, func(x, y waitingRepeat) int { return claimOf(x.requested).Compare(claimOf(y.requested)) })
	left := list[:0]
	var granted []waitingRepeat
	for _, w := range list {
		if b.take(now, &w.requested) {
			granted = append(granted, w)
			continue
		}
		left = append(left, w)
	}
	b.waiting[service] = left
	for _, w := range granted {
		b.record(now, w, true)
		b.granted(now, w.requested)
	}
}

func (b *repeatBudget) refuse(now time.Time, w waitingRepeat) {
	service := w.requested.request.Service
	b.budget.Refuse(service)
	b.record(now, w, false)
	state := b.budget.State(now, service)
	w.requested.reply <- workerReply{refused: &router.Refused{Reason: "retry_budget", RetryAfter: budgetRetryAfter, Budget: &state}}
}

// lend answers another host's request for a loan.
func (b *repeatBudget) lend(now time.Time, e repeatBorrowed) {
	l := b.budget.Lend(now, budgeter.Loan{Peer: e.from, Service: e.request.Service, Sequence: e.request.Sequence, Amount: e.request.Amount, Sharing: e.request.Sharing})
	b.metrics.lent.Add(l.Amount)
	b.send(l.Peer, messenger.RepeatLend{Service: l.Service, Sequence: l.Sequence, Amount: l.Amount, Left: l.Left, Sharing: l.Sharing})
}

// receive applies another host's reply.
func (b *repeatBudget) receive(now time.Time, e repeatLent) {
	r := e.reply
	b.metrics.borrowed.Add(b.budget.Receive(now, budgeter.Loan{Peer: e.from, Service: r.Service, Sequence: r.Sequence, Amount: r.Amount, Left: r.Left, Sharing: r.Sharing}))
	b.serve(now, r.Service)
}

// handle handles the events of the budget. It returns false for other events.
func (b *repeatBudget) handle(now time.Time, e event) bool {
	switch e := e.(type) {
	case repeatBorrowed:
		b.lend(now, e)
	case repeatLent:
		b.receive(now, e)
	case repeatReturned:
		b.budget.Return(now, budgeter.Loan{Peer: e.from, Service: e.back.Service, Sequence: e.back.Sequence, Amount: e.back.Amount})
	case repeatArrived:
		b.budget.Return(now, budgeter.Loan{Peer: e.from, Service: e.arrived.Service, Sequence: e.arrived.Sequence, Arrived: e.arrived.Amount})
	case loansDue:
		b.serve(now, e.service)
	case repeatsEnded:
		b.settle(now, e.RepeatsEnded)
	default:
		return false
	}
	return true
}

// settle applies what became of the repeats of a request.
func (b *repeatBudget) settle(now time.Time, e router.RepeatsEnded) {
	for _, r := range e.Arrived {
		if after := b.budget.Arrived(now, r); after > 0 {
			b.metrics.arrival.Observe(after.Seconds())
		}
	}
	for _, r := range e.NotSent {
		b.budget.NotSent(r)
	}
	for _, r := range e.Unanswered {
		if b.budget.Unanswered(now, r, e.Workers) {
			b.log.Info("repeat open", zap.String("request", e.Request), zap.Strings("workers", e.Workers))
		}
	}
}

// workerAnswered applies that a worker answered a request.
func (b *repeatBudget) workerAnswered(now time.Time, worker string) {
	for _, x := range b.budget.WorkerAnswered(now, worker) {
		b.metrics.arrival.Observe(x.After.Seconds())
		b.log.Info("repeat settled", zap.String("service", x.Service), zap.String("worker", worker), zap.Duration("after", x.After))
	}
}

// sweep reports to lenders what became of their loans, and applies that this host may have been suspended:
// the time of day went on then, and the monotonic clock did not.
func (b *repeatBudget) sweep(now time.Time) {
	for _, l := range b.budget.Returns(now) {
		if l.Arrived > 0 {
			b.send(l.Peer, messenger.RepeatArrived{Service: l.Service, Sequence: l.Sequence, Amount: l.Arrived})
		}
		if l.Amount > 0 {
			b.send(l.Peer, messenger.RepeatReturn{Service: l.Service, Sequence: l.Sequence, Amount: l.Amount})
		}
	}
	gap := now.Round(0).Sub(b.sweptAt.Round(0)) - now.Sub(b.sweptAt)
	b.sweptAt = now
	if gap > maxClockGap {
		b.log.Warn("repeats", zap.String("state", "requests of before are not counted"), zap.Duration("gap", gap))
		b.budget.ForgetRequests()
	}
}

func (b *repeatBudget) send(peer string, m messenger.Message) {
	if err := b.sender.Send(b.addresses[peer], m); err != nil {
		b.log.Debug("sending a loan of repeats failed", zap.String("peer", peer), zap.Error(err))
	}
}

// record logs and counts a decision about a repeat.
func (b *repeatBudget) record(now time.Time, w waitingRepeat, granted bool) {
	a := w.requested.request
	c := claimOf(w.requested)
	s := b.budget.State(now, a.Service)
	b.metrics.decisions.WithLabelValues(strconv.FormatBool(granted)).Inc()
	b.metrics.wait.Observe(now.Sub(w.since).Seconds())
	b.log.Info("repeat", append([]zap.Field{
		zap.String("service", a.Service), zap.Int("tier", a.Tier), zap.Bool("begun", c.Begun), zap.Bool("last", c.LastChance), zap.Stringer("fingerprint", a.Fingerprint), zap.String("request", a.Caller),
		zap.Bool("granted", granted), zap.Duration("waited", now.Sub(w.since)),
	}, router.BudgetFields(s)...)...)
}

func (repeatBorrowed) event() {}
func (repeatLent) event()     {}
func (repeatReturned) event() {}
func (loansDue) event()       {}
func (repeatArrived) event()  {}
func (repeatsEnded) event()   {}
