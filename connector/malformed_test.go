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

var _ = Describe("An answer", func() {
	// Guards against an answer that is passed on though HTTP has none of its form, and against a part of its body
	// that is taken for the next answer.
	for _, answer := range faker.MalformedAnswers("ok") {
		It("is refused with "+answer.Name, func() {
			body, err := ask(answer.Text)
			Expect(err).To(MatchError(connector.ErrLost), "body %q", body)
		})
	}
	It("is refused with a blank in a name of an informational answer before it", func() {
		_, err := ask("HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + response("1", "own"))
		Expect(err).To(MatchError(connector.ErrMalformed))
	})

	// Guards against a sound answer that is refused with the malformed ones.
	for _, answer := range faker.UnusualAnswers("ok") {
		It("is whole with "+answer.Name, func() {
			Expect(ask(answer.Text)).To(Equal("ok"))
		})
	}
})

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
