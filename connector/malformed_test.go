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
)

// Guards against a sound answer that is refused with the malformed ones.
var _ = DescribeTable("An answer is whole",
	func(answer, expected string) {
		Expect(ask(answer)).To(Equal(expected))
	},
	Entry("after informational ones", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+inner, "forged"),
	Entry("without a reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", "ok"),
)
