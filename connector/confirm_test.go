package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
)

// Guards against half an answer taken for whole because another connection to its server, whose
// process is about to end, has not been closed yet.
var _ = DescribeTable("An answer that ends with its connection, while an idle connection is open and no new one is accepted",
	func(steady, whole bool) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			first, err := l.Accept()
			if err != nil {
				return
			}
			DeferCleanup(first.Close)
			second, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(first))
			_, _ = http.ReadRequest(bufio.NewReader(second))
			_, _ = io.WriteString(first, response("1", "kept"))
			_, _ = io.WriteString(second, "HTTP/1.1 200 OK\r\nId: 2\r\n\r\nhalf")
			_ = l.Close()
			_ = second.Close()
		}()
		pool, clean := connector.New(connector.Direct{})
		DeferCleanup(clean)
		pool.SetSteady(map[string]bool{l.Addr().String(): steady})
		call := connector.Call{Method: http.MethodGet, Target: "/", Host: "h"}
		kept := make(chan *connector.Answer, 1)
		go func() {
			defer GinkgoRecover()
			a, err := pool.Do(context.Background(), l.Addr().String(), call)
			Expect(err).NotTo(HaveOccurred())
			kept <- a
		}()
		half, err := pool.Do(context.Background(), l.Addr().String(), call)
		Expect(err).NotTo(HaveOccurred())
		other := <-kept
		if half.Framed {
			half, other = other, half
		}
		_, err = io.Copy(io.Discard, other)
		Expect(err).NotTo(HaveOccurred())
		other.Finish()
		_, err = io.Copy(io.Discard, half)
		Expect(err).NotTo(HaveOccurred())
		defer half.Close()
		if whole {
			Expect(half.ConfirmEnd()).To(Succeed())
		} else {
			Expect(half.ConfirmEnd()).To(MatchError(connector.ErrLost))
		}
	},
	Entry("is whole if its server is not leaving", true, true),
	Entry("is not if it is", false, false),
)
