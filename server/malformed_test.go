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

var _ = Describe("An answer of a plain service", func() {
	expectUnknown := func(g response) {
		Expect(g.broken).To(BeFalse())
		Expect(g.status).To(Equal(http.StatusBadGateway))
		Expect(g.run).To(Equal("unknown"))
	}
	// Guards against an answer that is passed on though its head is none of HTTP's, or that ends the connection of
	// the caller without any.
	for _, answer := range faker.MalformedAnswers("ok") {
		It("is not passed on with "+answer.Name, func() { expectUnknown(callRaw(answer.Text)) })
	}
	// Guards against bytes that are no events of a stream, as neither a length nor chunks bound it.
	DescribeTable("is not passed on as an event stream",
		func(framing, body string) {
			expectUnknown(callRaw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n\r\n" + body))
		},
		Entry("with a blank before the colon of its length", "Content-Length : 9", "data: 1\n\nmore"),
		Entry("with a blank before the colon of its encoding", "Transfer-Encoding : chunked", "9\r\ndata: 1\n\n\r\n0\r\n\r\n"),
	)
	for _, answer := range faker.UnusualAnswers("ok") {
		It("is passed on with "+answer.Name, func() {
			g := callRaw(answer.Text)
			Expect(g.status).To(Equal(http.StatusOK))
			Expect(g.body).To(Equal("ok"))
		})
	}
})
