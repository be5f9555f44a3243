package faker

import (
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

// Worker is a fake of a backend server on the users' platform: it knows its own
// id, vouches for its answers, answers by one body or by a stream of events that
// it can take up again, and does wrong what its Flaws say.
type Worker struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Events  int           // of a stream; 0 answers by one body
	Work    time.Duration // before the answer, or before each event
	Address string        // IP:port, once started; what callers are told
	Born    int           // differs after a restart
	Poison  string        // in a body: the worker ends as it begins to run it; "" is none
	Ended   func()        // is told of such an end, if it is set

	mu    sync.Mutex
	flaws Flaws
	runs  map[string]int         // by request
	heads map[string]http.Header // of the last run of a request
	limit float64                // requests a second that it names; 0 names none
	named time.Time              // since when it names one
	came  []arrival              // of requests
	left  int                    // requests whose caller went before their answer
	seq   int
	end   func() // ends the process, as if it crashed
}

// Flaws are what a Worker does wrong.
type Flaws struct {
	Full     bool // refuses, and says that it did not run the request
	Lose     bool // runs the request and breaks the connection
	Mute     bool // runs the request and never answers
	Unsealed bool // answers without vouching for it
	Failing  bool // answers that it failed
	Cut      int  // breaks the connection inside this event of a stream; 0 breaks none
	Extra    bool // sends a second answer, of another request, after each
}

// Start serves on a port of the loopback and returns how to end it.
func (k *Worker) Start() func() {
	k.runs, k.heads = map[string]int{}, map[string]http.Header{}
	s := httptest.NewServer(http.HandlerFunc(k.serve))
	k.Address = strings.TrimPrefix(s.URL, "http://")
	k.end = sync.OnceFunc(func() {
		_ = s.Listener.Close()
		s.CloseClientConnections()
		if k.Ended != nil {
			k.Ended()
		}
	})
	return func() {
		s.CloseClientConnections()
		s.Close()
	}
}

// Register writes the worker's entry to the store.
func (k *Worker) Register(p *Platform, state string) {
	k.mu.Lock()
	k.seq++
	e := platform.Entry{Service: k.Service, Address: k.Address, Zone: k.Zone, Slots: k.Slots, State: state, Incarnation: json.RawMessage(strconv.Itoa(k.Born)), Seq: k.seq}
	k.mu.Unlock()
	p.Put(strings.TrimSuffix(platform.WorkersPrefix, "/"), k.ID, e)
}

// SetFlaws sets what goes wrong from now on.
func (k *Worker) SetFlaws(f Flaws) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.flaws = f
}

// SetLimit has the worker name, in all answers from now on, how many requests a second it
// takes; 0 names none.
func (k *Worker) SetLimit(rate float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.limit == 0 {
		k.named = time.Now()
	}
	k.limit = rate
}

// Named is since when the worker names a limit.
func (k *Worker) Named() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.named
}

// arrival is that a request came.
type arrival struct {
	id string
	at time.Time
}

// Most is the most requests that came within a span between two times, of those that count.
func (k *Worker) Most(from, to time.Time, span time.Duration, counts func(id string) bool) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var times []time.Time
	for _, a := range k.came {
		if !a.at.Before(from) && a.at.Before(to) && counts(a.id) {
			times = append(times, a.at)
		}
	}
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Ran is how often the worker ran a request.
func (k *Worker) Ran(request string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs[request]
}

// Runs is how many requests the worker ran.
func (k *Worker) Runs() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, r := range k.runs {
		n += r
	}
	return n
}

// Left is how many requests were taken back before a Mute worker answered them.
func (k *Worker) Left() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.left
}

// Head is the header with which the worker last ran a request.
func (k *Worker) Head(request string) http.Header {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heads[request]
}

func (k *Worker) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	k.mu.Lock()
	k.came = append(k.came, arrival{id, time.Now()})
	if k.limit > 0 {
		w.Header().Set(platform.HeaderLimit, strconv.FormatFloat(k.limit, 'f', -1, 64))
	}
	k.mu.Unlock()
	if worker := r.Header.Get(platform.HeaderTargetWorker); worker != "" && worker != k.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // its caller broke it off
	}
	k.mu.Lock()
	f := k.flaws
	if !f.Full {
		k.runs[id]++
		k.heads[id] = r.Header.Clone()
	}
	k.mu.Unlock()
	switch {
	case f.Full:
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case k.Poison != "" && strings.Contains(string(body), k.Poison):
		wait(r, k.Work)
		go k.end()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.Lose:
		panic(http.ErrAbortHandler)
	case f.Mute:
		<-r.Context().Done()
		k.mu.Lock()
		k.left++
		k.mu.Unlock()
		return
	}
	if !f.Unsealed {
		w.Header().Set(platform.HeaderSeal, k.ID)
	}
	k.answer(w, r, f)
}

func (k *Worker) answer(w http.ResponseWriter, r *http.Request, f Flaws) {
	switch {
	case f.Failing:
		w.WriteHeader(http.StatusInternalServerError)
	case k.Events > 0:
		k.stream(w, r, f)
	case f.Extra:
		k.twice(w)
	default:
		wait(r, k.Work)
		_, _ = fmt.Fprintf(w, "%s of %s", r.URL.RequestURI(), k.ID)
	}
}

// stream sends the events after the one that the request names.
func (k *Worker) stream(w http.ResponseWriter, r *http.Request, f Flaws) {
	after, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := after + 1; i <= k.Events; i++ {
		if !wait(r, k.Work) {
			return
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if i == f.Cut {
			_, _ = io.WriteString(w, event[:len(event)/2])
			flush(w)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		flush(w)
	}
}

// twice answers, and then answers a request that nobody sent on this connection.
func (k *Worker) twice(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	head := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			platform.HeaderRequestID, id, platform.HeaderSeal, k.ID, len(body), body)
	}
	_, _ = io.WriteString(conn, head(w.Header().Get(platform.HeaderRequestID), "own")+head("another", "foreign"))
	hold(conn)
}

// hold keeps a connection open until the other end closes it.
func hold(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// wait waits; false where the request ends first.
func wait(r *http.Request, d time.Duration) bool {
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
