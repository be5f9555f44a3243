package commander_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/commander"
	"github.com/cicadawood/cicadawood/runner"
)

var _ = Describe("held", func() {
	It("lists parts and requests, and releases one", func() {
		var released []string
		state := runner.State{Routing: &runner.RoutingState{Quarantine: []runner.QuarantinedRequest{
			{Fingerprint: "706172000000000a", Part: "000000000a", For: 90 * time.Second, Workers: []string{"w-1", "w-2"}},
			{Fingerprint: "00000000000000ff", For: time.Second},
		}}}
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				released = append(released, r.URL.Path)
				w.WriteHeader(http.StatusNoContent)
				return
			}
			_ = json.NewEncoder(w).Encode(state)
		}))
		DeferCleanup(s.Close)
		address := strings.TrimPrefix(s.URL, "http://")
		out, _, code := run("", "held", address)
		Expect(code).To(Equal(commander.ExitOK))
		Expect(out).To(Equal("KIND     ID                LEFT   WORKERS\npart     000000000a        1m30s  w-1,w-2\nrequest  00000000000000ff  1s     \n"))
		out, _, code = run("", "held", "--release", "000000000a", address)
		Expect(code).To(Equal(commander.ExitOK))
		Expect(out).To(Equal("released\n"))
		Expect(released).To(Equal([]string{"/release/000000000a"}))
	})
})
