package server

import "net/http"

// Drain makes the server unready for good. Requests that still come are served,
// on a connection that ends with them: the balancer's pool then empties by
// itself, where closing its idle connections could cut a request on its way.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining says whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Cut ends every request in flight.
func (s *Server) Cut() { _ = s.http.Close() }

// closing ends a caller's connection after the answer while the server drains.
func (s *Server) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
