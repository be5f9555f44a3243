package connector_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/reserver"
)

// endless accepts connections and writes the same text on each without an end, up to a limit.
type endless struct {
	address string
	written atomic.Int64
}

const endlessLimit = 64 << 20

func newEndless(first, text string) *endless {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	e := &endless{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.write(c, first, text)
		}
	}()
	return e
}

func (e *endless) write(c net.Conn, first, text string) {
	defer c.Close()
	if _, err := io.WriteString(c, first); err != nil {
		return
	}
	piece := strings.Repeat(text, 1+4096/len(text))
	for e.written.Load() < endlessLimit {
		n, err := io.WriteString(c, piece)
		e.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Guards against a host that is killed because a worker's answer has no end.
var _ = DescribeTable("An answer without an end takes a bounded part of the memory",
	func(first, text string) {
		pool, clean := connector.New(connector.Direct{})
		DeferCleanup(clean)
		e := newEndless(first, text)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		a, err := pool.Do(ctx, e.address, connector.Call{Method: http.MethodGet, Target: "/", Host: "h"})
		if err == nil {
			_, err = io.Copy(io.Discard, io.LimitReader(a, endlessLimit/2))
			a.Close()
		}
		Expect(err).To(MatchError(connector.ErrLost))
		// What the sockets hold counts as written.
		Eventually(e.written.Load).Should(BeNumerically("<", endlessLimit/4))
	},
	Entry("of bytes that are no answer", "", "x"),
	Entry("in its status line", "HTTP/1.1 200 ", "x"),
	Entry("in a line of its head", "HTTP/1.1 200 OK\r\nX: ", "x"),
	Entry("in the number of its lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"),
	Entry("in informational answers", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"),
	Entry("in informational answers with a large head", "", "HTTP/1.1 103 Early Hints\r\nX: "+strings.Repeat("y", 60000)+"\r\n\r\n"),
	Entry("in the head of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
	Entry("in its trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),
	Entry("in extensions of chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("e", 1000)+"\r\nx\r\n"),
)

// Guards against a host that is killed because many workers stop in the middle of heads of many lines,
// each of which takes far more memory than bytes.
var _ = It("heads that are still arriving count for the memory by their lines", func() {
	const limit, workers, lines = 2 << 20, 64, 5000
	m := reserver.New(limit)
	pool, clean := connector.New(connector.Direct{})
	DeferCleanup(clean)
	pool.SetMemory(m)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+strings.Repeat("a:b\r\n", lines)) }()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, workers)
	for range workers {
		go func() {
			_, err := pool.Do(ctx, l.Addr().String(), connector.Call{Method: http.MethodGet, Target: "/", Host: "h"})
			ended <- err
		}()
	}
	Eventually(func() int64 { return m.Refused(reserver.Head) }, "5s").Should(BeNumerically(">", 0))
	_, most := m.Taken()
	Expect(most).To(BeNumerically("<=", limit))
	cancel()
	for range workers {
		Eventually(ended, "5s").Should(Receive(HaveOccurred()))
	}
	taken, _ := m.Taken()
	Expect(taken).To(BeZero())
})
