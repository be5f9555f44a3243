package faker

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Token is the text of token n of a request: it shows whose token it is and
// which, so that a doubled, missing or crossed one is seen.
func Token(id string, n int) string { return fmt.Sprintf("%s:%d ", id, n) }

// answer is one completion on its way to the caller.
type answer struct {
	engine   *Engine
	sequence *sequence
	w        http.ResponseWriter
	r        *http.Request
	id       string
	model    string
	prompt   int
	from     int // first token of this answer
	hits     hits
}

// next waits for token n. It returns false at the end, or where the caller left.
func (a *answer) next(n int) bool {
	for {
		made, total := a.engine.made(a.sequence)
		if n < made {
			return true
		}
		if n >= total {
			return false
		}
		select {
		case <-a.r.Context().Done():
			return false
		case <-a.sequence.news:
		}
	}
}

// head begins the answer. It returns false where a fault ends it.
func (a *answer) head(kind string) bool {
	var more bool
	if a.id, more = a.hits.at(a.r.Context(), a.engine.name, AtHead, a.id); !more {
		return false
	}
	a.w.Header().Set("X-Request-Id", a.id)
	a.w.Header().Set("X-Resumed", strconv.Itoa(a.from))
	a.w.Header().Set("Content-Type", kind)
	return true
}

func (a *answer) stream() {
	if !a.next(a.from) && a.r.Context().Err() != nil || !a.head("text/event-stream") {
		return
	}
	n := a.from
	for ; a.next(n); n++ {
		if !a.point(n - a.from) {
			return
		}
		fmt.Fprintf(a.w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", a.id, a.model, Token(a.id, n))
		flush(a.w)
	}
	if a.r.Context().Err() != nil || !a.point(n-a.from) || !a.point(AtEnd) {
		return
	}
	fmt.Fprintf(a.w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\n", a.id, a.model, a.prompt, n, a.prompt+n)
	flush(a.w)
	if a.point(AtDone) {
		fmt.Fprint(a.w, "data: [DONE]\n\n")
	}
}

// point does what faults have in store after n tokens.
func (a *answer) point(n int) bool {
	var more bool
	a.id, more = a.hits.at(a.r.Context(), a.engine.name, n, a.id)
	return more
}

func (a *answer) whole() {
	n := a.from
	for a.next(n) {
		n++
	}
	if a.r.Context().Err() != nil || !a.head("application/json") {
		return
	}
	var text strings.Builder
	for i := range n {
		text.WriteString(Token(a.id, i))
	}
	body := fmt.Sprintf(`{"id":%q,"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`, a.id, a.model, text.String(), a.prompt, n, a.prompt+n)
	writeHalves(a.w, a.r, body, a.engine.name, a.hits)
}

// writeHalves writes a body of known length. Faults at AtEnd hit half way.
func writeHalves(w http.ResponseWriter, r *http.Request, body, server string, h hits) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	half := len(body) / 2
	fmt.Fprint(w, body[:half])
	flush(w)
	if _, more := h.at(r.Context(), server, AtEnd, ""); more {
		fmt.Fprint(w, body[half:])
	}
}
