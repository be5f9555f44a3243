package router

import (
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/budgeter"
)

// Charge is what the retry budget counts for a placement.
type Charge int

// Charges of a placement.
const (
	ChargeFirst       Charge = iota // the caller's request, for which repeats are granted
	ChargeNone                      // a further worker for a request that no worker has received yet
	ChargeRepeat                    // a repeat
	ChargeRepeatBegun               // a repeat of a request whose caller has a part of the answer
	ChargeRepeatLast                // a repeat of a request whose caller could not come back in time
)

// lastChanceTargets is the number of latency targets that a caller needs in order to come back:
// it may wait for up to a third of the time that it has left.
const lastChanceTargets = 3

// Repeats reports whether a placement is charged as a repeat.
func (c Charge) Repeats() bool { return c >= ChargeRepeat }

// BudgetFields returns the log fields for what a host knew of a retry budget.
func BudgetFields(s budgeter.State) []zap.Field {
	return []zap.Field{
		zap.Float64("requests", s.Requests), zap.Float64("charged", s.Charged), zap.Float64("open", s.Open), zap.Float64("slack", s.Slack), zap.Float64("available", s.Available),
		zap.Float64("borrowed", s.Borrowed), zap.Int("sharing", s.Sharing), zap.Duration("counting", s.Age),
	}
}

// charge returns what the retry budget counts for the next placement. A request counts once
// however many workers can't be connected to: each of them would grant repeats of its own.
func (t *transaction) charge() Charge {
	switch {
	case t.transmitted > 0 && t.delivery.headSent:
		return ChargeRepeatBegun
	case t.transmitted > 0 && t.q.timeLeft(time.Now()) < lastChanceTargets*t.q.LatencyTarget.Std():
		return ChargeRepeatLast
	case t.transmitted > 0:
		return ChargeRepeat
	case t.charged:
		return ChargeNone
	}
	t.charged = true
	return ChargeFirst
}
