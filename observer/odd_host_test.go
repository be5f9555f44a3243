package observer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
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
	Entry("a number of 20 digits", `{"service":"lm","name":"odd","slots":99999999999999999999}`),
	Entry("slots that can't be added up", `{"service":"lm","name":"odd","slots":9223372036854775807}`),
	Entry("negative slots", `{"service":"lm","name":"odd","slots":-1}`),
	Entry("a port out of range", `{"service":"lm","name":"odd","address":"192.0.2.1:65536"}`),
	Entry("no port", `{"service":"lm","name":"odd","address":"192.0.2.1"}`),
	Entry("a name of 1 MiB", `{"service":"lm","name":"`+strings.Repeat("x", 1<<20)+`"}`),
	Entry("a zone of 1 MiB", `{"service":"lm","name":"odd","zone":"`+strings.Repeat("x", 1<<20)+`"}`),
	Entry("no object", `17`),
)

// Guards against a part of the host list that is taken for the whole one.
var _ = DescribeTable("A host list that is not whole is none", func(text string, stated int) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(max(stated, len(text))))
		_, _ = w.Write([]byte(text))
	}))
	DeferCleanup(server.Close)
	client, clean := observer.NewClient(server.URL, connector.Direct{})
	DeferCleanup(clean)
	list, err := client.List(context.Background())
	Expect(err).To(MatchError(observer.ErrUnavailable))
	Expect(list).To(BeEmpty())
},
	Entry("stated longer than it is", `{"hosts":[{"service":"lm","name":"good"}]}`, 100),
	Entry("cut off", `{"hosts":[{"service":"lm","name":"good"}`, 0),
	Entry("of over 4 MiB", `{"hosts":[{"service":"lm","name":"good","x":"`+strings.Repeat("x", 4<<20)+`"}]}`, 0),
)

// Guards against a report that is used in part, or ends the process that reads it.
var _ = DescribeTable("An odd load report is none", func(text string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }))
	DeferCleanup(server.Close)
	client, clean := observer.NewClient("http://192.0.2.1:1", connector.Direct{})
	DeferCleanup(clean)
	report, err := client.Report(context.Background(), server.Listener.Addr().String())
	Expect(err).To(MatchError(observer.ErrUnavailable))
	Expect(report).To(BeZero())
},
	Entry("deep", `{"leaving":true,"running":1,"x":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`}`),
	Entry("a number too large", `{"leaving":true,"running":1e400}`),
	Entry("a number of 20 digits", `{"leaving":true,"running":99999999999999999999}`),
	Entry("a number that can't be added up", `{"leaving":true,"running":9223372036854775807}`),
	Entry("a negative number", `{"leaving":true,"waiting":-1}`),
	Entry("of over 64 KiB", `{"leaving":true,"x":"`+strings.Repeat("x", 64<<10)+`"}`),
	Entry("no object", `17`),
)
