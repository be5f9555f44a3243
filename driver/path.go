package driver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"
)

// maxOpeningStreams bounds the streams that are being opened at the same time.
const maxOpeningStreams = 3000

// PathBenchmark measures what a host adds to a call. It makes the same calls through the
// host and directly to the engine, alternating between them within one run.
type PathBenchmark struct {
	Host          string // IP:port of the host's entry
	Engine        string // IP:port of the engine
	Key           string // API key
	HostPID       int    // process id of the host
	Rounds        int    // of each variant
	CallsPerRound int
	Concurrency   int // concurrent calls in the throughput part
	Tokens        int // maximum per call
	Streams       int // open at the same time in the memory part; 0 skips the part
}

// variant is one of the two paths and the measurements of its rounds.
type variant struct {
	name     string
	address  string
	firstP50 []float64 // p50 to the first token of each round, ms
	firstP99 []float64
	wholeP50 []float64
	wholeP99 []float64
	rate     []float64 // requests per second
	tokens   []float64 // tokens per second
	cores    []float64 // processor seconds of the host per second
}

// Run measures and prints the results.
func (p PathBenchmark) Run(ctx context.Context, out io.Writer) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: p.Concurrency + 4}}
	variants := []*variant{{name: "direct", address: p.Engine}, {name: "host", address: p.Host}}
	for range p.Rounds {
		for _, w := range variants {
			if err := p.latency(ctx, client, w); err != nil {
				return err
			}
			if err := p.throughput(ctx, client, w); err != nil {
				return err
			}
		}
	}
	if p.Rounds > 0 {
		if err := p.print(out, variants); err != nil {
			return err
		}
	}
	if p.Streams == 0 {
		return nil
	}
	return p.memory(ctx, out)
}

// latency runs a round of sequential calls.
func (p PathBenchmark) latency(ctx context.Context, client *http.Client, w *variant) error {
	first, whole := newHistogram(), newHistogram()
	for i := range p.CallsPerRound {
		f, all, _, err := p.call(ctx, client, w.address, p.Tokens, fmt.Sprint(i))
		if err != nil {
			return err
		}
		if err := errors.Join(first.record(f), whole.record(all)); err != nil {
			return err
		}
	}
	w.firstP50 = append(w.firstP50, first.percentileMS(50))
	w.firstP99 = append(w.firstP99, first.percentileMS(99))
	w.wholeP50 = append(w.wholeP50, whole.percentileMS(50))
	w.wholeP99 = append(w.wholeP99, whole.percentileMS(99))
	return nil
}

// throughput runs a round of concurrent calls, four times as many as latency does.
func (p PathBenchmark) throughput(ctx context.Context, client *http.Client, w *variant) error {
	before, _, err := processUsage(p.HostPID)
	if err != nil {
		return err
	}
	started := time.Now()
	var remaining, tokens atomic.Int64
	remaining.Store(int64(p.CallsPerRound * 4))
	var firstErr atomic.Value
	var tasks sync.WaitGroup
	for range p.Concurrency {
		tasks.Go(func() {
			for remaining.Add(-1) >= 0 {
				_, _, n, err := p.call(ctx, client, w.address, p.Tokens, "load")
				if err != nil {
					firstErr.Store(err)
					return
				}
				tokens.Add(int64(n))
			}
		})
	}
	tasks.Wait()
	if err, ok := firstErr.Load().(error); ok {
		return err
	}
	elapsed := time.Since(started).Seconds()
	after, _, err := processUsage(p.HostPID)
	if err != nil {
		return err
	}
	w.rate = append(w.rate, float64(p.CallsPerRound*4)/elapsed)
	w.tokens = append(w.tokens, float64(tokens.Load())/elapsed)
	w.cores = append(w.cores, (after-before)/elapsed)
	return nil
}

