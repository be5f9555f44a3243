package soaker_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
)

const (
	// maxWorkers is the number of workers of a run that hosts reach through links of their
	// own; those that start later are reached directly.
	maxWorkers = 64
	// noticeTime is the time that hosts have to notice a cut, or that a worker is brittle.
	noticeTime = 3 * time.Second
	// minCutDuration is the minimum time for which hosts are cut from the workers.
	minCutDuration = 5 * time.Second
	// From noticeTime after a cut on, requests at cut hosts are served at least cutServedShare
	// times as often as those at the others, or all but cutSlack and a cutSlackShare of them.
	cutServedShare = 2.0 / 3
	cutSlack       = 10
	cutSlackShare  = 1.0 / 50
	// brittleAllowed is how many requests a brittle worker may turn away in a second.
	brittleAllowed = 3
)

// hostCut is a time for which some hosts reached no worker.
type hostCut struct {
	hosts    map[*host]bool
	from, to time.Time
}

// brittleTime is a time for which the workers of a service were brittle, and how often they
// fell over in it.
type brittleTime struct {
	from, to       time.Time
	workers, falls int
}

// linkAddress returns the address of a host's link to the n-th worker of the run, and
// workerAddress the address that the worker registers.
func (c *cluster) linkAddress(host, n int) string { return c.workerAddress(host+1, n) }

func (c *cluster) workerAddress(column, n int) string {
	host, _, _ := strings.Cut(c.address(100+column, 0), ":")
	return fmt.Sprintf("%s:%d", host, 20000+int(c.seed%400)*maxWorkers+n)
}

// linkHosts starts the links of all hosts to the n-th worker.
func (c *cluster) linkHosts(n int, target string) []*faker.Link {
	var links []*faker.Link
	for i := range *hostCount {
		l, closeLink, err := faker.NewLink(c.linkAddress(i, n), target)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeLink)
		l.Set(c.hostModes[i], 0)
		links = append(links, l)
	}
	return links
}

// translations returns the addresses under which a host reaches the workers.
func (c *cluster) translations(host int) []map[string]string {
	var out []map[string]string
	for n := range maxWorkers {
		out = append(out, map[string]string{"own": c.workerAddress(0, n), "here": c.linkAddress(host, n)})
	}
	return out
}

// linkPeersOf starts the links of a host to the others, and returns the addresses under which it
// reaches them.
func (c *cluster) linkPeersOf(host int) []map[string]string {
	if !c.linkPeers {
		return nil
	}
	links, out := make([]*faker.Link, *hostCount), []map[string]string{}
	for i := range *hostCount {
		if i == host {
			continue
		}
		l, closeLink, err := faker.NewLink("127.0.0.1:0", c.address(i, 2))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeLink)
		links[i] = l
		out = append(out, map[string]string{"own": c.address(i, 2), "here": l.Address()})
	}
	c.peerLinks = append(c.peerLinks, links)
	return out
}

// cutHosts cuts some hosts, all but one at most, from all workers, and returns the function
// that ends the cut.
func (c *cluster) cutHosts(r *rand.Rand) func() {
	modes := []faker.LinkMode{faker.Unreachable, faker.RefuseAll, faker.RefuseNew, faker.Cut}
	mode, first, count := modes[r.IntN(len(modes))], r.IntN(*hostCount), 1+r.IntN(*hostCount-1)
	x := hostCut{hosts: map[*host]bool{}, from: time.Now()}
	var indexes []int
	for i := range count {
		index := (first + i) % *hostCount
		indexes = append(indexes, index)
		x.hosts[c.hosts[index]] = true
	}
	c.setHostModes(indexes, mode)
	time.Sleep(minCutDuration)
	return func() {
		x.to = time.Now()
		c.setHostModes(indexes, faker.Pass)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cuts = append(c.cuts, x)
	}
}

