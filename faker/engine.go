package faker

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const (
	lengthMedian = 24   // tokens, where the caller names no limit
	lengthMost   = 8192 // tokens of any answer
	bodyMost     = 8 << 20
)

// Engine is a fake model engine with the OpenAI interface and continuous
// batching: all sequences of a batch get a token each step. It honours
// priorities, resumes a completion from the body's field "resume" (tokens the
// caller has), and drops a sequence whose connection closes.
type Engine struct {
	name   string
	model  Model
	calls  *Counter
	faults *FaultInjector

	mu       sync.Mutex
	waiting  []*sequence
	batch    []*sequence
	running  bool
	leaving  bool
	fencing  bool // refuses old fencing numbers
	deaf     bool // to resume
	fence    uint64
	prefixes prefixes
	lag      time.Duration
	reported time.Time
	report   Load
}

// Load is an engine's load report.
type Load struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// sequence is one completion in the making; Engine.mu guards it.
type sequence struct {
	tier    int
	prefill int
	made    int // tokens, those of an earlier try included
	total   int
	gone    bool
	news    chan struct{} // holds one value when made grew
}

// NewEngine returns a fake engine.
func NewEngine(name string, m Model, c *Counter) *Engine {
	return &Engine{name: name, model: m, calls: c, faults: &FaultInjector{}}
}

// Injector is the faults in force.
func (e *Engine) Injector() *FaultInjector { return e.faults }

// ShareInjector shares the faults of others, so that a plan hits their calls in the
// order in which they come. It comes before the first call.
func (e *Engine) ShareInjector(f *FaultInjector) { e.faults = f }

// SetFencing sets whether old fencing numbers are refused, from now on.
func (e *Engine) SetFencing(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fencing, e.fence = on, 0
}

// SetResume sets whether the engine can resume; one that can't begins again.
func (e *Engine) SetResume(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deaf = !on
}

// SetSlowFactor sets the factor on all times.
func (e *Engine) SetSlowFactor(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.SlowFactor = factor
}

// SetReportLag sets how old a load report may be.
func (e *Engine) SetReportLag(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lag = d
}

// ActiveSequences is the number of sequences in the engine.
func (e *Engine) ActiveSequences() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range slices.Concat(e.batch, e.waiting) {
		if !s.gone {
			n++
		}
	}
	return n
}

// Handler is the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/load", e.load).Methods(http.MethodGet)
	r.HandleFunc("/leave", e.leave).Methods(http.MethodPost)
	r.Handle("/faults", e.faults).Methods(http.MethodPost)
	r.HandleFunc("/slow/{factor}", e.slow).Methods(http.MethodPost)
	return r
}

// load is the engine's load report, as old as its lag allows.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.reported) >= e.lag {
		e.reported = now
		e.report = Load{len(e.batch), len(e.waiting), e.leaving}
	}
	_ = json.NewEncoder(w).Encode(e.report)
}

func (e *Engine) leave(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) slow(w http.ResponseWriter, r *http.Request) {
	factor, err := strconv.ParseFloat(mux.Vars(r)["factor"], 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetSlowFactor(factor)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if err != nil {
		return
	}
	var c struct {
		Model    string          `json:"model"`
		Stream   bool            `json:"stream"`
		Max      int             `json:"max_tokens"`
		Min      int             `json:"min_tokens"`
		Resume   int             `json:"resume"`
		Messages json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, `{"error":{"message":"bad json","type":"invalid_request_error"}}`, http.StatusBadRequest)
		return
	}
	if e.isDeaf() {
		c.Resume = 0
	}
	now := e.faults.next()
	if now.refused() {
		refuse(w, http.StatusServiceUnavailable, "refused")
		return
	}
	tier, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	id := r.Header.Get("X-Request-Id")
	s := &sequence{tier: tier, prefill: len(body)/4 + c.Resume, made: c.Resume, total: max(c.Min, OutputLength(id, lengthMedian, cmp.Or(c.Max, lengthMost))), news: make(chan struct{}, 1)}
	if status := e.enter(s, c.Messages, r.Header.Get("X-Fencing-Number")); status != 0 {
		refuse(w, status, "not taken")
		return
	}
	defer e.drop(s)
	e.calls.Add(id)
	a := &answer{engine: e, sequence: s, w: w, r: r, id: id, model: c.Model, prompt: len(body) / 4, from: c.Resume, hits: now}
	if c.Stream {
		a.stream()
		return
	}
	a.whole()
}

func (e *Engine) isDeaf() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.deaf
}

// refuse says no, and that the call was not run.
func refuse(w http.ResponseWriter, status int, why string) {
	w.Header().Set("X-Run", "no")
	http.Error(w, why, status)
}

// enter takes a sequence in, or returns the status to refuse it with.
func (e *Engine) enter(s *sequence, prompt []byte, fence string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return http.StatusServiceUnavailable
	}
	number, _ := strconv.ParseUint(fence, 10, 64)
	if e.fencing && number < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = max(e.fence, number)
	if e.prefixes.hit(prompt) {
		s.prefill = 0
	}
	e.waiting = append(e.waiting, s)
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int { return cmp.Compare(a.tier, b.tier) })
	if !e.running {
		e.running = true
		go e.run()
	}
	return 0
}

func (e *Engine) drop(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.gone = true
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
	e.waiting = slices.DeleteFunc(e.waiting, func(s *sequence) bool { return s.gone })
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

// step gives every sequence of the batch a token. It waits for no reader: a
// slow one finds the count further on when it looks again.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch = slices.DeleteFunc(e.batch, func(s *sequence) bool {
		if s.gone {
			return true
		}
		s.made = min(s.made+1, s.total)
		select {
		case s.news <- struct{}{}:
		default:
		}
		return s.made >= s.total
	})
}

// made is how many tokens a sequence has, of how many.
func (e *Engine) made(s *sequence) (made, total int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.made, s.total
}
