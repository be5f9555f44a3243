package forwarder

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/cicadawood/cicadawood/reserver"
)

const (
	eventBufferBytes = 2 << 10
	maxEventBytes    = 1 << 20 // maximum size of one event
	maxUsage         = 1 << 24 // tokens; more than any answer has
)

// ErrEvent means that an event of a stream can't be parsed.
var ErrEvent = errors.New("invalid event")

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// Event is one server-sent event of a completion. Raw is valid until the next event is
// read.
type Event struct {
	Raw    []byte // as received, with its blank line
	Done   bool   // the end marker
	Tokens int    // number of tokens in the event
	Usage  int    // tokens of the whole answer as counted by the engine; 0 if not stated

	Finished bool // the event states a finish reason
	Failed   bool // the event reports an engine error
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBufferBytes) }}

// Events reads an answer event by event, and checks that each event belongs to the
// answer's request.
type Events struct {
	answer   *Answer
	r        *bufio.Reader
	reserved *reserver.Reservation // for raw and data
	raw      []byte
	data     []byte
	id       string // of the previous events
	template eventTemplate
}

// eventCopies is how often an event is kept: as received, and its data.
const eventCopies = 2

// Events returns a reader of the answer's events and its clean-up function. The reader takes the memory
// for an event from a reservation, which may be nil.
func (a *Answer) Events(reserved *reserver.Reservation) (*Events, func()) {
	r := readers.Get().(*bufio.Reader)
	r.Reset(a.Body)
	return &Events{answer: a, r: r, reserved: reserved}, func() {
		reserved.Release()
		r.Reset(nil)
		readers.Put(r)
	}
}

// Next reads one event. It never returns a truncated event: the error is
// io.ErrUnexpectedEOF, io.EOF between events, or an error of this package.
func (e *Events) Next() (Event, error) {
	e.raw, e.data = e.raw[:0], e.data[:0]
	for {
		lineStart := len(e.raw)
		if err := e.readLine(); err != nil {
			return e.finish(err)
		}
		line := bytes.TrimRight(e.raw[lineStart:], "\r\n")
		if len(line) == 0 {
			return e.parse()
		}
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
		}
	}
}

// Buffered reports whether the whole next event has already been received.
func (e *Events) Buffered() bool {
	next, _ := e.r.Peek(e.r.Buffered())
	return bytes.Contains(next, []byte("\n\n"))
}

