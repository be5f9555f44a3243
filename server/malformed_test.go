package server_test

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
)

// callRaw sends a call to a plain service, whose only worker gives an answer, and returns what the caller got.
func callRaw(answer string) response {
	w := &faker.RawWorker{Answer: answer}
	stop, err := w.Start()
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	s := startFixture(options{})
	s.allocator.workers = []loader.Worker{{Name: "raw", Address: w.Address(), Slots: 16}}
	return s.send(s.request(context.Background(), "/services/desk/log", strings.Repeat("u", 100)))
}

// Guards against an answer that is passed on though its head is none of HTTP's, or that ends the connection of
// the caller without any.
var _ = DescribeTable("A malformed answer is not passed on",
	func(answer string) {
		g := callRaw(answer)
		Expect(g.broken).To(BeFalse())
		Expect(g.status).To(Equal(http.StatusBadGateway))
		Expect(g.run).To(Equal("unknown"))
	},
	Entry("with status 000", "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok"),
	Entry("with status 099", "HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok"),
	Entry("with a blank before the colon of its length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok"),
	Entry("with a blank before the colon of the length of an event stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length : 9\r\n\r\ndata: 1\n\nmore"),
	Entry("with a blank before the colon of the encoding of an event stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding : chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n"),
	Entry("with a blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok"),
	Entry("with a control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok"),
)

var _ = It("An answer without a reason is passed on", func() {
	g := callRaw("HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok")
	Expect(g.status).To(Equal(http.StatusOK))
	Expect(g.body).To(Equal("ok"))
})
