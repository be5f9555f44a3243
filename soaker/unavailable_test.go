package soaker_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/cicadawood/cicadawood/faker"
)

const (
	// maxDrainDelay is how long after an answer that states that its worker is leaving the
	// host that passed it on may send that worker new requests.
	maxDrainDelay = 2 * time.Second
	// minLeaveDuration is the minimum time for which a worker is leaving.
	minLeaveDuration = 5 * time.Second
	// retryAfterGrace is how long after a refusal with Retry-After requests may still be on
	// their way; maxInRetryAfter is how many a host may send from then on.
	retryAfterGrace = 500 * time.Millisecond
	maxInRetryAfter = 2
)

// leaveByAnswers has a random worker state in its answers that it is leaving, while its entry
// in the store stays as it is. The function that it returns restarts the worker under its ID.
func (c *cluster) leaveByAnswers(r *rand.Rand) func() {
	x := c.anyWorker(r)
	x.SetLeaving(true)
	time.Sleep(minLeaveDuration)
	return func() {
		if !c.stopWorker(x) {
			return // another fault has stopped it
		}
		c.startWorker(&faker.Worker{ID: x.ID, Service: x.Service, Slots: x.Slots, Events: x.Events, Delay: x.Delay, Incarnation: x.Incarnation + 1})
	}
}

// refuseForATime has a random worker refuse all requests with Retry-After.
func (c *cluster) refuseForATime(r *rand.Rand) func() {
	x := c.anyWorker(r)
	x.SetFaults(faker.WorkerFaults{Reject: true, RetryAfter: randomDuration(r, 1500, 4000)})
	return func() { x.SetFaults(faker.WorkerFaults{}) }
}

// toldLeaving is when a host's caller had received an answer by which its worker is leaving.
type toldLeaving struct {
	worker string
	host   *host
	at     time.Time
}

// requestsToLeavingWorkers describes each request that a host sent to a worker later than
// maxDrainDelay after it had passed on that the worker is leaving. A host whose process was
// disturbed since may not know.
func (c *cluster) requestsToLeavingWorkers() []string {
	var told []toldLeaving
	for _, e := range c.exchanges {
		if e.leavingWorker != "" {
			told = append(told, toldLeaving{e.leavingWorker, e.host, e.endAt})
		}
	}
	late := map[toldLeaving]map[string]bool{} // requests, by what their host had passed on
	for _, t := range told {
		for _, e := range c.exchanges {
			if e.host != t.host || !e.sentAt.After(t.at.Add(maxDrainDelay)) || !e.processSince.Before(t.at) || !c.receivedWhileLeaving(t, e.id) {
				continue
			}
			key := toldLeaving{worker: t.worker, host: t.host}
			if late[key] == nil {
				late[key] = map[string]bool{}
			}
			late[key][e.id] = true
		}
	}
	var violations []string
	for key, requests := range late {
		violations = append(violations, fmt.Sprintf("%s received %d requests from %s after that had passed on that it is leaving", key.worker, len(requests), key.host.name))
	}
	AddReportEntry("leaving", fmt.Sprintf("%d answers stated it, %s", len(told), strings.Join(violations, ", ")))
	return violations
}

// receivedWhileLeaving reports whether a request reached the process of a worker that had
// stated that it is leaving, not one that was started under its ID later.
func (c *cluster) receivedWhileLeaving(t toldLeaving, id string) bool {
	for _, x := range c.workers {
		if x.ID == t.worker && x.LeavingBy(t.at) && x.Received(id) {
			return true
		}
	}
	return false
}

// requestsInRetryAfter describes each worker that got more requests from a host than allowed
// before a Retry-After was over. A host whose process was disturbed since may not know of it.
func (c *cluster) requestsInRetryAfter() []string {
	senders := map[string]string{}
	for _, e := range c.exchanges {
		senders[e.id] = fmt.Sprint(e.host.name, " ", e.processSince.UnixNano())
	}
	sender := func(id string) (string, bool) {
		s, ok := senders[id]
		return s, ok
	}
	refusals := 0
	var violations []string
	for _, x := range c.workers {
		refusals += x.Refusals()
		if got := x.MaxArrivalsInRetryAfter(retryAfterGrace, sender); got > maxInRetryAfter {
			violations = append(violations, fmt.Sprintf("%s received %d requests of one host within the Retry-After of a refusal", x.ID, got))
		}
	}
	AddReportEntry("retry after", fmt.Sprintf("%d refusals, %s", refusals, strings.Join(violations, ", ")))
	return violations
}
