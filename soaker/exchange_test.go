package soaker_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/cicadawood/cicadawood/platform"
)

// defaultCallers is the number of requests in flight at a time.
const defaultCallers = 12

// exchange is one request and the response that its caller received.
type exchange struct {
	id, route, key string
	host           *host
	sentAt, endAt  time.Time
	processSince   time.Time // when the host's process had last been disturbed before the request was sent
	leavingWorker  string    // worker whose answer states that it is leaving; "" for none
	undisturbed    bool      // no signal or start disturbed the host's process in the undisturbedTime before
	status         int
	body           string
	err            error // no response, or one that was cut off
}

// startCallers polls the readiness of all hosts and sends requests to ready ones
// until stop is called.
func (c *cluster) startCallers() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	c.pollHosts(ctx, &tasks)
	for i := range c.callers {
		r := rand.New(rand.NewPCG(c.seed, uint64(100+i)))
		tasks.Go(func() {
			defer GinkgoRecover()
			for n := 0; ctx.Err() == nil; n++ {
				if h := c.hosts[r.IntN(*hostCount)]; h.isReady() {
					c.record(c.callRandom(h, r, fmt.Sprintf("t-%d-%d", i, n)))
				}
				time.Sleep(c.callPause)
			}
		})
	}
	return func() {
		cancel()
		tasks.Wait()
	}
}

// pollHosts polls the readiness of all hosts until ctx ends.
func (c *cluster) pollHosts(ctx context.Context, tasks *sync.WaitGroup) {
	for _, h := range c.hosts {
		tasks.Go(func() {
			for ctx.Err() == nil {
				h.pollReady()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

func (c *cluster) record(e exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges = append(c.exchanges, e)
}

// callRandom sends a request to a random route. In some cases it uses a revoked key.
func (c *cluster) callRandom(h *host, r *rand.Rand, id string) exchange {
	c.mu.Lock()
	key := c.keys[r.IntN(len(c.keys))]
	for old := range c.revoked {
		if r.IntN(20) == 0 {
			key = old
		}
	}
	c.mu.Unlock()
	route := []string{"chat", "plan", "hold", "quote"}[r.IntN(4)]
	return send(h, id, route, key, id, strings.Repeat("b", c.bodyBytes))
}

// send sends a request with an ID to a route, for the resource called name. header alternates names
// and values.
func send(h *host, id, route, key, name, body string, header ...string) exchange {
	e := exchange{
		id: id, route: route, key: key, host: h, sentAt: time.Now(), undisturbed: h.processUndisturbedSince(time.Now().Add(-undisturbedTime)),
		processSince: h.processSince(),
	}
	method := http.MethodPost
	if route == "quote" {
		method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, h.url+"/"+route+"/"+name, strings.NewReader(body))
	if err != nil {
		e.err = err
		return e
	}
	req.Host = "desk.example"
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, "3000")
	req.Header.Set("Authorization", "Token "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		e.err = err
		return e
	}
	defer resp.Body.Close()
	e.status = resp.StatusCode
	data, err := io.ReadAll(resp.Body)
	e.body, e.err, e.endAt = string(data), err, time.Now()
	if resp.Header.Get(platform.HeaderLeaving) != "" {
		e.leavingWorker = resp.Header.Get(platform.HeaderSeal)
	}
	return e
}
