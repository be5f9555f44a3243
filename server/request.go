package server

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/quarantiner"
)

const (
	bytesPerToken = 4    // rough, for prompts
	prefixLength  = 1024 // bytes of a prompt that decide its prefix hash
	outputGuess   = 256  // tokens, where the caller names no limit
)

// request is one caller's request, checked.
type request struct {
	id           string
	organisation string
	service      string
	class        string
	tier         int
	engine       bool
	once         bool
	stream       bool
	usage        bool // the stream ends with a usage event
	resumable    bool // the rest of a broken stream can be had
	excluded     int  // workers that tries may exclude
	body         []byte
	started      time.Time
	first        time.Duration // target
	deadline     time.Duration
	prompt       int
	output       int
	prefix       uint64
	fingerprint  quarantiner.Fingerprint
}

// Fingerprint is the same for calls that are the same to a backend server; see
// quarantiner.Fingerprint.
func Fingerprint(organisation, service, method, path string, body []byte) quarantiner.Fingerprint {
	return quarantiner.FingerprintOf(organisation, method, service+" "+path, body)
}

// ask is the request as its dispatcher sees it, for one place after the other.
// Each has its own name there, so that what is still under way for an earlier
// one can't be taken for it; made is the tokens that earlier places made.
func (q *request) ask(n, made int, exclude []string) messenger.Ask {
	name := q.id
	if n > 0 {
		name = fmt.Sprintf("%s.%d", q.id, n)
	}
	output := q.output
	if output > 0 {
		output = max(output-made, 1)
	}
	return messenger.Ask{
		Request: name, Made: made, Class: q.class, Organisation: q.organisation, Prompt: q.prompt, Output: output,
		Deadline: max(q.deadline-time.Since(q.started), 0), Waited: time.Since(q.started), Prefix: q.prefix,
		Exclude: exclude, NonPreemptible: q.once || q.engine && q.stream && !q.resumable,
	}
}

// estimate is the tokens a request is charged with before they are known.
func (q *request) estimate() int {
	if !q.engine {
		return 0
	}
	if q.output == 0 {
		return q.prompt + outputGuess
	}
	return q.prompt + q.output
}

// used is the tokens a request turned out to cost.
func (q *request) used(d *delivery) int {
	if !q.engine || d.total() == 0 {
		return 0
	}
	return q.prompt + d.total()
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return forwarder.RequestIDPrefix + hex.EncodeToString(b[:])
}

// chooseClass is the route's class, or the one the header asks for where the
// organisation may use it.
func (q *request) chooseClass(f *loader.Folder, route loader.Route, asked string) *failure {
	q.class = route.Class
	if asked == "" {
		asked = route.Class
	}
	allowed := f.Organisations[q.organisation].Classes
	class, known := f.Classes[asked]
	if !known || !slices.Contains(allowed, asked) {
		return &failure{status: http.StatusForbidden, code: "class_not_allowed", message: fmt.Sprintf("class %q is not one of this organisation's: %s", asked, strings.Join(allowed, ", ")), run: RunNo}
	}
	// A name from a header goes no further until it is known: it labels metrics.
	q.class = asked
	q.tier = class.Tier
	q.once = route.Once
	q.first, q.deadline = class.First.Std(), class.Whole.Std()
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
	Choices     int             `json:"n"`
	Resume      json.RawMessage `json:"resume"`
	Options     struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// takeCompletion reads an engine request's body and finds its service.
func (q *request) takeCompletion(x *index, body []byte) (loader.Route, *failure) {
	bad := func(code, message string) (loader.Route, *failure) {
		return loader.Route{}, &failure{status: http.StatusBadRequest, code: code, message: message, run: RunNo}
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return bad("bad_json", "the body is not a completion request: "+err.Error())
	}
	if len(c.Messages) == 0 && len(c.Prompt) == 0 {
		return bad("no_prompt", "messages or prompt is missing")
	}
	if len(c.Resume) > 0 {
		return bad("resume", "resume is between the system and its engines")
	}
	text := append(slices.Clone(c.Messages), c.Prompt...)
	q.engine, q.body, q.stream, q.usage = true, body, c.Stream, c.Options.Usage
	q.prompt = 1 + len(text)/bytesPerToken
	q.output = max(c.MaxTokens, c.MaxComplete)
	q.prefix = xxhash.Sum64String(q.organisation + "\x00" + string(text[:min(len(text), prefixLength)]))
	t, ok := x.models[c.Model]
	if !ok {
		return loader.Route{}, &failure{status: http.StatusNotFound, code: "model_not_found", message: fmt.Sprintf("no model %q", c.Model), run: RunNo}
	}
	q.takeService(x.folder, t.service)
	// Tokens of several choices come mixed: their number is no place to resume at.
	q.resumable = q.resumable && c.Choices <= 1
	return t.route, nil
}

func (q *request) takeService(f *loader.Folder, name string) {
	s := f.Services[name]
	q.service, q.excluded, q.resumable = name, excluded(s), s.Resume
}

// resumeAt is a completion request for the rest of its answer, after tokens.
func resumeAt(body []byte, tokens int) []byte {
	end := bytes.LastIndexByte(body, '}')
	return fmt.Appendf(slices.Clone(body[:end]), `,"resume":%d}`, tokens)
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
