package observer_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/observer"
)

// readFrom reads the host list and a load report from a server that gives one answer to all calls.
func readFrom(answer string) (listErr, reportErr error) {
	w := &faker.RawWorker{Answer: answer}
	stop, err := w.Start()
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	c, clean := observer.NewClient("http://"+w.Address(), connector.Direct{})
	DeferCleanup(clean)
	_, listErr = c.List(context.Background())
	_, reportErr = c.Report(context.Background(), w.Address())
	return listErr, reportErr
}

// Guards against a list or a report that is believed though the answer's head is none of HTTP's.
var _ = DescribeTable("A malformed answer is no list and no report",
	func(answer string) {
		listErr, reportErr := readFrom(answer)
		Expect(listErr).To(MatchError(observer.ErrUnavailable))
		Expect(reportErr).To(MatchError(observer.ErrUnavailable))
	},
	Entry("with status 000", "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("with status 099", "HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("with a blank before the colon of its length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}"),
	Entry("with a blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("with a blank in a name, and status 404", "HTTP/1.1 404 None\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("with a control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\n{}"),
)

var _ = It("An answer without a reason is a list and a report", func() {
	listErr, reportErr := readFrom("HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n{}")
	Expect(listErr).NotTo(HaveOccurred())
	Expect(reportErr).NotTo(HaveOccurred())
})
