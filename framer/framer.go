// Package framer keeps bytes of a request's body from being taken for a request (request
// smuggling), where two readers of a connection may disagree on where a request ends.
package framer

import "net/http"

// Ambiguous reports whether a request may be read in two ways, so that its connection must not be used
// again.
//
// net/http follows the chunks of a request that states its length too, and drops the stated length, so that
// such a request can't be distinguished from one with chunks alone. Of HTTP/1.0 it drops the chunks.
func Ambiguous(r *http.Request) bool {
	return len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1)
}

// Guard has the connection of an ambiguous request closed after the answer. It must be called before
// anything answers the request.
func Guard(w http.ResponseWriter, r *http.Request) {
	if Ambiguous(r) {
		w.Header().Set("Connection", "close")
	}
}

// Handler is a handler that calls Guard before h.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Guard(w, r)
		h.ServeHTTP(w, r)
	})
}
