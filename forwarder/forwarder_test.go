package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/forwarder"
)

const id = "cw-1"

// read sends a call to an engine that streams text, and reads all events.
func read(text string) ([]forwarder.Event, error) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
	defer engine.Close()
	f, clean := forwarder.New(time.Second)
	defer clean()
	a, err := f.Do(context.Background(), engine.Listener.Addr().String(), forwarder.Call{Method: http.MethodPost, Path: "/", RequestID: id})
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	events, done := a.Events()
	defer done()
	var out []forwarder.Event
	for {
		v, err := events.Next()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		v.Raw = nil
		out = append(out, v)
	}
}

func event(id, text string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", id, text)
}

var token = forwarder.Event{Tokens: 1}

var _ = Describe("Events", func() {
	DescribeTable("reads",
		func(text string, want ...forwarder.Event) {
			got, err := read(text)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(want))
		},
		Entry("tokens", event(id, "a")+event(id, "b")+event(id, "c"), token, token, token),
		Entry("an empty text as no token, after tokens of its shape", event(id, "a")+event(id, ""), token, forwarder.Event{}),
		Entry("text with quotes, after tokens of its shape", event(id, "a")+event(id, `","x":"`)+event(id, "b"), token, token, token),
		Entry("more in one event, after tokens that begin and end like it",
			event(id, "a")+`data: {"id":"cw-1","choices":[{"delta":{"content":"x"},"finish_reason":"stop"},{"delta":{"content":"y"},"finish_reason":null}]}`+"\n\n",
			token, forwarder.Event{Tokens: 2, Finished: true}),
		Entry("ids behind an engine's own prefix", event("chatcmpl-"+id, "a"), token),
		Entry("ids that the engine makes up", event("chatcmpl-9", "a")+event("chatcmpl-9", "b"), token, token),
		Entry("a reason for the end, and usage", `data: {"choices":[{"finish_reason":"stop"}],"usage":{"completion_tokens":3}}`+"\n\n", forwarder.Event{Finished: true, Usage: 3}),
		Entry("a failure", `data: {"error":{"message":"x"}}`+"\n\n", forwarder.Event{Failed: true}),
		Entry("a comment", ": wait\n\n", forwarder.Event{}),
		Entry("an end mark without its blank line", "data: [DONE]", forwarder.Event{Done: true}),
		Entry("data over two lines and CRLF", "data: {\"choices\":\r\ndata: [{\"text\":\"x\"}]}\r\n\r\n", token),
	)

	DescribeTable("refuses",
		func(text string, want error) {
			_, err := read(text)
			Expect(err).To(MatchError(want))
		},
		Entry("another request's id", event("cw-2", "a"), forwarder.ErrMismatched),
		Entry("another's after its own", event(id, "a")+event("cw-2", "b"), forwarder.ErrMismatched),
		Entry("a made-up id that changes", event("x", "a")+event("y", "b"), forwarder.ErrMismatched),
		Entry("an event that was cut", event(id, "a")+`data: {"id":"cw-1","choices":[]}`, io.ErrUnexpectedEOF),
		Entry("an end mark that was cut", "data: [DON", io.ErrUnexpectedEOF),
		Entry("what is not JSON", "data: {\n\n", forwarder.ErrEvent),
	)
})

// A worker freezes, or the connection to it is lost, while a long prompt is on
// its way. Nothing comes back that a bound on the answer could wait for.
var _ = It("gives up a backend server that takes nothing more of a request", func() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	f, clean := forwarder.New(time.Second)
	defer clean()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	// The system takes the connection, and no more than its buffers hold.
	_, err = f.Do(ctx, l.Addr().String(), forwarder.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 32<<20), RequestID: id})
	Expect(err).To(MatchError(forwarder.ErrUnknown))
	Expect(ctx.Err()).NotTo(HaveOccurred(), "long before the call's deadline")
})
