package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/forwarder"
)

// closingServer is a backend server that answers the first request of a connection and
// closes the connection after reading the second: the call ran, but its answer is lost.
type closingServer struct {
	mu   sync.Mutex
	seen map[string][]string // Idempotency-Key of each request, by request ID
}

func (c *closingServer) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r := bufio.NewReader(conn)
			for n := 0; ; n++ {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				c.mu.Lock()
				id := req.Header.Get(forwarder.HeaderRequest)
				c.seen[id] = append(c.seen[id], req.Header.Get("Idempotency-Key"))
				c.mu.Unlock()
				if n > 0 {
					return
				}
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}()
	}
}

// Guards against a call running twice because net/http resends it. The call is sent on a
// reused connection, the backend server runs it, and the connection breaks before the
// answer. net/http would resend it, as it has an Idempotency-Key and no body to rewind.
var _ = DescribeTable("a call whose connection breaks is not resent",
	func(method string, body []byte, key string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		c := &closingServer{seen: map[string][]string{}}
		go c.serve(l)
		f, clean := forwarder.New(connector.Direct{}, 5*time.Second)
		defer clean()
		do := func(request string) error {
			h := http.Header{}
			if key != "" {
				h.Set("Idempotency-Key", key)
			}
			a, err := f.Do(context.Background(), l.Addr().String(), forwarder.Call{Method: method, Path: "/holds", Header: h, Body: body, RequestID: request})
			if err == nil {
				_ = a.Body.Close()
			}
			return err
		}
		Expect(do("first")).To(Succeed())
		Expect(do("second")).To(MatchError(forwarder.ErrUnknown))
		c.mu.Lock()
		defer c.mu.Unlock()
		Expect(c.seen["second"]).To(Equal([]string{key}))
	},
	Entry("an empty POST with a key", http.MethodPost, nil, "k1"),
	Entry("a POST with a key", http.MethodPost, []byte(`{"seat":4}`), "k1"),
	Entry("a GET", http.MethodGet, nil, ""),
)
