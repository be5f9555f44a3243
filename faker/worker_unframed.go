package faker

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/cicadawood/cicadawood/platform"
)

// answerUnframed answers with neither a length nor chunks: the answer ends with its connection.
// It calls leave before the last bytes.
func (k *Worker) answerUnframed(w http.ResponseWriter, r *http.Request, f WorkerFaults, leave func()) {
	body, contentType := fmt.Sprintf("%s of %s", r.URL.RequestURI(), k.ID), "text/plain"
	after, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	if k.Events > 0 {
		body, contentType = "", "text/event-stream"
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	defer leave()
	_, _ = io.WriteString(conn, k.head(r, "Content-Type: "+contentType))
	if f.ResetBody {
		_, _ = io.WriteString(conn, body[:len(body)/2])
		sleep(r, k.Delay)
		reset(conn)
		return
	}
	_, _ = io.WriteString(conn, body)
	for i := after + 1; i <= k.Events; i++ {
		sleep(r, k.Delay)
		event := k.event(i)
		if i == f.CutAtEvent {
			_, _ = io.WriteString(conn, event[:len(event)/2])
			return
		}
		_, _ = io.WriteString(conn, event)
		if i == f.HangAfterEvent {
			k.Hang()
		}
		if k.isOver() {
			return
		}
		if i == f.EndAfterEvent {
			sleep(r, k.Delay)
			k.endInOrder(conn)
			return
		}
	}
}

// Hang ends the worker's process as far as its answers without a length show it, which are closed in
// order one after the other. The kernel still accepts connections for it, and nobody answers.
func (k *Worker) Hang() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hung = true
}

func (k *Worker) isHung() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hung
}

func (k *Worker) setEnded() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
}

// isOver reports whether the worker's process hangs or has ended.
func (k *Worker) isOver() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hung || k.ended
}

// endInOrder ends the worker's process as far as one of its connections shows: its listener is
// gone, and the connection is closed in order. Nobody answers from the close on.
func (k *Worker) endInOrder(conn net.Conn) {
	k.Hang()
	_ = conn.Close()
	k.crash()
}
