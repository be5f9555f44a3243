package faker

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cicadawood/cicadawood/platform"
)

const statusLine = "HTTP/1.1 200 OK"

// head returns the head of an answer to a request, with further lines.
func (k *Worker) head(r *http.Request, lines ...string) string {
	return k.headOf(r.Header.Get(platform.HeaderRequestID), lines...)
}

// headOf is head of an answer to the request with an ID.
func (k *Worker) headOf(id string, lines ...string) string {
	own := []string{statusLine, platform.HeaderRequestID + ": " + id, platform.HeaderSeal + ": " + k.ID}
	return strings.Join(append(own, lines...), "\r\n") + "\r\n\r\n"
}

// contentLength returns the line of a head that states the length of a body.
func contentLength(body string) string { return fmt.Sprint("Content-Length: ", len(body)) }
