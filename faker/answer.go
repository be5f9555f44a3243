package faker

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Token returns the text of token n of a request. It identifies the request and the
// position, so that a doubled, missing or mixed-up token is detected.
func Token(id string, n int) string { return fmt.Sprintf("%s:%d ", id, n) }

// answer is one completion that is being sent.
type answer struct {
	engine     *Engine
	sequence   *sequence
	w          http.ResponseWriter
	r          *http.Request
	id         string
	model      string
	prompt     int
	firstToken int // first token of this answer
	faults     *callFaults
}

// waitToken waits for token n. It returns false at the end, or if the caller disconnected.
func (a *answer) waitToken(n int) bool {
	for {
		generated, total := a.engine.progress(a.sequence)
		if n < generated {
			return true
		}
		if n >= total {
			return false
		}
		select {
		case <-a.r.Context().Done():
			return false
		case <-a.sequence.progressed:
		}
	}
}

// writeHead writes the head of the answer. It returns false if a fault ends the answer.
func (a *answer) writeHead(kind string) bool {
	var more bool
	if a.id, more = a.faults.apply(a.r.Context(), a.engine.name, AtHead, a.id); !more {
		return false
	}
	a.w.Header().Set("X-Request-Id", a.id)
	a.w.Header().Set("X-Resumed", strconv.Itoa(a.firstToken))
	if s := a.engine.Software(); s != "" {
		a.w.Header().Set("X-Software", s)
	}
	a.w.Header().Set("Content-Type", kind)
	return true
}

func (a *answer) writeStream() {
	if !a.waitToken(a.firstToken) && a.r.Context().Err() != nil || !a.writeHead("text/event-stream") {
		return
	}
	n := a.firstToken
	for ; a.waitToken(n); n++ {
		if !a.applyFaults(n - a.firstToken) {
			return
		}
		fmt.Fprintf(a.w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", a.id, a.model, Token(a.id, n))
		flush(a.w)
	}
	if a.r.Context().Err() != nil || !a.applyFaults(n-a.firstToken) || !a.applyFaults(AtEnd) {
		return
	}
	fmt.Fprintf(a.w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\n", a.id, a.model, a.prompt, n, a.prompt+n)
	flush(a.w)
	if a.applyFaults(AtDone) {
		fmt.Fprint(a.w, "data: [DONE]\n\n")
	}
}

// applyFaults applies the faults at a point of the answer: a number of tokens, or AtHead
// and the like. It returns false if a fault ends the answer.
func (a *answer) applyFaults(n int) bool {
	var more bool
	a.id, more = a.faults.apply(a.r.Context(), a.engine.name, n, a.id)
	return more
}

func (a *answer) writeWhole() {
	n := a.firstToken
	for a.waitToken(n) {
		n++
	}
	if a.r.Context().Err() != nil || !a.writeHead("application/json") {
		return
	}
	var text strings.Builder
	for i := range n {
		text.WriteString(Token(a.id, i))
	}
	body := fmt.Sprintf(`{"id":%q,"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`, a.id, a.model, text.String(), a.prompt, n, a.prompt+n)
	writeHalves(a.w, a.r, body, a.engine.name, a.faults)
}

// writeHalves writes a body of known length. Faults at AtEnd apply after its first half.
func writeHalves(w http.ResponseWriter, r *http.Request, body, server string, h *callFaults) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	half := len(body) / 2
	fmt.Fprint(w, body[:half])
	flush(w)
	if _, more := h.apply(r.Context(), server, AtEnd, ""); more {
		fmt.Fprint(w, body[half:])
	}
}
