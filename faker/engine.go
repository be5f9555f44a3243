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
	medianLength = 24   // tokens, before the limits of the caller are applied
	maxLength    = 8192 // tokens per answer if the caller sets no limit
	maxBodyBytes = 8 << 20
)

// Engine is a fake model engine with the OpenAI API and continuous batching: each step
// gives every sequence of the batch one token. It honours priorities, resumes a completion
// from the body's field "resume" (the number of tokens that the caller has), and drops a
// sequence whose connection closes.
type Engine struct {
	name   string
	model  Model
	calls  *Counter
	faults *FaultInjector

	mu            sync.Mutex
	waiting       []*sequence
	batch         []*sequence
	running       bool
	leaving       bool
	checksFence   bool   // refuses old fencing numbers
	ignoresResume bool   // starts again instead of resuming
	software      string // stated in its answers; "" states none
	fence         uint64
	prefixes      prefixCache
	reportLag     time.Duration
	reported      time.Time
	report        Load
}

// Load is an engine's load report.
type Load struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// sequence is one completion in progress; Engine.mu guards it.
type sequence struct {
	tier       int
	prefill    int
	generated  int // tokens, including those of an earlier attempt
	total      int
	canceled   bool
	progressed chan struct{} // receives a value when generated has grown; buffers one
}

// NewEngine returns a fake engine.
func NewEngine(name string, m Model, c *Counter) *Engine {
	return &Engine{name: name, model: m, calls: c, faults: &FaultInjector{}}
}

// Injector returns the injector of the faults in force.
func (e *Engine) Injector() *FaultInjector { return e.faults }

// ShareInjector makes the engine use an injector that other backend servers use, too, so
// that planned faults hit their calls in the order in which the calls arrive. It must be
// called before the first request.
func (e *Engine) ShareInjector(f *FaultInjector) { e.faults = f }

// SetFencing sets whether old fencing numbers are refused, from now on.
func (e *Engine) SetFencing(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checksFence, e.fence = on, 0
}

// SetResume sets whether the engine can resume; one that can't starts the completion
// again.
func (e *Engine) SetResume(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ignoresResume = !on
}

// SetSoftware sets what the engine states to run; "" states nothing.
func (e *Engine) SetSoftware(s string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.software = s
}

// Software returns what the engine states to run.
func (e *Engine) Software() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.software
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
	e.reportLag = d
}

// ActiveSequences returns the number of sequences in the engine.
func (e *Engine) ActiveSequences() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range slices.Concat(e.batch, e.waiting) {
		if !s.canceled {
			n++
		}
	}
	return n
}

// Handler returns the engine's HTTP interface.
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

// load serves the engine's load report, which may be as old as reportLag.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.reported) >= e.reportLag {
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	if e.resumeIgnored() {
		c.Resume = 0
	}
	faults := e.faults.forCall()
	if faults.refused() {
		refuse(w, http.StatusServiceUnavailable, "refused")
		return
	}
	tier, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	id := r.Header.Get("X-Request-Id")
	s := &sequence{tier: tier, prefill: len(body)/4 + c.Resume, generated: c.Resume, total: max(c.Min, OutputLength(id, medianLength, cmp.Or(c.Max, maxLength))), progressed: make(chan struct{}, 1)}
	if status := e.admit(s, c.Messages, r.Header.Get("X-Fencing-Number")); status != 0 {
		refuse(w, status, "not taken")
		return
	}
	defer e.cancel(s)
	e.calls.Add(id)
	a := &answer{engine: e, sequence: s, w: w, r: r, id: id, model: c.Model, prompt: len(body) / 4, firstToken: c.Resume, faults: faults}
	if c.Stream {
		a.writeStream()
		return
	}
	a.writeWhole()
}

func (e *Engine) resumeIgnored() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ignoresResume
}

// refuse answers that the call was refused and not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("X-Run", "no")
	http.Error(w, reason, status)
}

// admit adds a sequence to the waiting ones, or returns the status to refuse it with.
func (e *Engine) admit(s *sequence, prompt []byte, fence string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return http.StatusServiceUnavailable
	}
	number, _ := strconv.ParseUint(fence, 10, 64)
	if e.checksFence && number < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = max(e.fence, number)
	if e.prefixes.lookup(prompt) {
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

func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.canceled = true
}

// run steps the batch until it is empty.
func (e *Engine) run() {
	for {
		wait, more := e.nextBatch()
		if !more {
			return
		}
		time.Sleep(wait)
		e.step()
	}
}

func (e *Engine) nextBatch() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting = slices.DeleteFunc(e.waiting, func(s *sequence) bool { return s.canceled })
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

// step gives every sequence of the batch a token. It does not wait for readers: a slow
// reader finds several new tokens when it next reads the count.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch = slices.DeleteFunc(e.batch, func(s *sequence) bool {
		if s.canceled {
			return true
		}
		s.generated = min(s.generated+1, s.total)
		select {
		case s.progressed <- struct{}{}:
		default:
		}
		return s.generated >= s.total
	})
}

// progress returns how many tokens a sequence has, and how many it will have.
func (e *Engine) progress(s *sequence) (generated, total int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.generated, s.total
}
