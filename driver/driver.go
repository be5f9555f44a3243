// Package driver sends traffic as callers do, and checks the answers against the runs that
// the backend servers report.
package driver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Traffic is an open load of mixed requests: arrivals do not wait for answers.
type Traffic struct {
	Hosts    []string // IP:port of the entry of each host
	Services []string // IP:port of plain services, whose counts reveal doubled calls
	Length   time.Duration
	Rate     float64 // requests per second
	Seed     uint64
	Key      string // API key
}

// kind is one kind of request in the mix.
type kind struct {
	class  string
	weight float64       // share of all requests
	once   bool          // must not run more than once
	target time.Duration // for the whole answer
	engine bool          // served by an engine, not by a plain service
	tokens int           // maximum per answer; engines only
	path   string
}

// mix is the traffic of the example deployment Wodnik: quotes and holds at the booking
// application, chat and trip plans at the engines.
var mix = []kind{
	{class: "quote", weight: 0.35, target: 500 * time.Millisecond, path: "/services/booking-app/quotes"},
	{class: "hold", weight: 0.2, once: true, target: time.Second, path: "/services/booking-app/holds"},
	{class: "chat", weight: 0.35, engine: true, tokens: 48, target: 4 * time.Second, path: "/v1/chat/completions"},
	{class: "plan", weight: 0.1, engine: true, tokens: 160, target: 20 * time.Second, path: "/v1/chat/completions"},
}

// Run sends the traffic, waits for every final outcome, and checks the outcomes.
func (t Traffic) Run(ctx context.Context) (*Report, error) {
	if len(t.Hosts) == 0 {
		return nil, errors.New("no hosts to send to")
	}
	random := rand.New(rand.NewPCG(t.Seed, 0))
	client := &http.Client{Timeout: time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	report := newReport()
	var tasks sync.WaitGroup
	end := time.Now().Add(t.Length)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		c := caller{client: client, hosts: t.Hosts, key: t.Key, kind: pickKind(random), id: fmt.Sprintf("%d-%d", t.Seed, n), firstHost: random.IntN(len(t.Hosts))}
		tasks.Go(func() { report.add(c.call(ctx)) })
		gap := time.Duration(random.ExpFloat64() / t.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
		case <-time.After(gap):
		}
	}
	tasks.Wait()
	return report, t.verify(ctx, client, report)
}

func pickKind(r *rand.Rand) kind {
	x := r.Float64()
	for _, k := range mix {
		if x -= k.weight; x < 0 {
			return k
		}
	}
	return mix[0]
}

// verify reads how often each operation ran and checks the report against it.
func (t Traffic) verify(ctx context.Context, client *http.Client, r *Report) error {
	ran := map[string]int{}
	for _, address := range t.Services {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/counts", nil)
		if err != nil {
			return fmt.Errorf("read counts: %w", err)
		}
		resp, err := client.Do(req)
		if err != nil {
			return fmt.Errorf("read counts: %w", err)
		}
		counts := map[string]int{}
		err = json.NewDecoder(resp.Body).Decode(&counts)
		_ = resp.Body.Close()
		if err != nil {
			return fmt.Errorf("read counts: %w", err)
		}
		for id, n := range counts {
			ran[id] += n
		}
	}
	r.compareRuns(ran)
	return nil
}