// readLine appends the next line to raw.
func (e *Events) readLine() error {
	for {
		part, err := e.r.ReadSlice('\n')
		if len(e.raw)+len(part) > maxEventBytes {
			return fmt.Errorf("%w: over %d bytes", ErrEvent, maxEventBytes)
		}
		var full error
		if e.raw, full = e.reserved.Append(e.raw, part, eventCopies); full != nil {
			return fmt.Errorf("%w: %w", ErrUnknown, full)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// finish returns the event at the end of the body. Only the end marker may lack its
// blank line.
func (e *Events) finish(err error) (Event, error) {
	if !errors.Is(err, io.EOF) {
		return Event{}, err
	}
	if bytes.HasPrefix(e.raw, []byte("data: "+doneData)) && len(e.data) <= len(doneData) {
		e.raw = append(bytes.TrimRight(e.raw, "\r\n"), "\n\n"...)
		return Event{Raw: e.raw, Done: true}, nil
	}
	if len(e.raw) > 0 {
		return Event{}, io.ErrUnexpectedEOF
	}
	return Event{}, io.EOF
}

// chunk holds the fields that are read of an OpenAI chunk or answer.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
		Delta  struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage struct {
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// usage returns the tokens that an engine states; a number out of range counts as not stated.
func (c *chunk) usage() int {
	if c.Usage.Completion < 0 || c.Usage.Completion > maxUsage {
		return 0
	}
	return c.Usage.Completion
}

func (e *Events) parse() (Event, error) {
	v, data := Event{Raw: e.raw}, e.data
	if len(data) == 0 {
		return v, nil // a comment, sent to keep the connection alive
	}
	if string(data) == doneData {
		v.Done = true
		return v, nil
	}
	if e.template.matches(data) {
		v.Tokens = 1
		return v, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, fmt.Errorf("%w: %v", ErrEvent, err)
	}
	if err := e.checkID(c.ID); err != nil {
		return Event{}, err
	}
	v.Usage = c.usage()
	v.Failed = len(c.Error) > 0 && string(c.Error) != "null"
	for _, choice := range c.Choices {
		if choice.Text != "" || choice.Delta.Content != "" {
			v.Tokens++
		}
		v.Finished = v.Finished || choice.Finish != nil
	}
	if v.Tokens == 1 && v.Usage == 0 && !v.Failed && !v.Finished {
		e.template = templateOf(data)
	}
	return v, nil
}

// eventTemplate is the event of a token without the token's text. An engine's events
// differ in little else: an event that matches the previous one's template carries the
// same information and needn't be parsed.
type eventTemplate struct{ head, tail []byte }

// templateOf returns the template of a parsed event, or an empty one if the position of
// its text is ambiguous.
func templateOf(data []byte) eventTemplate {
	for _, textKey := range [][]byte{[]byte(`"content":"`), []byte(`"text":"`)} {
		at := bytes.Index(data, textKey)
		if at < 0 || bytes.Count(data, textKey) != 1 {
			continue
		}
		at += len(textKey)
		end := bytes.IndexByte(data[at:], '"')
		if end <= 0 || bytes.IndexByte(data[at:at+end], '\\') >= 0 {
			continue
		}
		return eventTemplate{head: bytes.Clone(data[:at]), tail: bytes.Clone(data[at+end:])}
	}
	return eventTemplate{}
}

// matches reports whether data consists of the template and some text without quotes,
// escapes or control characters.
func (s eventTemplate) matches(data []byte) bool {
	if len(s.head) == 0 || len(data) <= len(s.head)+len(s.tail) || !bytes.HasPrefix(data, s.head) || !bytes.HasSuffix(data, s.tail) {
		return false
	}
	for _, c := range data[len(s.head) : len(data)-len(s.tail)] {
		if c == '"' || c == '\\' || c < ' ' {
			return false
		}
	}
	return true
}

// checkID checks an event's ID. Events of another stream show as an ID that isn't this
// request's, or that changes within the stream.
func (e *Events) checkID(id string) error {
	if id == "" {
		return nil
	}
	if !e.answer.ownsID(id) || (e.id != "" && e.id != id) {
		return fmt.Errorf("%w: %w: %s", ErrUnknown, ErrMismatched, id)
	}
	e.id = id
	return nil
}

// ownsID reports whether an ID in the answer's body can belong to its request. An engine
// may use the request's ID, alone or with a prefix of its own; then the ID of another
// request reveals a mixed-up answer. From an engine that has used request IDs once, no
// other IDs are accepted. The IDs of an engine that generates its own can't be checked.
func (a *Answer) ownsID(id string) bool {
	if strings.HasSuffix(id, a.requestID) {
		a.backend.echoesID.Store(true)
		return true
	}
	return !a.backend.echoesID.Load() && !strings.Contains(id, RequestIDPrefix)
}

// Completion parses an answer that is not streamed and returns its number of tokens. It
// returns an error if the body isn't an answer to this request.
func (a *Answer) Completion(body []byte) (tokens int, err error) {
	var c chunk
	if err := json.Unmarshal(body, &c); err != nil {
		return 0, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	if c.ID != "" && !a.ownsID(c.ID) {
		return 0, fmt.Errorf("%w: %w: %s", ErrUnknown, ErrMismatched, c.ID)
	}
	return c.usage(), nil
}

// Drain reads a complete answer to its end, so that its connection can be reused.
func (a *Answer) Drain() { a.body.Drain() }
