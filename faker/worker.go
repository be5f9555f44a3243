package faker

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cicadawood/cicadawood/platform"
)

// Worker is a fake of a backend server on the users' platform. It knows its own id, marks its
// answers with the seal header, answers with one body or with a stream of events that it can
// resume, and fails as its WorkerFaults specify.
type Worker struct {
	ID          string
	Service     string
	Zone        string
	Slots       int
	Events      int           // in a stream; 0 answers with one body
	Delay       time.Duration // before the answer, or before each event
	Address     string        // IP:port that Register publishes; set by Start
	Incarnation int           // differs after a restart
	Version     string        // of its software, named in its entry and in each event; "" names defaultVersion in its entry only
	Unversioned bool          // its entry has no version
	Poison      string        // text of a body on which the worker crashes; "" is none
	PoisonPart  string        // part of a prompt, not the last, on which the worker crashes as it answers; "" is none
	OnCrash     func()        // called after such a crash; may be nil

	mu         sync.Mutex
	faults     WorkerFaults
	runs       map[string]int         // by request
	headers    map[string]http.Header // of the last run of a request
	limit      float64                // requests per second, reported in its answers; 0 reports none
	limitSince time.Time              // when it began to report a limit
	leaving    bool                   // its answers report that it is leaving
	leftAt     time.Time              // when they began to
	arrivals   []arrival              // requests received, in order
	refusals   []refusal              // requests refused with Retry-After, in order
	brittle    brittle
	silentTill time.Time // until when it does not go on with any request
	poisoned   int       // requests with PoisonPart that it ran
	canceled   int       // requests whose caller disconnected before the answer
	seq        int
	crash      func() // closes the listener and all connections, as a crash does
	hung       bool   // it answers nothing any more
	ended      bool   // its process has ended: connections that its server does not know any more are closed, too
	returned   *returnListener
	broken     int // answers broken by an EarlyAnswer or an OddHead
	crossed    int // second answers sent after the next request had arrived
}

// defaultVersion is the software version of a worker that states none.
const defaultVersion = "v1"

// Start serves on a loopback port and returns a function that stops it.
func (k *Worker) Start() func() {
	k.runs, k.headers = map[string]int{}, map[string]http.Header{}
	s := httptest.NewUnstartedServer(http.HandlerFunc(k.serve))
	k.returned = newReturnListener(s.Listener)
	s.Listener = k.returned
	s.Start()
	k.Address = strings.TrimPrefix(s.URL, "http://")
	k.crash = sync.OnceFunc(func() {
		_ = s.Listener.Close()
		s.CloseClientConnections()
		k.setEnded()
		if k.OnCrash != nil {
			k.OnCrash()
		}
	})
	return func() {
		_ = s.Listener.Close() // nobody answers in place of the process once its streams end
		s.CloseClientConnections()
		k.setEnded()
		s.Close()
	}
}

// Register writes the worker's entry with a state to the store.
func (k *Worker) Register(p *Platform, state string) {
	k.mu.Lock()
	k.seq++
	e := platform.Entry{Service: k.Service, Address: k.Address, Zone: k.Zone, Slots: k.Slots, State: state, Incarnation: json.RawMessage(strconv.Itoa(k.Incarnation)), Seq: k.seq}
	if !k.Unversioned {
		e.Version = json.RawMessage(strconv.Quote(cmp.Or(k.Version, defaultVersion)))
	}
	k.mu.Unlock()
	p.Put(strings.TrimSuffix(platform.WorkersPrefix, "/"), k.ID, e)
}

// SetLeaving makes the worker report in all answers from now on that it is leaving, or no
// longer. It serves in either case.
func (k *Worker) SetLeaving(leaving bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if leaving && !k.leaving {
		k.leftAt = time.Now()
	}
	k.leaving = leaving
}

// SetLimit makes the worker report a limit in requests per second in all answers from now
// on; 0 means that it reports none.
func (k *Worker) SetLimit(rate float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.limit == 0 {
		k.limitSince = time.Now()
	}
	k.limit = rate
}

// Silence makes the worker do nothing for a time, as a process that gets no processor time.
// It accepts connections meanwhile, and goes on with all requests afterwards.
func (k *Worker) Silence(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silentTill = time.Now().Add(d)
}

// waitWhileSilent returns when the worker is not silent. A process without processor time does not notice
// that a request ends.
func (k *Worker) waitWhileSilent() { time.Sleep(time.Until(k.SilentUntil())) }

