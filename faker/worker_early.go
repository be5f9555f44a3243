package faker

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadawood/cicadawood/platform"
)

// EarlyAnswer is an answer without a length that a Worker gives before it has read the request's body. It has
// all of its bytes if End is EndHalf, and half of them otherwise. The zero value is none.
type EarlyAnswer struct {
	End   ConnEnd
	Delay time.Duration // between its last byte and End
}

// beginEarly returns the early answer that the worker gives to a request, which it runs, or none.
func (k *Worker) beginEarly(r *http.Request, id string) EarlyAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.Early.End == "" {
		return EarlyAnswer{}
	}
	k.runs[id]++
	k.headers[id] = r.Header.Clone()
	if k.faults.Early.End != EndHalf {
		k.broken++
	}
	return k.faults.Early
}

// answerEarly gives an early answer.
func (k *Worker) answerEarly(w http.ResponseWriter, r *http.Request, early EarlyAnswer) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, k.earlyBytes(r, early.End == EndHalf))
	early.End.end(conn, early.Delay)
}

// earlyBytes returns the bytes of an early answer, or half of them.
func (k *Worker) earlyBytes(r *http.Request, whole bool) string {
	if k.Events == 0 {
		body := fmt.Sprintf("%s of %s", r.URL.RequestURI(), k.ID)
		if !whole {
			body = body[:len(body)/2]
		}
		return k.head(r, "Content-Type: text/plain") + body
	}
	text := k.head(r, "Content-Type: text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	last := k.Events
	if !whole {
		last = (after + k.Events) / 2
	}
	for i := after + 1; i <= last; i++ {
		text += k.event(i)
	}
	return text
}
