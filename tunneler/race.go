package tunneler

import (
	"context"
	"errors"
	"time"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/reacher"
)

// errNoHelper means that there is no other host to ask.
var errNoHelper = errors.New("no other host to connect through")

// race is the attempts to make one connection.
type race struct {
	dialer  *Dialer
	target  connector.Target
	plan    reacher.Plan
	results chan attempt
	started int // attempts
	ended   int
}

func (d *Dialer) startRace(ctx context.Context, t connector.Target, direct bool) *race {
	d.mu.Lock()
	plan := d.table.Plan(time.Now(), t.Address)
	d.mu.Unlock()
	plan.Direct = plan.Direct && direct
	r := &race{dialer: d, target: t, plan: plan, results: make(chan attempt, 1+len(plan.Helpers))}
	r.startNext(ctx)
	return r
}

// startNext starts the next attempt. It returns false if there is none.
func (r *race) startNext(ctx context.Context) bool {
	i := r.started
	if r.plan.Direct {
		if i == 0 {
			r.started++
			go r.dialDirect(ctx)
			return true
		}
		i--
	}
	if i >= len(r.plan.Helpers) {
		return false
	}
	r.started++
	go func() { r.results <- r.dialer.dialThrough(ctx, r.target, r.plan.Helpers[i]) }()
	return true
}

// dialDirect runs on if another attempt wins: whether the worker is lost to this host is
// known only when it ends.
func (r *race) dialDirect(ctx context.Context) {
	own, cancel := context.WithTimeout(context.WithoutCancel(ctx), connector.DialTimeout)
	defer cancel()
	conn, err := r.dialer.dialDirect(own, r.target)
	r.results <- attempt{conn: conn, err: err}
}

// run returns the first attempt that succeeds. If none does, it returns whether a host has
// found the worker down, and the error of the direct attempt, or of the last one if there is
// no direct one.
func (r *race) run(ctx context.Context) (winner attempt, down bool, err error) {
	err = errNoHelper
	timer := time.NewTimer(raceDelay)
	defer timer.Stop()
	for r.ended < r.started {
		select {
		case a := <-r.results:
			r.ended++
			if a.conn != nil {
				go r.closeOthers()
				return a, false, nil
			}
			if a.helper == nil || !r.plan.Direct {
				err = a.err
			}
			down = down || a.down
			if r.startNext(ctx) {
				timer.Reset(raceDelay)
			}
		case <-timer.C:
			if r.startNext(ctx) {
				timer.Reset(raceDelay)
			}
		case <-ctx.Done():
			go r.closeOthers()
			if errors.Is(err, errNoHelper) {
				err = context.Cause(ctx)
			}
			return attempt{}, down, err
		}
	}
	return attempt{}, down, err
}

// closeOthers closes the connections of the attempts that still run.
func (r *race) closeOthers() {
	for ; r.ended < r.started; r.ended++ {
		if a := <-r.results; a.conn != nil {
			_ = a.conn.Close()
		}
	}
}
