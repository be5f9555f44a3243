package driver_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/driver"
	"github.com/cicadawood/cicadawood/faker"
)

func TestDriver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "driver")
}

// Guards against a host that passes although it doubles, loses or mixes up tokens, because
// it ends its streams with [DONE].
var _ = DescribeTable("Traffic checks tokens",
	func(good bool, tokens ...string) {
		host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", "cw-1")
			if !strings.HasPrefix(r.URL.Path, "/v1/") {
				fmt.Fprint(w, "{}")
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			for _, t := range tokens {
				fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", t)
			}
			fmt.Fprint(w, "data: [DONE]\n\n")
		}))
		defer host.Close()
		t := driver.Traffic{Hosts: []string{host.Listener.Addr().String()}, Length: 100 * time.Millisecond, Rate: 400}
		r, err := t.Run(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Passed()).To(Equal(good))
	},
	Entry("whole", true, faker.Token("cw-1", 0), faker.Token("cw-1", 1)),
	Entry("doubled", false, faker.Token("cw-1", 0), faker.Token("cw-1", 0), faker.Token("cw-1", 1)),
	Entry("missing", false, faker.Token("cw-1", 0), faker.Token("cw-1", 2)),
	Entry("another's", false, faker.Token("cw-1", 0), faker.Token("cw-2", 1)),
	Entry("none", false),
)
