package server

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cicadawood/cicadawood/forwarder"
)

const copyBuffer = 32 << 10

// hopHeaders are the headers of one connection, which are not passed on
// (RFC 9110, section 7.6.1).
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// passed is the headers of a caller that a backend server gets.
func passed(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	out.Del("Authorization")
	out.Del(HeaderClass)
	out.Del(HeaderDeadline)
	return out
}

// reply passes an answer to the caller and returns the bytes passed.
func (s *Server) reply(w http.ResponseWriter, q *request, a *forwarder.Answer) (int64, *failure) {
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		return s.stream(w, q, a)
	}
	return s.whole(w, q, a)
}

// whole reads an answer to its end before it passes any of it, so that a broken
// one never reaches the caller as if it were whole.
func (s *Server) whole(w http.ResponseWriter, q *request, a *forwarder.Answer) (int64, *failure) {
	body, err := io.ReadAll(io.LimitReader(a.Body, s.limits.Answer+1))
	if err != nil || int64(len(body)) > s.limits.Answer {
		return 0, broken(forwarder.ErrUnknown)
	}
	copyHeader(w, q, a)
	w.WriteHeader(a.Status)
	_, _ = w.Write(body)
	return int64(len(body)), nil
}

// stream passes server-sent events on as they come. An answer that ends
// without its [DONE] is marked with an error event: an event stream has no
// length, so the caller could not tell a cut one from a whole one.
func (s *Server) stream(w http.ResponseWriter, q *request, a *forwarder.Answer) (int64, *failure) {
	copyHeader(w, q, a)
	w.WriteHeader(a.Status)
	control := http.NewResponseController(w)
	tail := &tail{}
	buf := make([]byte, copyBuffer)
	var sent int64
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(s.limits.Stall.Std()))
			tail.add(buf[:n])
			if _, err := w.Write(buf[:n]); err != nil {
				return sent, nil
			}
			_ = control.Flush()
			sent += int64(n)
		}
		if errors.Is(err, io.EOF) && tail.done() {
			return sent, nil
		}
		if err != nil {
			s.markBroken(w, q)
			return sent, nil
		}
	}
}

func (s *Server) markBroken(w http.ResponseWriter, q *request) {
	s.metrics.broken(q.class)
	_, _ = io.WriteString(w, "\n\ndata: "+`{"error":{"message":"the answer broke off","type":"server_error","code":"answer_broken","run":"unknown"}}`+"\n\n")
	_ = http.NewResponseController(w).Flush()
}

func copyHeader(w http.ResponseWriter, q *request, a *forwarder.Answer) {
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Set(HeaderRequest, q.id)
	h.Del("Content-Length")
}

// tail remembers the last bytes of a stream, to find its end mark.
type tail struct{ last []byte }

const doneMark = "data: [DONE]"

func (t *tail) add(p []byte) {
	t.last = append(t.last, p...)
	if extra := len(t.last) - 2*len(doneMark); extra > 0 {
		t.last = append(t.last[:0], t.last[extra:]...)
	}
}

func (t *tail) done() bool { return strings.HasSuffix(strings.TrimSpace(string(t.last)), doneMark) }