// call makes one streamed call. It returns the time to the first event, the time to the
// end, and the number of tokens.
func (p PathBenchmark) call(ctx context.Context, client *http.Client, address string, tokens int, id string) (first, total time.Duration, n int, err error) {
	started := time.Now()
	resp, err := p.open(ctx, client, address, tokens, id)
	if err != nil {
		return 0, 0, 0, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	last := ""
	for lines.Scan() {
		if lines.Text() == "" {
			continue
		}
		if first == 0 {
			first = time.Since(started)
		}
		if strings.Contains(lines.Text(), `"content"`) {
			n++
		}
		last = lines.Text()
	}
	if last != "data: [DONE]" {
		return 0, 0, 0, fmt.Errorf("%s: answer of status %s ended with %q", address, resp.Status, last)
	}
	return first, time.Since(started), n, nil
}

func (p PathBenchmark) open(ctx context.Context, client *http.Client, address string, tokens int, id string) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"cicada-lm","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", address, err)
	}
	req.Header.Set("Authorization", "Bearer "+p.Key)
	req.Header.Set("X-Request-Id", id)
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", address, err)
	}
	return resp, nil
}

// memory opens many streams and reads the host's memory before and with them.
func (p PathBenchmark) memory(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, before, err := processUsage(p.HostPID)
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 0, DisableKeepAlives: true}}
	var opened, refused atomic.Int64
	var tasks sync.WaitGroup
	opening := make(chan struct{}, maxOpeningStreams)
	for range p.Streams {
		opening <- struct{}{}
		tasks.Go(func() {
			defer func() { <-opening }()
			resp, err := p.open(ctx, client, p.Host, 4096, "open")
			if err != nil || resp.StatusCode != http.StatusOK {
				refused.Add(1)
				return
			}
			opened.Add(1)
			context.AfterFunc(ctx, func() { _ = resp.Body.Close() })
			go func() { _, _ = io.Copy(io.Discard, resp.Body) }() // ends when the body is closed
		})
	}
	tasks.Wait()
	_, after, err := processUsage(p.HostPID)
	if err != nil {
		return err
	}
	n := max(opened.Load(), 1)
	fmt.Fprintf(out, "open streams: %d (%d refused); host memory %.0f MB before, %.0f MB with them: %.1f KB a stream\n",
		opened.Load(), refused.Load(), before/1e6, after/1e6, (after-before)/float64(n)/1e3)
	return nil
}

func (p PathBenchmark) print(out io.Writer, variants []*variant) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "median of %d rounds (lowest to highest)\tdirect\thost\thost-direct\thost/direct\t\n", p.Rounds)
	d, h := variants[0], variants[1]
	row := func(name string, a, b []float64) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.2f\t\n", name, formatRange(a), formatRange(b), median(b)-median(a), median(b)/median(a))
	}
	row("first token p50, ms", d.firstP50, h.firstP50)
	row("first token p99, ms", d.firstP99, h.firstP99)
	row("whole answer p50, ms", d.wholeP50, h.wholeP50)
	row("whole answer p99, ms", d.wholeP99, h.wholeP99)
	row("requests a second", d.rate, h.rate)
	row("tokens a second", d.tokens, h.tokens)
	fmt.Fprintf(w, "host's cores in use\t\t%s\t\t\t\n", formatRange(h.cores))
	fmt.Fprintf(w, "requests a second a core\t\t%s\t\t\t\n", formatRange(ratio(h.rate, h.cores)))
	fmt.Fprintf(w, "tokens a second a core\t\t%s\t\t\t\n", formatRange(ratio(h.tokens, h.cores)))
	return w.Flush()
}

func ratio(a, b []float64) []float64 {
	out := make([]float64, len(a))
	for i := range a {
		out[i] = a[i] / b[i]
	}
	return out
}

func median(v []float64) float64 {
	s := slices.Sorted(slices.Values(v))
	return s[len(s)/2]
}

func formatRange(v []float64) string {
	return fmt.Sprintf("%.3g (%.3g-%.3g)", median(v), slices.Min(v), slices.Max(v))
}
