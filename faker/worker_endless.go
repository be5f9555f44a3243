package faker

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cicadawood/cicadawood/platform"
)

// Endless is the part of a Worker's answers that has no end.
type Endless string

// Parts without an end. The zero value is none.
const (
	EndlessHead  Endless = "head"
	EndlessBody  Endless = "body"
	EndlessChunk Endless = "chunk"
	EndlessEvent Endless = "event"
	// EndlessEvents is whole events, which the request's number of tokens does not end.
	EndlessEvents Endless = "events"
)

// EndlessParts lists the parts that belong to any answer.
var EndlessParts = []Endless{EndlessHead, EndlessBody, EndlessChunk, EndlessEvent}

const (
	endlessPieceBytes = 64 << 10
	endlessInterval   = 2 * time.Millisecond // between two pieces
)

// answerEndless answers with bytes until the caller closes the connection.
func (k *Worker) answerEndless(w http.ResponseWriter, r *http.Request, part Endless) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, k.endlessStart(r, part)); err != nil {
		return
	}
	if part == EndlessEvents {
		k.writeEvents(conn)
		return
	}
	writeEndless(conn)
}

// writeEvents writes events until the connection is closed.
func (k *Worker) writeEvents(conn net.Conn) {
	for i := 1; ; i++ {
		if _, err := io.WriteString(conn, k.event(i)); err != nil {
			return
		}
	}
}

// endlessStart returns what precedes the part without an end.
func (k *Worker) endlessStart(r *http.Request, part Endless) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID), platform.HeaderSeal, k.ID)
	switch part {
	case EndlessBody:
		return head + "\r\n"
	case EndlessChunk:
		return head + "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n"
	case EndlessEvents:
		return head + "Content-Type: text/event-stream\r\n\r\n"
	case EndlessEvent:
		return head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: "
	}
	return head + "X: "
}

func writeEndless(conn net.Conn) {
	piece := strings.Repeat("x", endlessPieceBytes)
	for tick := time.Tick(endlessInterval); ; <-tick {
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
	}
}
