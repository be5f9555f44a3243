package connector_test

import (
	"context"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/faker"
)

// inner is a whole answer, as the body of another one.
const inner = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"

// ask returns the body of a worker's answer, or the error of whichever step did not take it for whole.
func ask(answer string) (string, error) {
	pool, clean := connector.New(connector.Direct{})
	DeferCleanup(clean)
	w := startRaw(&faker.RawWorker{Answer: answer})
	a, err := pool.Do(context.Background(), w.Address(), connector.Call{Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("x")})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

// Guards against an answer that is passed on though HTTP has none of its form, and against a part of its body
// that is taken for the next answer.
var _ = DescribeTable("An answer is refused",
	func(answer string) {
		body, err := ask(answer)
		Expect(err).To(MatchError(connector.ErrLost), "body %q", body)
	},
	Entry("with status 000, whose body is an answer", "HTTP/1.1 000 Odd\r\nContent-Length: 44\r\n\r\n"+inner),
	Entry("with status 000, before another answer", "HTTP/1.1 000 Odd\r\n\r\n"+inner),
	Entry("with status 099, whose body is an answer", "HTTP/1.1 099 Odd\r\nContent-Length: 44\r\n\r\n"+inner),
	Entry("with status 000 alone", "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n"),
	Entry("with status 099 alone", "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n"),
	Entry("with a status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("with a negative status", "HTTP/1.1 -12 Odd\r\nContent-Length: 0\r\n\r\n"),
	Entry("with a blank before the colon of its length", withLine("Content-Length : 2")),
	Entry("with a blank before the colon of its encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
	Entry("with a blank in a name", withLine("X Odd: 1")),
	Entry("with a blank in a name of its trailer", inChunks("X Odd: 1")),
	Entry("with a blank in a name of an informational answer before it", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n"+inner),
	Entry("with a control byte in a name", withLine("X\x01Odd: 1")),
	Entry("with a tab in a name", withLine("X\tOdd: 1")),
	Entry("with a NUL in a name", withLine("X\x00Odd: 1")),
	Entry("with a DEL in a name", withLine("X\x7fOdd: 1")),
	Entry("with a bare return in a name", withLine("X\rOdd: 1")),
	Entry("with a high byte in a name", withLine("X\xe9Odd: 1")),
	Entry("with an empty name", withLine(": 1")),
	Entry("with a line without a colon", withLine("Odd")),
	Entry("with a control byte in a value", withLine("Odd: \x01")),
	Entry("with a control byte in a name of its trailer", inChunks("X\x01Odd: 1")),
)

// withLine returns a sound answer with a further line in its head.
func withLine(line string) string {
	return "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok"
}

// inChunks returns a sound answer in chunks with a line in its trailer.
func inChunks(line string) string {
	return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n\r\n"
}

// Guards against an answer to another request that is skipped by a length that can't be believed.
var _ = It("An answer to another request is not skipped if it is malformed", func() {
	pool, clean := connector.New(connector.Direct{})
	DeferCleanup(clean)
	w := startRaw(&faker.RawWorker{Answer: "HTTP/1.1 200 OK\r\nId: 7\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok" + response("1", "own")})
	_, err := pool.Do(context.Background(), w.Address(), connector.Call{
		Method: http.MethodGet, Target: "/", Host: "h",
		Matches: func(h http.Header) bool { return h.Get("Id") == "1" },
	})
	Expect(err).To(MatchError(connector.ErrMalformed))
})

// Guards against a sound answer that is refused with the malformed ones.
var _ = DescribeTable("An answer is whole",
	func(answer, expected string) {
		Expect(ask(answer)).To(Equal(expected))
	},
	Entry("after informational ones", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+inner, "forged"),
	Entry("without a reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", "ok"),
	Entry("with all bytes that a name may have", withLine("X-aZ09!#$%&'*+.^_`|~: 1"), "ok"),
	Entry("with blanks and tabs around a value", withLine("Odd: \t 1 \t"), "ok"),
	Entry("with an empty value", withLine("Odd:"), "ok"),
	Entry("with a field that comes twice", withLine("Odd: 1\r\nodd: 2"), "ok"),
	Entry("in chunks with a trailer", inChunks("X-Sum: 1"), "ok"),
	Entry("in chunks with a trailer that its head announces", "HTTP/1.1 200 OK\r\nTrailer: X-Sum, X-More\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", "ok"),
)
