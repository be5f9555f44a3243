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
	Entry("with a blank before the colon of its length", withLine("Content-Length : 2")),
	Entry("with a blank before the colon of its encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
	Entry("with a blank in a name", withLine("X Odd: 1")),
	Entry("with a blank in a name, which states that the call was not run", "HTTP/1.1 503 Busy\r\nX Odd: 1\r\nX-Run: no\r\nContent-Length: 0\r\n\r\n"),
	Entry("with a blank in a name of its trailer", inChunks("X Odd: 1")),
	Entry("with a control byte in a name", withLine("X\x01Odd: 1")),
	Entry("with a tab in a name", withLine("X\tOdd: 1")),
	Entry("with a NUL in a name", withLine("X\x00Odd: 1")),
	Entry("with a high byte in a name", withLine("X\xe9Odd: 1")),
	Entry("with an empty name", withLine(": 1")),
	Entry("with a line without a colon", withLine("Odd")),
	Entry("with a control byte in a value", withLine("Odd: \x01")),
)

// withLine returns a sound answer with a further line in its head.
func withLine(line string) string {
	return "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok"
}

// inChunks returns a sound answer in chunks with a line in its trailer.
func inChunks(line string) string {
	return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n\r\n"
}

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
	Entry("with all bytes that a name may have", withLine("X-aZ09!#$%&'*+.^_`|~: 1"), "ok"),
	Entry("with blanks and tabs around a value", withLine("Odd: \t 1 \t"), "ok"),
	Entry("in chunks with a trailer", inChunks("X-Sum: 1"), "ok"),
)
