package soaker_test

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// maxConfigDelay bounds the time from the write of a configuration to the store until it
// is in force on a host that is connected to the store.
const maxConfigDelay = 2 * time.Second

// checkRecovery waits until every host reports that it is ready, and checks that each
// serves all routes.
func (c *cluster) checkRecovery() {
	for _, h := range c.hosts {
		Eventually(h.pollReady, waitTimeout, 50*time.Millisecond).Should(BeTrue(), "%s after %v", h.name, c.faults)
	}
	c.mu.Lock()
	key := c.keys[len(c.keys)-1]
	c.mu.Unlock()
	sent := 0
	for n := range 5 {
		for _, h := range c.hosts {
			for _, route := range []string{"chat", "plan", "hold", "quote"} {
				// Workers that failed recently are avoided for a while but still serve, so each
				// route of each host must succeed within a few tries.
				id := fmt.Sprintf("calm-%d-%s-%s", n, h.name, route)
				Eventually(func() int {
					sent++
					name := fmt.Sprintf("%s-%d", id, sent)
					e := send(h, name, route, key, name, "")
					c.record(e)
					return e.status
				}, 5*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK), "%s after %v", id, c.faults)
			}
		}
	}
	// The margin of 20 is for failures left over from the last faults.
	Expect(sent).To(BeNumerically("<=", 5*len(c.hosts)*4+20), "requests sent for %d successful answers after %v", 5*len(c.hosts)*4, c.faults)
}

// checkAll checks all exchanges, and that no host exited by itself.
func (c *cluster) checkAll() {
	violations := []string{}
	report := func(e exchange, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s %s at %s: status %d, %v: %s", e.route, e.id, e.host.name, e.status, e.err, fmt.Sprintf(format, args...)))
	}
	count := map[string]int{}
	for _, e := range c.exchanges {
		count[fmt.Sprint(e.status)]++
		c.checkExchange(e, report)
	}
	if lateRuns := c.latePoisonRuns(); lateRuns > maxLateRuns {
		violations = append(violations, fmt.Sprintf("a request that had crashed three workers was run %d more times", lateRuns))
	}
	violations = append(violations, c.workersOverLimit()...)
	violations = append(violations, c.requestsToLeavingWorkers()...)
	violations = append(violations, c.requestsInRetryAfter()...)
	violations = append(violations, c.badlyServedCuts()...)
	violations = append(violations, c.fallenWorkers()...)
	violations = append(violations, c.repeatsOverBudget()...)
	for _, h := range c.hosts {
		select {
		case <-h.exited:
			violations = append(violations, h.name+" exited by itself")
		default:
		}
	}
	AddReportEntry("run", fmt.Sprintf("seed %d: answers %v, faults %d", c.seed, count, len(c.faults)))
	Expect(len(c.exchanges)).To(BeNumerically(">", 200), "requests")
	Expect(count["200"]).To(BeNumerically(">", len(c.exchanges)/4), "successful of %d requests: %v", len(c.exchanges), count)
	Expect(violations).To(BeEmpty(), "seed %d, faults %v", c.seed, c.faults)
}

// checkExchange reports each guarantee to the caller that an exchange violates.
func (c *cluster) checkExchange(e exchange, report func(e exchange, format string, args ...any)) {
	runs, maxRuns := c.runCount(e.id), 1
	if e.route == "chat" || e.route == "quote" {
		maxRuns = 2
	}
	if runs > maxRuns {
		report(e, "ran %d times", runs)
	}
	switch e.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusUnauthorized:
		if runs > 0 {
			report(e, "ran, though its status means that it was not run")
		}
	case http.StatusNotFound:
		report(e, "the route was configured throughout the run")
	case http.StatusOK:
		if e.err == nil && !isOwnAnswer(e) {
			report(e, "not the complete answer to this request: %q", e.body)
		}
	}
	c.checkKey(e, report)
}

// checkKey reports a revoked key that was accepted, and a valid key that was rejected.
func (c *cluster) checkKey(e exchange, report func(e exchange, format string, args ...any)) {
	revokedAt, revoked := c.revoked[e.key]
	switch {
	case revoked && e.status == http.StatusOK && e.sentAt.After(revokedAt.Add(maxConfigDelay)) && e.host.undisturbedSince(revokedAt.Add(-time.Second)):
		report(e, "%s had been revoked %s before", e.key, e.sentAt.Sub(revokedAt))
	case !revoked && e.status == http.StatusUnauthorized && e.key == "key-0":
		report(e, "%s was valid throughout the run", e.key)
	}
}

// runCount returns how often a request ran, summed over all workers of the run.
func (c *cluster) runCount(id string) int {
	n := 0
	for _, x := range c.workers {
		n += x.RunsOf(id)
	}
	return n
}

// deskWorkerID matches the IDs of service desk's workers: those from the start, those added, and those that start again after a crash.
var deskWorkerID = regexp.MustCompile(`^d-(new-)?\d+(\.\d+)*$`)

// isOwnAnswer reports whether an answer is complete and belongs to its request.
func isOwnAnswer(e exchange) bool {
	if e.route == "hold" || e.route == "quote" {
		if e.body == "own" {
			return true // from a worker that sends the answer of another request after this one (faker.WorkerFaults.ExtraAnswer)
		}
		worker, ok := strings.CutPrefix(e.body, "/"+e.route+"/"+e.id+" of ")
		return ok && deskWorkerID.MatchString(worker)
	}
	var b strings.Builder
	for i := 1; i <= eventsPerStream; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return e.body == b.String()
}
