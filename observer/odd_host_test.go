package observer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/observer"
)

// Guards against a host list that isn't followed any more for one odd element of it.
var _ = DescribeTable("An odd element of the host list costs no other", func(element string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"hosts":[` + element + `,{"service":"lm","name":"good"}]}`))
	}))
	DeferCleanup(server.Close)
	client, clean := observer.NewClient(server.URL, connector.Direct{})
	DeferCleanup(clean)
	list, err := client.List(context.Background())
	Expect(err).NotTo(HaveOccurred())
	Expect(list).To(Equal([]observer.Listing{{Service: "lm", Name: "good"}}))
},
	Entry("deep", `{"service":"lm","name":"odd","x":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`}`),
	Entry("a number too large", `{"service":"lm","name":"odd","slots":1e400}`),
	Entry("no object", `17`),
)
