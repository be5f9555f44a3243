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
)

// OddHeads are all faults of a head.
var OddHeads = []OddHead{OddStatus, LowStatus}

// forgedBody is the body of an answer inside an answer.
const forgedBody = "forged"

// answerOddly answers with a head that has a fault.
func (k *Worker) answerOddly(w http.ResponseWriter, r *http.Request, odd OddHead) {
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
	}
	panic(fmt.Sprintf("no answer with the fault %q", odd))
}

// withStatus replaces the status of an answer.
func withStatus(status, answer string) string {
	return strings.Replace(answer, statusLine, "HTTP/1.1 "+status, 1)
}
