package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/forwarder"
)

// ask returns the status and the body of a worker's answer, or the error of whichever step did not take it for
// whole.
func ask(answer string) (int, string, error) {
	f, clean := forwarder.New(connector.Direct{}, time.Second)
	DeferCleanup(clean)
	w := startRaw(&faker.RawWorker{Answer: answer})
	a, err := f.Do(context.Background(), w.Address(), forwarder.Call{Method: http.MethodPost, Path: "/", Body: []byte("x"), RequestID: id})
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return a.Status, string(body), err
}

// Guards against an answer that is passed on though HTTP has none of its form.
var _ = DescribeTable("An answer is refused",
	func(answer string) {
		status, body, err := ask(answer)
		Expect(err).To(MatchError(forwarder.ErrUnknown), "status %d, body %q", status, body)
		Expect(err).NotTo(MatchError(forwarder.ErrNotRun))
	},
	Entry("with status 000", "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok"),
	Entry("with status 099", "HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok"),
	Entry("with a status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok"),
)

// Guards against a sound answer that is refused with the malformed ones.
var _ = DescribeTable("An answer is whole",
	func(answer, expected string) {
		status, body, err := ask(answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal(expected))
	},
	Entry("after informational ones", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"),
	Entry("without a reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", "ok"),
)
