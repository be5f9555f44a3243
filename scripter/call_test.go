package scripter_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// call is a request of a caller and the part of the response received so far.
type call struct {
	cancel  context.CancelFunc
	done    chan struct{}
	endedAt time.Time // set before done is closed

	mu     sync.Mutex
	status int
	header http.Header
	body   strings.Builder
	err    error
}

// text returns the part of the body received so far.
func (c *call) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.body.String()
}

// cmdCall implements `call NAME HOST METHOD PATH [HEADER=VALUE...] [BODY]`. The call
// runs in the background; `expect` waits for its end. PATH "chat:N" stands for a streamed
// chat completion of at most N tokens, "exact:N" for one of exactly N.
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	env := environmentOf(ts)
	c, req := env.newCall(ts, args)
	env.calls[args[0]] = c
	go c.send(req)
}

// newCall builds a call and its request from the arguments of a command, without
// sending it.
func (e *environment) newCall(ts *testscript.TestScript, args []string) (*call, *http.Request) {
	name, host, method, path := args[0], args[1], args[2], args[3]
	body := ""
	headers := http.Header{"Authorization": {"Bearer demo-key"}, "Content-Type": {"application/json"}}
	for _, a := range args[4:] {
		if key, value, ok := strings.Cut(a, "="); ok && !strings.HasPrefix(a, "{") {
			headers.Set(key, value)
			continue
		}
		body = a
	}
	if kind, n, ok := strings.Cut(path, ":"); ok {
		path = "/v1/chat/completions"
		if kind == "exact" {
			n += `,"min_tokens":` + n
		}
		body = fmt.Sprintf(`{"model":"lm","stream":true,"max_tokens":%s,"messages":[{"role":"user","content":%q}]}`, n, name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*waitTimeout)
	c := &call{cancel: cancel, done: make(chan struct{})}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.addresses[host]+path, strings.NewReader(body))
	ts.Check(err)
	req.Header = headers
	return c, req
}

// send sends the request and reads the response to its end.
func (c *call) send(req *http.Request) {
	defer close(c.done)
	defer func() { c.endedAt = time.Now() }()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	c.mu.Lock()
	c.err = err
	if err == nil {
		c.status, c.header = resp.StatusCode, resp.Header
	}
	c.mu.Unlock()
	if err != nil {
		return
	}
	defer resp.Body.Close()
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		c.mu.Lock()
		c.body.Write(buf[:n])
		if err != nil && !errors.Is(err, io.EOF) {
			c.err = err
		}
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// cmdExpect implements `expect NAME OUTCOME...`: waits for the call's end and checks that
// it ended in one of the outcomes: whole, no (reported as not run), unknown (reported as
// possibly run), broken (the stream lacks its end mark, or the connection broke), or a
// status code.
func cmdExpect(ts *testscript.TestScript, _ bool, args []string) {
	c := environmentOf(ts).calls[args[0]]
	if c == nil {
		ts.Fatalf("no call %q", args[0])
	}
	select {
	case <-c.done:
	case <-time.After(waitTimeout):
		ts.Fatalf("call %s has not ended within the time limit", args[0])
	}
	got := c.outcome()
	ts.Logf("call %s: %s %d after %d bytes", args[0], got, c.status, len(c.text()))
	for _, want := range args[1:] {
		if want == got || want == fmt.Sprint(c.status) {
			return
		}
	}
	ts.Fatalf("call %s ended %s (status %d, error %v): %.400s", args[0], got, c.status, c.err, c.text())
}

// outcome returns how the call ended, as seen by its caller.
func (c *call) outcome() string {
	body := c.text()
	switch {
	case c.err != nil:
		return "broken"
	case c.status < http.StatusMultipleChoices && strings.HasPrefix(c.header.Get("Content-Type"), "text/event-stream"):
		if !strings.HasSuffix(strings.TrimSpace(body), "data: [DONE]") {
			return "broken"
		}
		return streamOutcome(body, c.header)
	case c.status < http.StatusMultipleChoices:
		return "whole"
	}
	var e struct {
		Error struct {
			Run string `json:"run"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(body), &e) != nil || e.Error.Run == "" {
		return "unspecified"
	}
	return e.Error.Run
}

var tokenPattern = regexp.MustCompile(`"content":"([^": ]*):(\d+) "`)

// streamOutcome checks that the tokens are complete, unique, in order and from one
// request: the call's own or, with an idempotency key, the first request with that key.
func streamOutcome(body string, h http.Header) string {
	tokens := tokenPattern.FindAllStringSubmatch(body, -1)
	if len(tokens) == 0 {
		return "wrong (no tokens)"
	}
	id := h.Get("X-Request-Id")
	if h.Get("Idempotency-Key") != "" {
		id = tokens[0][1]
	}
	for i, m := range tokens {
		if m[1] != id || m[2] != fmt.Sprint(i) {
			return fmt.Sprintf("wrong (token %s of request %s at position %d of request %s)", m[2], m[1], i, id)
		}
	}
	return "whole"
}

// cmdStreaming implements `streaming NAME`: waits until the call has received a token.
func cmdStreaming(ts *testscript.TestScript, _ bool, args []string) {
	c := environmentOf(ts).calls[args[0]]
	eventually(ts, func() error {
		if !strings.Contains(c.text(), `"content"`) {
			return fmt.Errorf("call %s has received no token: status %d, %v", args[0], c.status, c.err)
		}
		return nil
	})
}

// cmdSame implements `[!] same NAME1 NAME2`: checks that both calls received the same body.
func cmdSame(ts *testscript.TestScript, neg bool, args []string) {
	env := environmentOf(ts)
	if a, b := env.calls[args[0]].text(), env.calls[args[1]].text(); (a == b) == neg {
		ts.Fatalf("answers %q and %q", a, b)
	}
}

// cmdBefore implements `before NAME OTHER...`: waits for the call's end and checks that
// none of the others ended earlier.
func cmdBefore(ts *testscript.TestScript, _ bool, args []string) {
	env := environmentOf(ts)
	first := env.calls[args[0]]
	<-first.done
	for _, name := range args[1:] {
		other := env.calls[name]
		select {
		case <-other.done:
			if !first.endedAt.Before(other.endedAt) {
				ts.Fatalf("call %s ended %v after %s", args[0], first.endedAt.Sub(other.endedAt), name)
			}
		default:
		}
	}
}
