package server

import (
	"net/http"

	"github.com/cicadawood/cicadawood/framer"
)

// Drain makes the server unready permanently. Further requests are served, but their
// connections are closed after the answer. This empties the load balancer's connection
// pool; closing its idle connections instead could cut off a request that is being sent.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// AbortAll closes all connections, which ends every request in flight.
func (s *Server) AbortAll() { _ = s.http.Close() }

// closeAfterLast closes a caller's connection after the answer while the server drains, and
// after a request that may be read in two ways.
func (s *Server) closeAfterLast(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Draining() || framer.Ambiguous(r) {
			w = &closingWriter{ResponseWriter: w}
		}
		next.ServeHTTP(w, r)
	})
}

// closingWriter writes the last answer of a connection. It sets the Connection header
// only when the head is written, as headers of a backend server may overwrite it before.
type closingWriter struct {
	http.ResponseWriter
	headWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (l *closingWriter) WriteHeader(status int) {
	l.headWritten = true
	l.Header().Set("Connection", "close")
	l.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (l *closingWriter) Write(p []byte) (int, error) {
	if !l.headWritten {
		l.WriteHeader(http.StatusOK)
	}
	return l.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the connection.
func (l *closingWriter) Unwrap() http.ResponseWriter { return l.ResponseWriter }
