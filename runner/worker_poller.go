package runner

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/observer"
)

const (
	reportInterval     = time.Second
	listInterval       = 5 * time.Second
	maxParallelReports = 8 // concurrent calls for load reports
)

// workersListed is a new host list.
type workersListed struct{ list []observer.Listing }

// workerReported is a worker's load report.
type workerReported struct {
	address string
	report  observer.Report
}

// workerRefused is a worker's answer that it did not run a call.
type workerRefused struct {
	address    string
	retryAfter time.Duration // for which it wants no calls; 0 if it stated none
}

// pollTargetsRequested asks which workers this host polls for load reports.
type pollTargetsRequested struct{ reply chan<- pollTargets }

// pollTargets answers pollTargetsRequested.
type pollTargets struct {
	addresses []string // of the workers in the cells that this host dispatches
	list      bool     // some service takes its workers from the host list
}

func (workersListed) event()        {}
func (workerReported) event()       {}
func (workerRefused) event()        {}
func (pollTargetsRequested) event() {}

// workerPoller polls the host list and the load reports. Each worker is polled by the
// dispatcher of its cell only, so that the cost of a worker does not grow with the
// fleet.
type workerPoller struct {
	control     *control
	platform    string
	dialer      connector.Dialer
	log         *zap.Logger
	unavailable atomic.Int64
	skipped     atomic.Int64 // elements of the last host list that can't be used
}

func newWorkerPoller(c *control, platform string, d connector.Dialer, log *zap.Logger) *workerPoller {
	o := &workerPoller{control: c, platform: platform, dialer: d, log: log}
	c.unavailable = &o.unavailable
	return o
}

// leavingCount returns the number of workers that get no new work.
func (o *workerPoller) leavingCount() int64 { return o.unavailable.Load() }

// skippedCount returns the number of elements of the last host list that can't be used.
func (o *workerPoller) skippedCount() int64 { return o.skipped.Load() }

// postRefusal passes on that a worker refused a call of this host's entry.
func (o *workerPoller) postRefusal(address string, retryAfter time.Duration) {
	o.control.post(workerRefused{address: address, retryAfter: retryAfter})
}

func (o *workerPoller) run(ctx context.Context) {
	client, closeClient := observer.NewClient(o.platform, o.dialer)
	defer closeClient()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var listed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w, ok := o.targets()
		if !ok {
			return
		}
		o.pollReports(ctx, client, w.addresses)
		if w.list && time.Since(listed) >= listInterval {
			listed = time.Now().Add(-rand.N(listInterval / 5))
			o.pollList(ctx, client)
		}
	}
}

func (o *workerPoller) targets() (pollTargets, bool) {
	reply := make(chan pollTargets, 1)
	if !o.control.post(pollTargetsRequested{reply: reply}) {
		return pollTargets{}, false
	}
	select {
	case w := <-reply:
		return w, true
	case <-o.control.ended:
		return pollTargets{}, false
	}
}

func (o *workerPoller) pollReports(ctx context.Context, client *observer.Client, addresses []string) {
	var tasks sync.WaitGroup
	slots := make(chan struct{}, maxParallelReports)
	for _, a := range addresses {
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			if r, err := client.Report(ctx, a); err == nil {
				o.control.post(workerReported{address: a, report: r})
			}
		})
	}
	tasks.Wait()
}

// pollList polls the host list. If that fails the last list stays in force: while the
// platform is down, the workers' own reports still apply.
func (o *workerPoller) pollList(ctx context.Context, client *observer.Client) {
	list, err := client.List(ctx)
	if err != nil {
		o.log.Warn("host list", zap.Error(err))
		return
	}
	if n := int64(client.Skipped()); o.skipped.Swap(n) != n {
		o.log.Warn("host list", zap.Int64("skipped", n))
	}
	o.control.post(workersListed{list: list})
}

// handleWorkerEvent applies a source's report on workers, and updates the dispatchers.
func (c *control) handleWorkerEvent(now time.Time, e event) {
	removed := false
	switch e := e.(type) {
	case workersListed:
		c.observer.Listed(now, e.list)
	case workerReported:
		if !c.observer.Reported(now, e.address, e.report) {
			return
		}
	case workerRefused:
		c.forwardRefusal(now, e)
	case pollTargetsRequested:
		e.reply <- c.pollTargets()
		removed = c.observer.Sweep(now)
	}
	if changed := c.updateWorkers(now); c.folder != nil && (changed || removed) {
		c.configure(now, configChanged{folder: c.folder, generation: c.generation})
	}
}

// workerName identifies a worker.
type workerName struct{ service, name string }

// updateWorkers records which workers may get new work, and reports whether that changed.
func (c *control) updateWorkers(now time.Time) bool {
	var changed []observer.State // new, or with a changed state
	var unavailable int64
	count := 0
	for s := range c.observer.All(now) {
		count++
		if !s.Available {
			unavailable++
		}
		if wasAvailable, known := c.available[workerName{s.Service, s.Name}]; !known || wasAvailable != s.Available {
			changed = append(changed, s)
		}
	}
	c.unavailable.Store(unavailable)
	observer.Sort(changed)
	for _, s := range changed {
		c.recordWorker(s)
	}
	return c.forgetWorkers(now, count) || len(changed) > 0
}

// recordWorker records a worker's new state, and logs it unless the worker is new and
// available.
func (c *control) recordWorker(s observer.State) {
	n := workerName{s.Service, s.Name}
	_, known := c.available[n]
	c.available[n] = s.Available
	if known || !s.Available {
		c.log.Info("worker", zap.String("service", s.Service), zap.String("worker", s.Name), zap.Bool("present", s.Available), zap.String("why", s.Reason))
	}
}

// forgetWorkers removes the workers that are no longer among the count known now. It
// reports whether there were any.
func (c *control) forgetWorkers(now time.Time, count int) bool {
	if len(c.available) == count {
		return false
	}
	seen := map[workerName]bool{}
	for s := range c.observer.All(now) {
		seen[workerName{s.Service, s.Name}] = true
	}
	maps.DeleteFunc(c.available, func(n workerName, _ bool) bool { return !seen[n] })
	return true
}

// forwardRefusal reports a worker's refusal to the dispatchers of its cells.
func (c *control) forwardRefusal(now time.Time, e workerRefused) {
	c.observer.Refused(now, e.address, e.retryAfter)
	for name, cell := range c.cells {
		for _, w := range cell.Workers {
			if owner, ok := c.roster.Owner(name); ok && w.Address == e.address && owner.Name != c.self {
				c.send(now, owner.Name, messenger.WorkerRefused{Address: e.address})
				if e.retryAfter > 0 {
					c.send(now, owner.Name, messenger.WorkerBackoff{Address: e.address, RetryAfter: e.retryAfter})
				}
			}
		}
	}
}

// pollTargets returns the workers of the cells that this host dispatches.
func (c *control) pollTargets() pollTargets {
	var w pollTargets
	for name, cell := range c.cells {
		if owner, ok := c.roster.Owner(name); !ok || owner.Name != c.self {
			continue
		}
		for _, x := range cell.Workers {
			w.addresses = append(w.addresses, x.Address)
		}
	}
	if c.folder != nil {
		for _, s := range c.folder.Services {
			w.list = w.list || s.UseHostList
		}
	}
	return w
}

// availableCell returns a cell with only the workers that may get new work.
func (c *control) availableCell(now time.Time, cell dispatcher.Cell) dispatcher.Cell {
	return c.observer.Available(now, cell)
}