func (k *Worker) serve(w http.ResponseWriter, r *http.Request) {
	k.waitWhileSilent()
	if k.isHung() {
		_, _ = io.Copy(io.Discard, r.Body) // the context ends only with a request that was read
		<-r.Context().Done()
		return
	}
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	worker := r.Header.Get(platform.HeaderTargetWorker)
	misdirected := worker != "" && worker != k.ID
	k.mu.Lock()
	if !isProbe(r) {
		k.arrivals = append(k.arrivals, arrival{id: id, at: time.Now(), misdirected: misdirected})
	}
	if k.limit > 0 {
		w.Header().Set(platform.HeaderLimit, strconv.FormatFloat(k.limit, 'f', -1, 64))
	}
	if k.leaving {
		w.Header().Set(platform.HeaderLeaving, "1")
	}
	brittleFor := k.brittle.stated()
	k.mu.Unlock()
	if brittleFor != "" {
		w.Header().Set(platform.HeaderBrittle, brittleFor)
	}
	if misdirected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if isProbe(r) {
		return
	}
	if early := k.beginEarly(r, id); early.End != "" {
		k.answerEarly(w, r, early)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller broke off the request
	}
	enter, fallen := k.enter(time.Now())
	if fallen {
		panic(http.ErrAbortHandler)
	}
	if !enter {
		k.refuse(w, id, 0)
		return
	}
	leave := sync.OnceFunc(k.leave)
	defer leave()
	k.mu.Lock()
	f := k.faults
	if !f.Reject {
		k.runs[id]++
		k.headers[id] = r.Header.Clone()
	}
	k.mu.Unlock()
	switch {
	case f.Reject:
		k.refuse(w, id, f.RetryAfter)
		return
	case k.Poison != "" && strings.Contains(string(body), k.Poison):
		sleep(r, k.Delay)
		go k.crash()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case k.PoisonPart != "" && hasPoisonPart(r.Header, k.PoisonPart):
		k.crashAnswering(w, r)
	case f.BreakConnection:
		panic(http.ErrAbortHandler)
	case f.NeverAnswer:
		<-r.Context().Done()
		k.mu.Lock()
		k.canceled++
		k.mu.Unlock()
		return
	}
	if !f.Unsealed {
		w.Header().Set(platform.HeaderSeal, k.ID)
	}
	k.answer(w, r, f, leave)
}

// HealthPath is the path of a Worker's health check.
const HealthPath = "/health"

// isProbe reports whether a request only asks whether the worker runs.
func isProbe(r *http.Request) bool {
	return r.Method == http.MethodGet && (r.URL.Path == HealthPath || r.URL.Path == "/report")
}

// refuse answers that the request was not run. With a retryAfter it asks for no more
// requests for that time.
func (k *Worker) refuse(w http.ResponseWriter, id string, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set(platform.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
		k.mu.Lock()
		k.refusals = append(k.refusals, refusal{id: id, at: time.Now(), retryAfter: retryAfter})
		k.mu.Unlock()
	}
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// answer answers the request. It calls leave before the last bytes: who has them may send the
// next request.
func (k *Worker) answer(w http.ResponseWriter, r *http.Request, f WorkerFaults, leave func()) {
	switch {
	case f.CutAfterByte > 0:
		k.answerCut(w, r, f)
	case f.Head != "":
		k.answerOddly(w, r, f.Head)
	case f.Endless != "":
		k.answerEndless(w, r, f.Endless)
	case f.AnswerError:
		w.WriteHeader(http.StatusInternalServerError)
	case f.Unframed:
		k.answerUnframed(w, r, f, leave)
	case k.Events > 0 && f.Second.Request != "":
		k.streamThenSecond(w, r, f.Second, leave)
	case k.Events > 0:
		k.stream(w, r, f, leave)
	case f.ExtraAnswer:
		k.answerTwice(w)
	default:
		sleep(r, k.Delay)
		leave()
		_, _ = fmt.Fprintf(w, "%s of %s", r.URL.RequestURI(), k.ID)
	}
}

// Crash closes the listener and all connections, as a process that ends does.
func (k *Worker) Crash() { k.crash() }

// holdOpen keeps a connection open until the other end closes it.
func holdOpen(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// sleep waits for d. It returns false if the request ends first.
func sleep(r *http.Request, d time.Duration) bool {
	if d == 0 {
		return r.Context().Err() == nil
	}
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

// SilentUntil returns until when the worker is silent, or was.
func (k *Worker) SilentUntil() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silentTill
}
