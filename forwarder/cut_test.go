package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/forwarder"
)

// Guards against a part of an answer that is passed on as a whole one.
var _ = DescribeTable("An answer that its backend server cuts off at any byte is no whole one", func(head, body string) {
	whole := "HTTP/1.1 200 OK\r\n" + head + "\r\n" + body
	var cut atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, _ = io.WriteString(conn, whole[:cut.Load()])
	})}
	go func() { _ = server.Serve(l) }()
	DeferCleanup(server.Close)
	f, clean := forwarder.New(connector.Direct{}, time.Second)
	DeferCleanup(clean)
	read := func(n int) error {
		cut.Store(int64(n))
		a, err := f.Do(context.Background(), l.Addr().String(), forwarder.Call{Method: http.MethodPost, Path: "/", RequestID: id})
		if err != nil {
			return err
		}
		defer a.Body.Close()
		_, err = io.ReadAll(a.Body)
		return err
	}
	for n := range len(whole) {
		Expect(read(n)).To(HaveOccurred(), "%q", whole[:n])
	}
	Expect(read(len(whole))).To(Succeed())
},
	Entry("with a length", "Content-Length: 12\r\n", "twelve bytes"),
	Entry("in chunks", "Transfer-Encoding: chunked\r\n", "c\r\ntwelve bytes\r\n10\r\nsixteen bytes ..\r\n0\r\n\r\n"),
	Entry("in chunks, with a trailer", "Transfer-Encoding: chunked\r\nTrailer: X\r\n", "c\r\ntwelve bytes\r\n0\r\nX: y\r\n\r\n"),
	Entry("without a body", "Content-Length: 0\r\n", ""),
)
