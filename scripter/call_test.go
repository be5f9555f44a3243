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

// call is one caller's request and what came back so far.
type call struct {
	cancel context.CancelFunc
	ended  chan struct{}
	end    time.Time // set before ended closes

	mu     sync.Mutex
	status int
	header http.Header
	body   strings.Builder
	err    error
}

func (c *call) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.body.String()
}

// cmdCall is `call NAME HOST METHOD PATH [HEADER=VALUE...] [BODY]`. It goes on in
// the background; expect waits for it. PATH "chat:N" is a streamed chat of N
// tokens at most, "exact:N" one of just N.
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	c, req := w.newCall(ts, args)
	w.calls[args[0]] = c
	go c.run(req)
}

// newCall is the call that the arguments of a command say, not begun yet.
func (w *world) newCall(ts *testscript.TestScript, args []string) (*call, *http.Request) {
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
	ctx, cancel := context.WithTimeout(context.Background(), 3*patience)
	c := &call{cancel: cancel, ended: make(chan struct{})}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.addresses[host]+path, strings.NewReader(body))
	ts.Check(err)
	req.Header = headers
	return c, req
}

func (c *call) run(req *http.Request) {
	defer close(c.ended)
	defer func() { c.end = time.Now() }()
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

// cmdExpect is `expect NAME OUTCOME...`: waits for the call's end and checks that
// it ended in one of the outcomes: whole, no (told: not run), unknown (told: may
// have run), broken (marked, or the connection broke), or a status code.
func cmdExpect(ts *testscript.TestScript, _ bool, args []string) {
	c := worldOf(ts).calls[args[0]]
	if c == nil {
		ts.Fatalf("no call %q", args[0])
	}
	select {
	case <-c.ended:
	case <-time.After(patience):
		ts.Fatalf("call %s has no answer yet", args[0])
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

// outcome is how the call ended, as its caller sees it.
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
		return "untold"
	}
	return e.Error.Run
}

var tokenPattern = regexp.MustCompile(`"content":"([^": ]*):(\d+) "`)

// streamOutcome checks that the tokens are all there, once, in order, and of one
// request: the call's own, or the first with its key.
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
			return fmt.Sprintf("wrong (token %s of %s at place %d of %s)", m[2], m[1], i, id)
		}
	}
	return "whole"
}

// cmdStreaming is `streaming NAME`: waits until the call has got a token.
func cmdStreaming(ts *testscript.TestScript, _ bool, args []string) {
	c := worldOf(ts).calls[args[0]]
	eventually(ts, func() error {
		if !strings.Contains(c.text(), `"content"`) {
			return fmt.Errorf("call %s has no token yet: status %d, %v", args[0], c.status, c.err)
		}
		return nil
	})
}

// cmdSame is `same NAME1 NAME2`: the two calls got the same answer.
func cmdSame(ts *testscript.TestScript, neg bool, args []string) {
	w := worldOf(ts)
	if a, b := w.calls[args[0]].text(), w.calls[args[1]].text(); (a == b) == neg {
		ts.Fatalf("answers %q and %q", a, b)
	}
}

// cmdBefore is `before NAME OTHER...`: the call ended before the others did.
func cmdBefore(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	first := w.calls[args[0]]
	<-first.ended
	for _, name := range args[1:] {
		other := w.calls[name]
		select {
		case <-other.ended:
			if !first.end.Before(other.end) {
				ts.Fatalf("call %s ended %v after %s", args[0], first.end.Sub(other.end), name)
			}
		default:
		}
	}
}
