package server

import "net/http"

// Drain makes the server unready for good. Requests that still come are served,
// on a connection that ends with them: the balancer's pool then empties by
// itself, where closing its idle connections could cut a request on its way.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining says whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// AbortAll ends every request in flight.
func (s *Server) AbortAll() { _ = s.http.Close() }

// closing ends a caller's connection after the answer while the server drains.
func (s *Server) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Draining() {
			w = &lastWriter{ResponseWriter: w}
		}
		next.ServeHTTP(w, r)
	})
}

// lastWriter writes the last answer of a connection. It sets the header when the
// head is written: before, headers of a backend server may replace it.
type lastWriter struct {
	http.ResponseWriter
	headed bool
}

// WriteHeader implements http.ResponseWriter.
func (l *lastWriter) WriteHeader(status int) {
	l.headed = true
	l.Header().Set("Connection", "close")
	l.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (l *lastWriter) Write(p []byte) (int, error) {
	if !l.headed {
		l.WriteHeader(http.StatusOK)
	}
	return l.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (l *lastWriter) Unwrap() http.ResponseWriter { return l.ResponseWriter }
