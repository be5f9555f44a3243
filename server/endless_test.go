package server_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
)

// Guards against a host whose processor is taken by a stream of events without an end.
var _ = It("A stream that has far more events than its request allows tokens is broken off", func() {
	var written atomic.Int64
	const events = 1_000_000
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for range events {
			if r.Context().Err() != nil {
				return
			}
			_, _ = fmt.Fprint(w, `data: {"choices":[{"delta":{"content":"x"}}]}`+"\n\n")
			written.Add(1)
		}
	}))
	DeferCleanup(engine.Close)
	s := startFixture(options{})
	s.allocator.workers = []loader.Worker{{Name: "endless", Address: engine.Listener.Addr().String(), Slots: 16}}
	g := s.send(s.request(context.Background(), "/v1/chat/completions", completionBody(true)))
	Expect(g.done).To(BeFalse())
	Expect(g.broken || g.code != "").To(BeTrue())
	Expect(written.Load()).To(BeNumerically("<", events))
})
