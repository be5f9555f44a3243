package runner

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/observer"
)

const (
	reportEvery = time.Second
	listEvery   = 5 * time.Second
	askedAtOnce = 8 // load reports
)

// workersListed is a new host list.
type workersListed struct{ list []observer.Listing }

// workerReported is a worker's load report.
type workerReported struct {
	address string
	report  observer.Report
}

// workerRefused is a worker's answer that it did not run a call.
type workerRefused struct{ address string }

// reportsWanted asks which workers this host is to ask for their reports.
type reportsWanted struct{ reply chan<- wanted }

// wanted is the answer to reportsWanted.
type wanted struct {
	addresses []string // of the workers in the cells that this host dispatches
	list      bool     // some service takes its workers from the host list
}

func (workersListed) event()  {}
func (workerReported) event() {}
func (workerRefused) event()  {}
func (reportsWanted) event()  {}

// observing reads the host list and the load reports. Each worker is asked by
// the dispatcher of its cell only, so the cost of a worker does not grow with
// the fleet.
type observing struct {
	control  *control
	platform string
	log      *zap.Logger
	away     atomic.Int64
}

func newObserving(c *control, platform string, log *zap.Logger) *observing {
	o := &observing{control: c, platform: platform, log: log}
	c.away = &o.away
	return o
}

// leaving is the number of workers that get nothing new.
func (o *observing) leaving() int64 { return o.away.Load() }

// refused takes a refusal that this host's entry met.
func (o *observing) refused(address string) { o.control.post(workerRefused{address: address}) }

func (o *observing) run(ctx context.Context) {
	client, clean := observer.NewClient(o.platform)
	defer clean()
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var listed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w, ok := o.wanted()
		if !ok {
			return
		}
		o.ask(ctx, client, w.addresses)
		if w.list && time.Since(listed) >= listEvery {
			listed = time.Now().Add(-rand.N(listEvery / 5))
			o.list(ctx, client)
		}
	}
}

func (o *observing) wanted() (wanted, bool) {
	reply := make(chan wanted, 1)
	if !o.control.post(reportsWanted{reply: reply}) {
		return wanted{}, false
	}
	select {
	case w := <-reply:
		return w, true
	case <-o.control.ended:
		return wanted{}, false
	}
}

func (o *observing) ask(ctx context.Context, client *observer.Client, addresses []string) {
	var tasks sync.WaitGroup
	slots := make(chan struct{}, askedAtOnce)
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

// list keeps the last list where there is no new one: while the platform is
// down, workers speak for themselves.
func (o *observing) list(ctx context.Context, client *observer.Client) {
	list, err := client.List(ctx)
	if err != nil {
		o.log.Warn("host list", zap.Error(err))
		return
	}
	o.control.post(workersListed{list: list})
}

// observe takes what a source says of workers, and tells the dispatchers.
func (c *control) observe(now time.Time, e event) {
	forgotten := false
	switch e := e.(type) {
	case workersListed:
		c.observer.Listed(now, e.list)
	case workerReported:
		if !c.observer.Reported(now, e.address, e.report) {
			return
		}
	case workerRefused:
		c.tellRefusal(now, e.address)
	case reportsWanted:
		e.reply <- c.wanted()
		forgotten = c.observer.Sweep(now)
	}
	if changed := c.observed(now); c.folder != nil && (changed || forgotten) {
		c.configure(now, folderChanged{folder: c.folder, generation: c.generation})
	}
}

// workerName names a worker.
type workerName struct{ service, name string }

// observed says whether the workers that may get new work have changed, and
// logs each change.
func (c *control) observed(now time.Time) bool {
	var fresh []observer.State // those that are new or otherwise than before
	var away int64
	count := 0
	for s := range c.observer.All(now) {
		count++
		if !s.Available {
			away++
		}
		if before, known := c.present[workerName{s.Service, s.Name}]; !known || before != s.Available {
			fresh = append(fresh, s)
		}
	}
	c.away.Store(away)
	observer.Sort(fresh)
	for _, s := range fresh {
		c.note(s)
	}
	return c.forget(now, count) || len(fresh) > 0
}

// note takes a worker's new state.
func (c *control) note(s observer.State) {
	n := workerName{s.Service, s.Name}
	_, known := c.present[n]
	c.present[n] = s.Available
	if known || !s.Available {
		c.log.Info("worker", zap.String("service", s.Service), zap.String("worker", s.Name), zap.Bool("present", s.Available), zap.String("why", s.Reason))
	}
}

// forget drops the workers that are not among the count known now, and says
// whether there were any.
func (c *control) forget(now time.Time, count int) bool {
	if len(c.present) == count {
		return false
	}
	seen := map[workerName]bool{}
	for s := range c.observer.All(now) {
		seen[workerName{s.Service, s.Name}] = true
	}
	maps.DeleteFunc(c.present, func(n workerName, _ bool) bool { return !seen[n] })
	return true
}

// tellRefusal tells the dispatchers of a worker's cells that it refused a call.
func (c *control) tellRefusal(now time.Time, address string) {
	c.observer.Refused(now, address)
	for name, cell := range c.cells {
		for _, w := range cell.Workers {
			if owner, ok := c.roster.Owner(name); ok && w.Address == address && owner.Name != c.self {
				c.send(now, owner.Name, messenger.WorkerRefused{Address: address})
			}
		}
	}
}

// wanted is the workers of the cells that this host dispatches.
func (c *control) wanted() wanted {
	var w wanted
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

// filled is a cell with only the workers that may get new work.
func (c *control) filled(now time.Time, cell dispatcher.Cell) dispatcher.Cell {
	return c.observer.Available(now, cell)
}
