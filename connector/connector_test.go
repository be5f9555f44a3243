package connector_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
)

func TestConnector(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connector")
}

// worker answers the requests of each connection by a script, one entry per request, and
// then stays silent. The entry "close" closes the connection, "reset" resets it.
type worker struct {
	address string
	conns   chan net.Conn
	seen    chan string // request lines and bodies
}

func newWorker(scripts ...[]string) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	w := &worker{address: l.Addr().String(), conns: make(chan net.Conn, 100), seen: make(chan string, 100)}
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.conns <- c
			go w.serve(c, scripts[min(i, len(scripts)-1)])
		}
	}()
	return w
}

func (w *worker) serve(c net.Conn, script []string) {
	r := bufio.NewReader(c)
	for _, answer := range script {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		w.seen <- req.Method + " " + req.RequestURI + " " + string(body)
		switch answer {
		case "close":
			_ = c.Close()
		case "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		default:
			_, _ = io.WriteString(c, answer)
			if strings.HasSuffix(answer, "\nthen close") {
				_ = c.Close()
			}
		}
	}
}

func response(id, body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), strings.Join(headers, ""), body)
}

var _ = Describe("Pool", func() {
	var pool *connector.Pool
	BeforeEach(func() {
		var clean func()
		pool, clean = connector.New(connector.Direct{})
		DeferCleanup(clean)
	})
	do := func(ctx context.Context, w *worker, id string) (string, error) {
		a, err := pool.Do(ctx, w.address, connector.Call{
			Method: http.MethodPost, Target: "/a%2Fb?" + id, Host: "h.example", Header: http.Header{"X": {"1"}}, Body: []byte("body"),
			Matches: func(h http.Header) bool { return h.Get("Id") == id },
		})
		if err != nil {
			return "", err
		}
		defer a.Close()
		body, err := io.ReadAll(a)
		if err == nil {
			a.Finish()
		}
		return string(body), err
	}
	bg := context.Background()

	It("reuses a connection, and sends requests unchanged", func() {
		w := newWorker([]string{response("1", "one"), response("2", "two")})
		Expect(do(bg, w, "1")).To(Equal("one"))
		Expect(do(bg, w, "2")).To(Equal("two"))
		Expect(w.conns).To(HaveLen(1))
		Expect(w.seen).To(Receive(Equal("POST /a%2Fb?1 body")))
		made, reused := pool.Counts()
		Expect([]uint64{made, reused}).To(Equal([]uint64{1, 1}))
	})

	// Guards against sending a request on an idle connection that the worker has closed.
	// The request would be lost, and fail without need if it must not be repeated.
	It("does not reuse a connection that the other end has closed", func() {
		w := newWorker([]string{response("1", "one") + "", "close"}, []string{response("2", "two")})
		Expect(do(bg, w, "1")).To(Equal("one"))
		c := <-w.conns
		Expect(c.Close()).To(Succeed())
		Eventually(func() (string, error) { return do(bg, w, "2") }, time.Second).Should(Equal("two"))
	})

	// Guards against an unexpected extra answer being read as the answer to the next
	// request on its connection.
	It("does not reuse a connection with unread data", func() {
		w := newWorker([]string{response("1", "one") + response("9", "nine")}, []string{response("2", "two")})
		Expect(do(bg, w, "1")).To(Equal("one"))
		Expect(do(bg, w, "2")).To(Equal("two"))
		Expect(w.conns).To(HaveLen(2))
	})

	// The extra answer arrives late, just before the expected one.
	It("skips an answer that belongs to another request", func() {
		w := newWorker([]string{response("0", "zero") + response("1", "one"), response("2", "two")}, []string{response("2", "two")})
		Expect(do(bg, w, "1")).To(Equal("one"))
		Expect(do(bg, w, "2")).To(Equal("two"))
		Expect(w.conns).To(HaveLen(2))
	})

	DescribeTable("reports that a request may have run",
		func(answer string) {
			w := newWorker([]string{answer})
			_, err := do(bg, w, "1")
			Expect(err).To(MatchError(connector.ErrLost))
			Expect(w.seen).To(HaveLen(1)) // it is never resent
		},
		Entry("when the connection is closed", "close"),
		Entry("when the connection is reset", "reset"),
		Entry("when the answer is truncated", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99\r\n\r\nhalf\nthen close"),
		Entry("when a chunked answer is truncated", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\nthen close"),
		Entry("when the answer is not HTTP", "nonsense\r\n\r\n\nthen close"),
		Entry("when all answers belong to other requests", response("7", "x")+response("8", "y")+response("9", "z")),
	)

	It("reports that a request was not sent if no connection was made", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		_, err = do(bg, &worker{address: l.Addr().String()}, "1")
		Expect(err).To(MatchError(connector.ErrNotSent))
	})

	// Guards against a connection closed by the worker being reported as silent, or the
	// other way round.
	It("distinguishes a connection closed by the worker from a silent one", func() {
		for script, ended := range map[string]bool{"close": true, "reset": true, "": false} {
			w := newWorker([]string{script})
			bounded, cancel := context.WithTimeout(bg, 100*time.Millisecond)
			_, err := pool.Do(bounded, w.address, connector.Call{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
			cancel()
			Expect(err).To(MatchError(connector.ErrLost))
			Expect(errors.Is(err, connector.ErrClosedByPeer)).To(Equal(ended), "%q: %v", script, err)
		}
	})

	It("ends a request and its connection when the context ends", func() {
		w := newWorker([]string{""})
		ctx, cancel := context.WithCancel(bg)
		done := make(chan error, 1)
		go func() {
			_, err := do(ctx, w, "1")
			done <- err
		}()
		Eventually(w.seen).Should(Receive())
		cancel()
		Eventually(done, time.Second).Should(Receive(MatchError(context.Canceled)))
		var b [1]byte
		_, err := (<-w.conns).Read(b[:])
		Expect(err).To(MatchError(io.EOF))
	})

	// Guards against reusing a connection whose request was not completely written,
	// because the worker answered early. The next request would be read as the rest of
	// that body.
	It("does not reuse a connection whose request was not completely written", func() {
		w := newWorker([]string{response("1", "one")}, []string{response("2", "two")})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			c, err := l.Accept()
			if err == nil {
				_, _ = io.WriteString(c, response("1", "early"))
			}
		}()
		a, err := pool.Do(bg, l.Addr().String(), connector.Call{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 32<<20)})
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(a)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("early"))
		a.Finish()
		Expect(pool.HasIdle(l.Addr().String())).To(BeFalse())
		Expect(do(bg, w, "1")).To(Equal("one"))
	})

	It("keeps an idle connection no longer than the server states", func() {
		w := newWorker([]string{response("1", "one", "Keep-Alive: timeout=1\r\n"), response("2", "two")}, []string{response("3", "three")})
		Expect(do(bg, w, "1")).To(Equal("one"))
		Expect(pool.HasIdle(w.address)).To(BeTrue())
		pool.CloseExpired(time.Now().Add(700 * time.Millisecond))
		Expect(pool.HasIdle(w.address)).To(BeFalse())
	})
})
