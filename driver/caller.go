package driver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cicadawood/cicadawood/faker"
)

const maxAttempts = 4

// caller makes one request as a careful client does: after a broken connection it tries
// again through another host, a hold with the same key.
type caller struct {
	client    *http.Client
	hosts     []string
	key       string
	kind      kind
	id        string // identifies the request; also its idempotency key
	firstHost int    // index in hosts of the host of the first attempt
}

// verdict classifies the outcome of one request.
type verdict string

const (
	verdictWhole   verdict = "whole"
	verdictRefused verdict = "refused" // certainly not run
	verdictUnknown verdict = "unknown" // may have run, and the answer says so
	verdictLost    verdict = "lost"    // no valid final outcome
	verdictWrong   verdict = "wrong"   // ended as complete, but with tokens doubled, missing or of another request
)

// result is the final outcome of one request.
type result struct {
	kind         kind
	id           string
	verdict      verdict
	took         time.Duration // over all attempts
	untilHead    time.Duration // to the head of the last response
	tokens       int           // of a whole answer
	wastedTokens int           // tokens of answers that broke off
}

func (c caller) call(ctx context.Context) result {
	started := time.Now()
	r := result{kind: c.kind, id: c.id, verdict: verdictLost}
	for n := range maxAttempts {
		retry := c.attempt(ctx, c.hosts[(c.firstHost+n)%len(c.hosts)], started, &r)
		if !retry {
			break
		}
	}
	r.took = time.Since(started)
	return r
}

// attempt sends the request once, records the outcome in r, and returns whether to try
// another host.
func (c caller) attempt(ctx context.Context, host string, started time.Time, r *result) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+c.kind.path, strings.NewReader(c.body()))
	if err != nil {
		return false
	}
	// The key makes it safe to send a hold again.
	req.Header.Set("Idempotency-Key", c.id)
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Cicadawood-Class", c.kind.class)
	resp, err := c.client.Do(req)
	if err != nil {
		return true
	}
	defer resp.Body.Close()
	r.untilHead = time.Since(started)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.wastedTokens += strings.Count(string(body), "content")
		return true
	}
	r.verdict = c.classify(resp, string(body))
	if r.verdict == verdictWhole {
		r.tokens = strings.Count(string(body), `"content"`)
		return false
	}
	if r.verdict == verdictLost {
		r.wastedTokens += strings.Count(string(body), `"content"`)
		return true
	}
	return false
}

func (c caller) body() string {
	if !c.kind.engine {
		return fmt.Sprintf(`{"id":%q,"class":%q}`, c.id, c.kind.class)
	}
	return fmt.Sprintf(`{"model":"cicada-lm","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"request %s"}]}`, c.kind.tokens, c.id)
}

// classify classifies an answer that arrived.
func (c caller) classify(resp *http.Response, body string) verdict {
	if resp.StatusCode < 300 {
		if c.kind.engine && !strings.HasSuffix(strings.TrimSpace(body), "data: [DONE]") {
			return verdictLost
		}
		if c.kind.engine && !tokensMatch(resp.Header.Get("X-Request-Id"), body) {
			return verdictWrong
		}
		return verdictWhole
	}
	var e struct {
		Error struct {
			Run string `json:"run"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		return verdictLost
	}
	switch e.Error.Run {
	case "no":
		return verdictRefused
	case "unknown":
		return verdictUnknown
	default:
		return verdictLost
	}
}

// tokensMatch reports whether a stream has the fake engines' tokens for the request, each
// once and in order, and at least one.
func tokensMatch(id, body string) bool {
	n := 0
	for _, part := range strings.Split(body, `"content":"`)[1:] {
		text, _, _ := strings.Cut(part, `"`)
		if text != faker.Token(id, n) {
			return false
		}
		n++
	}
	return n > 0
}
