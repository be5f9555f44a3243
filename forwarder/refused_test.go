package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/forwarder"
)

// Guards against calls to a backend server before the time is over for which it asked for none.
var _ = DescribeTable("A refusal reports for how long the backend server wants no calls", func(value string, expected time.Duration) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(forwarder.HeaderRun, "no")
		w.Header().Set("Retry-After", value)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	DeferCleanup(backend.Close)
	f, clean := forwarder.New(connector.Direct{}, time.Second)
	DeferCleanup(clean)
	reported := map[string]time.Duration{}
	f.OnRefused(func(address string, retryAfter time.Duration) { reported[address] = retryAfter })
	_, err := f.Do(context.Background(), backend.Listener.Addr().String(), forwarder.Call{Method: http.MethodPost, Path: "/", RequestID: id})
	Expect(err).To(MatchError(forwarder.ErrNotRun))
	Expect(reported).To(Equal(map[string]time.Duration{backend.Listener.Addr().String(): expected}))
},
	Entry("seconds", "10", 10*time.Second),
	Entry("a fraction", "0.5", 500*time.Millisecond),
	Entry("over a minute", "3600", time.Minute),
	Entry("none", "", time.Duration(0)),
	Entry("unreadable", "soon", time.Duration(0)),
	Entry("less than none", "-1", time.Duration(0)),
)
