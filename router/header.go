package router

import (
	"net/http"
	"strings"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded (RFC 9110, section
// 7.6.1), and the headers that the sender sets itself.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// EndToEndHeader returns a copy of h without its hop-by-hop headers.
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
