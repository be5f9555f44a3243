package server_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/reserver"
	"github.com/cicadawood/cicadawood/server"
)

// Guards against a host that is killed because many callers send heads of many lines without an end.
var _ = It("Heads of callers that are still arriving count for the memory by their lines", func() {
	const callers, lines = 60, 5000
	answered := make(chan string, callers)
	s := startFixture(options{limits: func(l *loader.Limits) { l.MaxBuffered = 4 << 20 }})
	address := strings.TrimPrefix(s.url, "http://")
	for range callers {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\n"+strings.Repeat("a:b\r\n", lines)) }()
		go func() {
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second)) // sooner than a head may take
			got, _ := io.ReadAll(c)
			answered <- string(got)
		}()
	}
	Eventually(func() int64 { return s.memory.Refused(reserver.Request) }, "5s").Should(BeNumerically(">", 0))
	_, most := s.memory.Taken()
	Expect(most).To(BeNumerically("<=", 4<<20))
	for range callers {
		Expect(<-answered).NotTo(HavePrefix("HTTP/1.1 400"), "closed unread")
	}
	for range 3 {
		g := s.send(s.request(context.Background(), "/v1/chat/completions", completionBody(true)))
		Expect(g.status).To(Equal(http.StatusOK), fmt.Sprint(g))
	}
})

// lateConn is a connection whose read ends with data only as it is closed.
type lateConn struct {
	net.Conn
	closed chan struct{}
}

func (c lateConn) Read(b []byte) (int, error) {
	<-c.closed
	return copy(b, "late"), nil
}

func (c lateConn) Close() error {
	close(c.closed)
	return nil
}

// oneListener accepts one connection.
type oneListener struct {
	net.Listener
	conn net.Conn
}

func (l oneListener) Accept() (net.Conn, error) { return l.conn, nil }

// Guards against memory that is reserved for good by a read that ends after its connection.
var _ = It("A connection that is closed reserves nothing", func() {
	memory := reserver.New(1 << 20)
	c, err := server.Metered(oneListener{conn: lateConn{closed: make(chan struct{})}}, memory).Accept()
	Expect(err).NotTo(HaveOccurred())
	read := make(chan int)
	go func() {
		n, _ := c.Read(make([]byte, 10))
		read <- n
	}()
	Expect(c.Close()).To(Succeed())
	Eventually(read).Should(Receive(Equal(4)))
	taken, _ := memory.Taken()
	Expect(taken).To(BeZero())
})

// Guards against memory that is lost with each request of a kept connection.
var _ = It("The memory for heads and bodies is given back after each request", func() {
	s := startFixture(options{})
	for range 20 {
		Expect(s.send(s.request(context.Background(), "/services/desk/log", "x")).status).To(Equal(http.StatusOK))
	}
	s.client.CloseIdleConnections()
	Eventually(func() int64 { taken, _ := s.memory.Taken(); return taken }, "5s").Should(BeZero())
})

// Guards against callers that wait for the end of a connection that the host has ended.
var _ = It("A caller whose body is too large reads the answer that says so, and the end of its connection at once", func() {
	s := startFixture(options{limits: func(l *loader.Limits) { l.MaxBody = 64 << 10 }})
	for range 3 {
		c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		head := "POST /services/desk/log HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\nTransfer-Encoding: chunked\r\n\r\n"
		_, _ = io.WriteString(c, head+fmt.Sprintf("%x\r\n", 1<<30)+strings.Repeat("x", 600<<10))
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(io.Copy(io.Discard, resp.Body)).To(BeNumerically(">", 0))
		_ = resp.Body.Close()
		Expect(c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))).To(Succeed()) // net/http closes after 500 ms
		_, err = r.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	}
})
