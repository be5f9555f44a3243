package server

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
)

const (
	bytesPerToken = 4    // rough, for prompts
	prefixLength  = 1024 // bytes of a prompt that decide its prefix hash
)

// request is one caller's request, checked.
type request struct {
	id           string
	organisation string
	service      string
	class        string
	tier         int
	once         bool
	stream       bool
	body         []byte
	started      time.Time
	deadline     time.Duration
	prompt       int
	output       int
	prefix       uint64
}

// ask is the request as its dispatcher sees it.
func (q *request) ask() messenger.Ask {
	return messenger.Ask{
		Request: q.id, Class: q.class, Organisation: q.organisation, Prompt: q.prompt, Output: q.output,
		Deadline: max(q.deadline-time.Since(q.started), 0), Waited: time.Since(q.started), Prefix: q.prefix, Fixed: q.once,
	}
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// organisationOf finds the organisation by the request's API key.
func organisationOf(f *loader.Folder, r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	hash := loader.HashKey(key)
	for name, o := range f.Organisations {
		if slices.Contains(o.Keys, hash) {
			return name, true
		}
	}
	return "", false
}

// readBody takes the whole body, bounded.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *failure) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, &failure{status: http.StatusRequestEntityTooLarge, code: "body_too_large", message: fmt.Sprintf("the body is over %d bytes", limit), run: RunNo}
	case err != nil:
		return nil, &failure{status: http.StatusBadRequest, code: "body_unreadable", message: "the body did not arrive whole", run: RunNo}
	}
	return body, nil
}

// chooseClass is the route's class, or the one the header asks for where the
// organisation may use it.
func (q *request) chooseClass(f *loader.Folder, route loader.Route, asked string) *failure {
	q.class = route.Class
	if asked != "" {
		q.class = asked
	}
	allowed := f.Organisations[q.organisation].Classes
	class, known := f.Classes[q.class]
	if !known || !slices.Contains(allowed, q.class) {
		return &failure{status: http.StatusForbidden, code: "class_not_allowed", message: fmt.Sprintf("class %q is not one of this organisation's: %s", q.class, strings.Join(allowed, ", ")), run: RunNo}
	}
	q.tier = class.Tier
	q.once = route.Once
	q.deadline = class.Whole.Std()
	return nil
}

// takeDeadline shortens or lengthens the class's deadline by the header's.
func (q *request) takeDeadline(header string) *failure {
	if header == "" {
		return nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 || ms > int64(time.Hour/time.Millisecond) {
		return &failure{status: http.StatusBadRequest, code: "bad_deadline", message: HeaderDeadline + " is not a number of milliseconds from 1 to an hour", run: RunNo}
	}
	q.deadline = time.Duration(ms) * time.Millisecond
	return nil
}

// completion is what the router reads of an OpenAI request body.
type completion struct {
	Model       string          `json:"model"`
	Stream      bool            `json:"stream"`
	MaxTokens   int             `json:"max_tokens"`
	MaxComplete int             `json:"max_completion_tokens"`
	Messages    json.RawMessage `json:"messages"`
	Prompt      json.RawMessage `json:"prompt"`
}

// takeCompletion reads an engine request's body and finds its service.
func (q *request) takeCompletion(f *loader.Folder, body []byte) (loader.Route, *failure) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return loader.Route{}, &failure{status: http.StatusBadRequest, code: "bad_json", message: "the body is not a completion request: " + err.Error(), run: RunNo}
	}
	if len(c.Messages) == 0 && len(c.Prompt) == 0 {
		return loader.Route{}, &failure{status: http.StatusBadRequest, code: "no_prompt", message: "messages or prompt is missing", run: RunNo}
	}
	text := append(slices.Clone(c.Messages), c.Prompt...)
	q.body, q.stream = body, c.Stream
	q.prompt = 1 + len(text)/bytesPerToken
	q.output = max(c.MaxTokens, c.MaxComplete)
	q.prefix = xxhash.Sum64String(q.organisation + "\x00" + string(text[:min(len(text), prefixLength)]))
	for name, s := range f.Services {
		if s.Kind != loader.KindEngine || !slices.Contains(s.Models, c.Model) {
			continue
		}
		q.service = name
		for _, r := range s.Routes {
			if r.Model == "" || r.Model == c.Model {
				return r, nil
			}
		}
	}
	return loader.Route{}, &failure{status: http.StatusNotFound, code: "model_not_found", message: fmt.Sprintf("no model %q", c.Model), run: RunNo}
}

// routeOf finds a plain service's route for a method and path.
func routeOf(s loader.Service, method, path string) (loader.Route, bool) {
	for _, r := range s.Routes {
		if (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.Path) {
			return r, true
		}
	}
	return loader.Route{}, false
}
