package runner

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/retrier"
	"github.com/cicadawood/cicadawood/router"
)

// minBudgetHosts is the minimum number of hosts that share the retry budget of a service. A
// host that can reach no other knows only itself, and must not use the whole budget.
const minBudgetHosts = 8

// rosterDelay is the time within which all hosts know of a new one.
const rosterDelay = 2 * time.Second

// repeatBudget is this host's part of the retry budgets of all services. Only the selector's
// run goroutine uses it.
type repeatBudget struct {
	log       *zap.Logger
	policy    retrier.WindowPolicy
	windows   map[string]*retrier.Window // by service
	hosts     int                        // highest number of hosts that the roster had
	startedAt time.Time
	decisions *prometheus.CounterVec
}

func newRepeatBudget(now time.Time, p loader.Repeat, log *zap.Logger) *repeatBudget {
	b := &repeatBudget{log: log, windows: map[string]*retrier.Window{}, hosts: minBudgetHosts, startedAt: now}
	b.decisions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadawood_repeats_total", Help: "Requests that were to be sent to a further worker, by whether the retry budget allowed it.",
	}, []string{"granted"})
	b.configure(p)
	return b
}

func (b *repeatBudget) register(r prometheus.Registerer) { r.MustRegister(b.decisions) }

func (b *repeatBudget) configure(p loader.Repeat) {
	b.policy = retrier.WindowPolicy{Ratio: p.Ratio, Slack: p.Slack, Span: p.Window.Std()}
}

// setHosts applies the number of hosts in a new roster.
func (b *repeatBudget) setHosts(n int) { b.hosts = max(b.hosts, n) }

// charge counts a request, and refuses a repeat beyond this host's share of the budget.
func (b *repeatBudget) charge(now time.Time, a placer.Request, c router.Charge) *router.Refused {
	w := b.windows[a.Service]
	if w == nil {
		w = &retrier.Window{}
		b.windows[a.Service] = w
	}
	switch c {
	case router.ChargeFirst:
		w.RecordFirst(now, b.policy)
	case router.ChargeNone:
	case router.ChargeRepeat:
		granted := w.Take(now, b.policyAt(now), b.hosts)
		b.logDecision(now, a, w, granted)
		if !granted {
			return &router.Refused{Reason: "retry_budget", RetryAfter: time.Second}
		}
	}
	return nil
}

// policyAt returns the policy that applies now. What the previous process of this host spent
// still counts for a window: until then a new one repeats only what its own requests allow.
func (b *repeatBudget) policyAt(now time.Time) retrier.WindowPolicy {
	p := b.policy
	if now.Sub(b.startedAt) < p.Span+rosterDelay {
		p.Slack = 0
	}
	return p
}

// logDecision records a decision about a repeat, with the counts that it was based on.
func (b *repeatBudget) logDecision(now time.Time, a placer.Request, w *retrier.Window, granted bool) {
	firsts, repeats := w.Counts(now, b.policy)
	b.decisions.WithLabelValues(strconv.FormatBool(granted)).Inc()
	b.log.Info("repeat", zap.String("service", a.Service), zap.Int("tier", a.Tier), zap.Stringer("fingerprint", a.Fingerprint), zap.Bool("granted", granted),
		zap.Int("firsts", firsts), zap.Int("repeats", repeats), zap.Int("sharing", b.hosts), zap.Duration("age", now.Sub(b.startedAt)))
}
