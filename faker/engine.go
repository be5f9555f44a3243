package faker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const lengthMedian = 24 // tokens, where the caller names no limit

// Engine is a fake model engine with the OpenAI interface and continuous
// batching: all sequences of a batch get a token each step.
type Engine struct {
	name  string
	model Model
	calls *Counter

	mu      sync.Mutex
	waiting []*sequence
	batch   []*sequence
	running bool
	leaving bool
}

// sequence is one completion in the making.
type sequence struct {
	prefill int
	left    int
	tokens  chan int // index of each token; closed at the end
	gone    chan struct{}
}

// NewEngine returns a fake engine.
func NewEngine(name string, m Model, c *Counter) *Engine {
	return &Engine{name: name, model: m, calls: c}
}

// Handler is the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/load", e.load).Methods(http.MethodGet)
	r.HandleFunc("/leave", e.leave).Methods(http.MethodPost)
	return r
}

// load is the engine's load report.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(struct {
		Running int  `json:"running"`
		Waiting int  `json:"waiting"`
		Leaving bool `json:"leaving"`
	}{len(e.batch), len(e.waiting), e.leaving})
}

func (e *Engine) leave(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var c struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
		Max    int    `json:"max_tokens"`
	}
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, `{"error":{"message":"bad json","type":"invalid_request_error"}}`, http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	s := &sequence{prefill: len(body) / 4, left: OutputLength(id, lengthMedian, c.Max), tokens: make(chan int, 4096), gone: make(chan struct{})}
	if !e.enter(s) {
		w.Header().Set("X-Run", "no")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	defer close(s.gone)
	e.calls.Add(id)
	w.Header().Set("X-Request-Id", id)
	if c.Stream {
		streamTokens(w, r, id, c.Model, s)
		return
	}
	wholeAnswer(w, r, id, c.Model, len(body)/4, s)
}

func (e *Engine) enter(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return false
	}
	e.waiting = append(e.waiting, s)
	if !e.running {
		e.running = true
		go e.run()
	}
	return true
}

// run steps the batch while there is one.
func (e *Engine) run() {
	for {
		wait, more := e.plan()
		if !more {
			return
		}
		time.Sleep(wait)
		e.step()
	}
}

func (e *Engine) plan() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefill := 0
	for len(e.batch) < e.model.Slots && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.batch = append(e.batch, s)
		prefill += s.prefill
	}
	if len(e.batch) == 0 {
		e.running = false
		return 0, false
	}
	return e.model.StepTime(len(e.batch), prefill), true
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.batch[:0]
	for _, s := range e.batch {
		select {
		case <-s.gone:
			continue
		default:
		}
		s.left--
		s.tokens <- s.left
		if s.left <= 0 {
			close(s.tokens)
			continue
		}
		kept = append(kept, s)
	}
	e.batch = kept
}

func streamTokens(w http.ResponseWriter, r *http.Request, id, model string, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	n := 0
	for {
		select {
		case <-r.Context().Done():
			return
		case _, ok := <-s.tokens:
			if !ok {
				fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":%d}}\n\n", id, model, n)
				fmt.Fprint(w, "data: [DONE]\n\n")
				return
			}
			fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},\"finish_reason\":null}]}\n\n", id, model, n)
			_ = control.Flush()
			n++
		}
	}
}

func wholeAnswer(w http.ResponseWriter, r *http.Request, id, model string, prompt int, s *sequence) {
	var text strings.Builder
	n := 0
	for {
		select {
		case <-r.Context().Done():
			return
		case _, ok := <-s.tokens:
			if ok {
				fmt.Fprintf(&text, "t%d ", n)
				n++
				continue
			}
		}
		break
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"id":%q,"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`, id, model, text.String(), prompt, n, prompt+n)
}
