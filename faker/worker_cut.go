package faker

import (
	"fmt"
	"io"
	"net/http"
)

// answerCut writes the first bytes of an answer with a length, as many as the fault says, and closes the
// connection in order. The process goes on.
func (k *Worker) answerCut(w http.ResponseWriter, r *http.Request, f WorkerFaults) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	answer := k.wholeAnswer(r)
	_, _ = io.WriteString(conn, answer[:min(f.CutAfterByte, len(answer)-1)])
}

// wholeAnswer returns the bytes of an answer with a length: one event, or a plain body.
func (k *Worker) wholeAnswer(r *http.Request) string {
	body, contentType := fmt.Sprintf("%s of %s", r.URL.RequestURI(), k.ID), "text/plain"
	if k.Events > 0 {
		body, contentType = k.event(1), "text/event-stream"
	}
	return k.head(r, "Content-Type: "+contentType, contentLength(body)) + body
}
