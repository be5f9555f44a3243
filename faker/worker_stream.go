package faker

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cicadawood/cicadawood/platform"
)

// stream sends the events after the one that the request's Last-Event-Id names.
func (k *Worker) stream(w http.ResponseWriter, r *http.Request, f WorkerFaults, leave func()) {
	after, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := after + 1; i <= k.Events; i++ {
		if !sleep(r, k.Delay) {
			return
		}
		k.waitWhileSilent()
		event := k.event(i)
		if i == f.CutAtEvent {
			_, _ = io.WriteString(w, event[:len(event)/2])
			flush(w)
			panic(http.ErrAbortHandler)
		}
		if i == k.Events {
			leave()
		}
		_, _ = io.WriteString(w, event)
		flush(w)
	}
}

// event returns the event with a number. It names the worker's version, so that who reads a
// stream sees whose events it has.
func (k *Worker) event(number int) string {
	if k.Version == "" {
		return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number)
	}
	return fmt.Sprintf("id: %d\ndata: piece %d\nversion: %s\n\n", number, number, k.Version)
}

// answerTwice answers the request, and then sends an answer to a request that did not arrive
// on this connection.
func (k *Worker) answerTwice(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	response := func(id, body string) string { return k.headOf(id, contentLength(body)) + body }
	_, _ = io.WriteString(conn, response(w.Header().Get(platform.HeaderRequestID), "own")+response("another", "foreign"))
	holdOpen(conn)
}
