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
	bytesPerToken       = 4    // rough estimate for prompts
	prefixBytes         = 1024 // of a prompt, used for its prefix hash
	defaultOutputTokens = 256  // assumed if the caller states no limit

	// maxStatedNumber bounds the tokens and the choices that a caller asks for, so that neither their
	// product nor sums over callers overflow.
	maxStatedNumber = 1 << 30
	maxReasonBytes  = 255 // of a parser's reason: it quotes the text that it can't decode
)

// request is one caller's request after it was checked.
type request struct {
	id              string
	organisation    string
	service         string
	class           string
	tier            int
	engine          bool
	once            bool
	stream          bool
	usage           bool // the stream ends with a usage event
	choices         int  // answers to the request in one stream
	resumable       bool // the rest of a broken stream can be requested
	maxExcluded     int  // maximum number of workers that tries may exclude
	body            []byte
	started         time.Time
	firstByteTarget time.Duration
	deadline        time.Duration
	promptTokens    int
	maxOutput       int
	prefixHash      uint64
	fingerprint     quarantiner.Fingerprint
}

// Fingerprint identifies the content of a call: calls that are the same to a backend
// server have the same one. See quarantiner.Fingerprint.
func Fingerprint(organisation, service, method, path string, body []byte) quarantiner.Fingerprint {
	return quarantiner.FingerprintOf(organisation, method, service+" "+path, body)
}

// ask returns the request as sent to its dispatcher. Each place is requested under a
// name of its own, so that late messages about a previous place can't be taken for the
// current one. number is the number of places requested before, and generated is
// the number of tokens generated at them.
func (q *request) ask(number, generated int, exclude []string) messenger.Ask {
	name := q.id
	if number > 0 {
		name = fmt.Sprintf("%s.%d", q.id, number)
	}
	output := q.maxOutput
	if output > 0 {
		output = max(output-generated, 1)
	}
	return messenger.Ask{
		Request: name, Made: generated, Class: q.class, Organisation: q.organisation, Prompt: q.promptTokens, Output: output,
		Deadline: max(q.deadline-time.Since(q.started), 0), Waited: time.Since(q.started), Prefix: q.prefixHash,
		Exclude: exclude, NonPreemptible: q.once || q.engine && q.stream && !q.resumable,
	}
}

// estimatedTokens returns the tokens charged for a request before its actual number is
// known.
func (q *request) estimatedTokens() int {
	if !q.engine {
		return 0
	}
	if q.maxOutput == 0 {
		return q.promptTokens + defaultOutputTokens
	}
	return q.promptTokens + q.maxOutput
}

// usedTokens returns the tokens that a request actually used.
func (q *request) usedTokens(d *delivery) int {
	if !q.engine || d.totalTokens() == 0 {
		return 0
	}
	return q.promptTokens + d.totalTokens()
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return forwarder.RequestIDPrefix + hex.EncodeToString(b[:])
}

// chooseClass sets the class to the one requested in the header if the organisation may
// use it, or to the route's by default.
func (q *request) chooseClass(f *loader.Folder, route loader.Route, requested string) *failure {
	q.class = route.Class
	if requested == "" {
		requested = route.Class
	}
	allowed := f.Organisations[q.organisation].Classes
	class, known := f.Classes[requested]
	if !known || !slices.Contains(allowed, requested) {
		return &failure{status: http.StatusForbidden, code: "class_not_allowed", message: fmt.Sprintf("class %q is not one of this organisation's: %s", requested, strings.Join(allowed, ", ")), run: RunNo}
	}
	// An unknown name from a header must not be used further: it would become a metric
	// label.
	q.class = requested
	q.tier = class.Tier
	q.once = route.Once
	q.firstByteTarget, q.deadline = class.FirstByteTarget.Std(), class.AnswerTarget.Std()
	return nil
}

// parseDeadline replaces the class's deadline by the one in the header, if any.
func (q *request) parseDeadline(header string) *failure {
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

// completion holds the fields that are read of an OpenAI request body.
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

// oddNumber returns the name of a field whose number is out of range, if there is one.
func (c completion) oddNumber() (string, bool) {
	for _, f := range []struct {
		name   string
		number int
	}{{"max_tokens", c.MaxTokens}, {"max_completion_tokens", c.MaxComplete}, {"n", c.Choices}} {
		if f.number < 0 || f.number > maxStatedNumber {
			return f.name, true
		}
	}
	return "", false
}

// parseCompletion parses an engine request's body and finds its service.
func (q *request) parseCompletion(x *index, body []byte) (loader.Route, *failure) {
	bad := func(code, message string) (loader.Route, *failure) {
		return loader.Route{}, &failure{status: http.StatusBadRequest, code: code, message: message, run: RunNo}
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		reason := err.Error()
		return bad("bad_json", "the body is not a completion request: "+strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], ""))
	}
	if name, ok := c.oddNumber(); ok {
		return bad("bad_number", fmt.Sprintf("%s is not from 0 to %d", name, maxStatedNumber))
	}
	if len(c.Messages) == 0 && len(c.Prompt) == 0 {
		return bad("no_prompt", "messages or prompt is missing")
	}
	if len(c.Resume) > 0 {
		return bad("resume", "resume is between the system and its engines")
	}
	text := append(slices.Clone(c.Messages), c.Prompt...)
	q.engine, q.body, q.stream, q.usage = true, body, c.Stream, c.Options.Usage
	q.promptTokens = 1 + len(text)/bytesPerToken
	q.maxOutput = max(c.MaxTokens, c.MaxComplete)
	q.choices = max(c.Choices, 1)
	q.prefixHash = xxhash.Sum64String(q.organisation + "\x00" + string(text[:min(len(text), prefixBytes)]))
	t, ok := x.models[c.Model]
	if !ok {
		return loader.Route{}, &failure{status: http.StatusNotFound, code: "model_not_found", message: fmt.Sprintf("no model %q", c.Model), run: RunNo}
	}
	q.setService(x.folder, t.service)
	// Tokens of several choices are interleaved, so their number is not a position to
	// resume at.
	q.resumable = q.resumable && c.Choices <= 1
	return t.route, nil
}

func (q *request) setService(f *loader.Folder, name string) {
	s := f.Services[name]
	q.service, q.maxExcluded, q.resumable = name, maxExcluded(s), s.Resumable
}

// withResume returns a completion request that asks for the answer after a number of
// tokens.
func withResume(body []byte, tokens int) []byte {
	end := bytes.LastIndexByte(body, '}')
	return fmt.Appendf(slices.Clone(body[:end]), `,"resume":%d}`, tokens)
}

// findRoute returns a plain service's route for a method and path.
func findRoute(s loader.Service, method, path string) (loader.Route, bool) {
	for _, r := range s.Routes {
		if (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.Path) {
			return r, true
		}
	}
	return loader.Route{}, false
}