func (c *cluster) setHostModes(hosts []int, m faker.LinkMode) {
	c.mu.Lock()
	var links []*faker.Link
	for _, i := range hosts {
		c.hostModes[i] = m
		for _, x := range c.workers {
			if len(x.hostLinks) > 0 {
				links = append(links, x.hostLinks[i])
			}
		}
	}
	c.mu.Unlock()
	for _, l := range links {
		l.Set(m, 0)
	}
}

// silenceWorker makes a random worker silent for a second, or cuts it off for that time.
func (c *cluster) silenceWorker(r *rand.Rand) func() {
	x := c.anyWorker(r)
	if r.IntN(2) == 0 {
		x.Silence(time.Second)
		return func() {}
	}
	x.link.Set(faker.Unreachable, 0)
	time.Sleep(time.Second)
	return func() { x.link.Set(faker.Pass, 0) }
}

// makeBrittle makes all workers of a random service brittle.
func (c *cluster) makeBrittle(r *rand.Rand) func() {
	service := []string{"engine", "desk"}[r.IntN(2)]
	x := brittleTime{from: time.Now()}
	c.mu.Lock()
	var workers []*worker
	for _, w := range c.workers {
		if w.Service == service && !w.stopped {
			workers = append(workers, w)
		}
	}
	c.mu.Unlock()
	for _, w := range workers {
		w.SetBrittle(brittleAllowed, x.from.Add(noticeTime))
		x.falls -= w.Falls()
	}
	time.Sleep(noticeTime + 2*time.Second)
	return func() {
		for _, w := range workers {
			x.falls += w.Falls()
			w.SetBrittle(0, time.Time{})
		}
		x.to, x.workers = time.Now(), len(workers)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.brittleTimes = append(c.brittleTimes, x)
	}
}

// reachedUntil returns the time in a cut until which a host reached the workers whose process was
// not disturbed since the cut began.
func (c *cluster) reachedUntil(x hostCut) time.Time {
	last := x.from
	for _, h := range c.hosts {
		until, disturbed := h.runsUndisturbedUntil(x.from)
		switch {
		case x.hosts[h]:
		case !disturbed || until.After(x.to):
			return x.to
		case until.After(last):
			last = until
		}
	}
	return last
}

// badlyServedCuts describes each cut in which callers of cut hosts were served far worse than
// those of the others. Only hosts count whose process was not disturbed since the cut began,
// and only the time during which another such host reached the workers.
func (c *cluster) badlyServedCuts() []string {
	var violations []string
	for _, x := range c.cuts {
		served, all := map[bool]int{}, map[bool]int{}
		until := c.reachedUntil(x)
		for _, e := range c.exchanges {
			if e.sentAt.Before(x.from.Add(noticeTime)) || e.sentAt.After(until) || !e.processSince.Before(x.from) {
				continue
			}
			cut := x.hosts[e.host]
			all[cut]++
			if e.status == http.StatusOK && e.err == nil {
				served[cut]++
			}
		}
		failed := float64(all[true] - served[true])
		share, others := float64(served[true])/float64(max(all[true], 1)), float64(served[false])/float64(max(all[false], 1))
		AddReportEntry("cut", fmt.Sprintf("%d hosts: %d of %d, others %d of %d", len(x.hosts), served[true], all[true], served[false], all[false]))
		if all[false] > 0 && share < cutServedShare*others && failed > cutSlack+cutSlackShare*float64(all[true]) {
			violations = append(violations, fmt.Sprintf("%d hosts cut from the workers served %d of %d, the others %d of %d", len(x.hosts), served[true], all[true], served[false], all[false]))
		}
	}
	return violations
}

// fallenWorkers describes each time in which brittle workers fell over too often.
func (c *cluster) fallenWorkers() []string {
	var violations []string
	for _, x := range c.brittleTimes {
		AddReportEntry("brittle", fmt.Sprintf("%d workers, %d falls", x.workers, x.falls))
		if x.falls > 2+x.workers/10 {
			violations = append(violations, fmt.Sprintf("%d brittle workers fell over %d times", x.workers, x.falls))
		}
	}
	return violations
}
