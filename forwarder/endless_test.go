package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/reserver"
)

// Guards against a host that is killed because engines send events without an end.
var _ = It("Events that are still arriving count for the memory", func() {
	const limit, streams = 4 << 20, 40
	leave := make(chan struct{})
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("data: " + strings.Repeat("x", 60<<10)))
		w.(http.Flusher).Flush()
		<-leave
	}))
	DeferCleanup(engine.Close)
	end := sync.OnceFunc(func() { close(leave) })
	DeferCleanup(end)
	f, clean := forwarder.New(connector.Direct{}, 10*time.Second)
	DeferCleanup(clean)
	memory := reserver.New(limit)
	var tasks sync.WaitGroup
	for range streams {
		tasks.Go(func() {
			defer GinkgoRecover()
			a, err := f.Do(context.Background(), engine.Listener.Addr().String(), forwarder.Call{Method: http.MethodPost, Path: "/", RequestID: id})
			Expect(err).NotTo(HaveOccurred())
			defer a.Body.Close()
			events, done := a.Events(memory.Reserve(reserver.Event))
			defer done()
			_, err = events.Next()
			Expect(err).To(HaveOccurred())
		})
	}
	Eventually(func() int64 { return memory.Refused(reserver.Event) }, "5s").Should(BeNumerically(">", 0))
	_, most := memory.Taken()
	Expect(most).To(BeNumerically("<=", limit))
	end()
	tasks.Wait()
	taken, _ := memory.Taken()
	Expect(taken).To(BeZero())
})
