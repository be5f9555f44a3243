package router

import (
	"net/http"
	"strings"
)

// hopHeaders are the headers of one connection, which are not passed on
// (RFC 9110, section 7.6.1), and those that the sender sets itself.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// EndToEndHeader is a copy of a header without what concerns one connection only.
func EndToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
