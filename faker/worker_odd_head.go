package faker

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// OddHead is what is wrong with the head of a Worker's answers. The zero value is nothing.
type OddHead string

// Faults of a head.
const (
	OddStatus OddHead = "status" // status 000, and a body that is an answer of the same request
	LowStatus OddHead = "low"    // status 099
	OddName   OddHead = "name"   // a blank in the name of a field
	OddLength OddHead = "length" // a blank before the colon of its length, and bytes beyond that length
	OddChunks OddHead = "chunks" // a blank before the colon of its encoding, which is chunks
	OddByte   OddHead = "byte"   // a control byte in the name of a field
)

// OddHeads are all faults of a head.
var OddHeads = []OddHead{OddStatus, LowStatus, OddName, OddLength, OddChunks, OddByte}

// forgedBody is the body of an answer inside an answer.
const forgedBody = "forged"

// answerOddly answers with a head that has a fault.
func (k *Worker) answerOddly(w http.ResponseWriter, r *http.Request, odd OddHead) {
	k.mu.Lock()
	k.broken++
	k.mu.Unlock()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, k.oddAnswer(r, odd))
}

// oddAnswer returns the bytes of an answer whose head has a fault.
func (k *Worker) oddAnswer(r *http.Request, odd OddHead) string {
	switch odd {
	case OddStatus:
		body := k.head(r, contentLength(forgedBody)) + forgedBody
		return withStatus("000 Odd", k.head(r, contentLength(body))) + body
	case LowStatus:
		return withStatus("099 Odd", k.wholeAnswer(r))
	case OddName:
		return withLine("X Odd: 1", k.wholeAnswer(r))
	case OddLength:
		return strings.Replace(k.wholeAnswer(r), "Content-Length:", "Content-Length :", 1) + forgedBody
	case OddChunks:
		return k.head(r, "Content-Type: text/plain", "Transfer-Encoding : chunked") + chunk(forgedBody) + chunk("")
	case OddByte:
		return withLine("X\x01Odd: 1", k.wholeAnswer(r))
	}
	panic(fmt.Sprintf("no answer with the fault %q", odd))
}

// withStatus replaces the status of an answer.
func withStatus(status, answer string) string {
	return strings.Replace(answer, statusLine, "HTTP/1.1 "+status, 1)
}

// withLine adds a line to the head of an answer.
func withLine(line, answer string) string {
	return strings.Replace(answer, statusLine, statusLine+"\r\n"+line, 1)
}
