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
)

const (
	eventBuffer = 2 << 10
	eventMost   = 1 << 20 // bytes of one event
)

// ErrEvent says that a stream's event can't be read.
var ErrEvent = errors.New("bad event")

// doneData is the data of a stream's end mark.
const doneData = "[DONE]"

// Event is one server-sent event of a completion. Its bytes are valid until the
// next is read.
type Event struct {
	Raw    []byte // as it came, with its blank line
	Done   bool   // the end mark
	Tokens int    // tokens it brings
	Usage  int    // tokens of the whole answer as the engine counts; 0 where not told

	Finished bool // the engine says why the answer ends
	Failed   bool // the engine says that it failed
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBuffer) }}

// Events reads an answer event by event, and checks that each belongs to the
// answer's request.
type Events struct {
	answer *Answer
	r      *bufio.Reader
	raw    []byte
	data   []byte
	id     string // of the events so far
	like   shape
}

// Events returns a reader of the answer's events and its clean-up.
func (a *Answer) Events() (*Events, func()) {
	r := readers.Get().(*bufio.Reader)
	r.Reset(a.Body)
	return &Events{answer: a, r: r}, func() {
		r.Reset(nil)
		readers.Put(r)
	}
}

// Next reads one event. An event that was cut is never returned: its error is
// io.ErrUnexpectedEOF, io.EOF between events, or one of this package's.
func (e *Events) Next() (Event, error) {
	e.raw, e.data = e.raw[:0], e.data[:0]
	for {
		from := len(e.raw)
		if err := e.line(); err != nil {
			return e.end(err)
		}
		line := bytes.TrimRight(e.raw[from:], "\r\n")
		if len(line) == 0 {
			return e.take()
		}
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
		}
	}
}

// Buffered says that the whole next event is here already.
func (e *Events) Buffered() bool {
	next, _ := e.r.Peek(e.r.Buffered())
	return bytes.Contains(next, []byte("\n\n"))
}

// line appends the next line to raw.
func (e *Events) line() error {
	for {
		part, err := e.r.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		if len(e.raw) > eventMost {
			return fmt.Errorf("%w: over %d bytes", ErrEvent, eventMost)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// end is the event at the end of the body. Only an end mark may lack its blank
// line.
func (e *Events) end(err error) (Event, error) {
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

// chunk is what the router reads of an OpenAI chunk or answer.
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

func (e *Events) take() (Event, error) {
	v, data := Event{Raw: e.raw}, e.data
	if len(data) == 0 {
		return v, nil // a comment, which keeps the connection alive
	}
	if string(data) == doneData {
		v.Done = true
		return v, nil
	}
	if e.like.fits(data) {
		v.Tokens = 1
		return v, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, fmt.Errorf("%w: %v", ErrEvent, err)
	}
	if err := e.own(c.ID); err != nil {
		return Event{}, err
	}
	v.Usage = c.Usage.Completion
	v.Failed = len(c.Error) > 0 && string(c.Error) != "null"
	for _, choice := range c.Choices {
		if choice.Text != "" || choice.Delta.Content != "" {
			v.Tokens++
		}
		v.Finished = v.Finished || choice.Finish != nil
	}
	if v.Tokens == 1 && v.Usage == 0 && !v.Failed && !v.Finished {
		e.like = shapeOf(data)
	}
	return v, nil
}

// shape is a token's event without the token's text. An engine's events differ
// in little else: one of the same shape says the same as the one before, and
// needn't be parsed.
type shape struct{ head, tail []byte }

// shapeOf is the shape of a parsed event, or an empty one where it isn't clear
// where its text stands.
func shapeOf(data []byte) shape {
	for _, mark := range [][]byte{[]byte(`"content":"`), []byte(`"text":"`)} {
		at := bytes.Index(data, mark)
		if at < 0 || bytes.Count(data, mark) != 1 {
			continue
		}
		at += len(mark)
		end := bytes.IndexByte(data[at:], '"')
		if end <= 0 || bytes.IndexByte(data[at:at+end], '\\') >= 0 {
			continue
		}
		return shape{head: bytes.Clone(data[:at]), tail: bytes.Clone(data[at+end:])}
	}
	return shape{}
}

// fits says that data is of the shape, with some plain text.
func (s shape) fits(data []byte) bool {
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

// own checks an event's id. A stream that was crossed with another shows as an
// id that isn't this request's, or that changes on the way.
func (e *Events) own(id string) error {
	if id == "" {
		return nil
	}
	if !e.answer.owns(id) || (e.id != "" && e.id != id) {
		return fmt.Errorf("%w: %w: %s", ErrUnknown, ErrMismatched, id)
	}
	e.id = id
	return nil
}

// owns says whether an id in the answer's body can be of its request. An engine
// may name the request in its ids, alone or behind a prefix of its own; then an
// id that names another gives a crossed answer away. One that has named its
// requests is held to it. An engine that makes up its own ids shows nothing.
func (a *Answer) owns(id string) bool {
	if strings.HasSuffix(id, a.request) {
		a.lane.echoes.Store(true)
		return true
	}
	return !a.lane.echoes.Load() && !strings.Contains(id, RequestIDPrefix)
}

// Completion reads what an answer that is not streamed tells: its tokens. It returns
// an error where the body isn't an answer of this request.
func (a *Answer) Completion(body []byte) (tokens int, err error) {
	var c chunk
	if err := json.Unmarshal(body, &c); err != nil {
		return 0, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	if c.ID != "" && !a.owns(c.ID) {
		return 0, fmt.Errorf("%w: %w: %s", ErrUnknown, ErrMismatched, c.ID)
	}
	return c.Usage.Completion, nil
}

// Drain lets a whole answer end by itself, so that its connection can be used
// again.
func (a *Answer) Drain() { a.body.Drain() }
