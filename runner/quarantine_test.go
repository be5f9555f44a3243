package runner_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
)

// Guards against a request that crashes every backend server that runs it, again and
// again, because its caller retries it.
var _ = Describe("A call that crashes the backend servers that run it", func() {
	const (
		maxCrashes = 3
		inFlight   = 1 // a copy that was sent before all hosts were notified
	)
	// startHosts starts hosts before five workers that crash on a poison request.
	startHosts := func(names ...string) (*fixture, *atomic.Int64) {
		crashes := &atomic.Int64{}
		t := &fixture{platform: faker.NewPlatform(), hosts: map[string]*runningHost{}}
		t.url = serve(t.platform.Handler())
		var workers []string
		for i := range 5 {
			var s *httptest.Server
			s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				if strings.Contains(string(body), "poison") {
					crashes.Add(1)
					s.CloseClientConnections() // a crash with an immediate restart
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, "done")
			}))
			DeferCleanup(s.Close)
			workers = append(workers, fmt.Sprintf(`{"name": "w-%d", "address": %q, "zone": "a", "slots": 8}`, i, strings.TrimPrefix(s.URL, "http://")))
		}
		t.push(fmt.Sprintf(`{
	"classes": {"quote": {"tier": 0, "whole": "10s"}},
	"organisations": {"dock": {"keys": [%q], "classes": ["quote"]}},
	"services": {"app": {"kind": "plain", "owner": "ops", "routes": [{"class": "quote", "path": "/holds", "once": true}, {"class": "quote"}], "workers": [%s]}}}`,
			loader.HashKey(key), strings.Join(workers, ",")))
		for _, name := range names {
			t.start(name, "a", nil)
		}
		Eventually(t.settled(len(names)), 20*time.Second, 50*time.Millisecond).Should(Succeed())
		return t, crashes
	}

	// Guards against one try more than allowed, because a host sends a call again before it has
	// counted what the last try did.
	It("is sent to no fourth by the host that it crashed three through", func() {
		t, crashes := startHosts("a")
		req, err := http.NewRequest(http.MethodPost, "http://"+t.hosts["a"].listen+"/services/app/quote", strings.NewReader("poison"))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(crashes.Load()).To(BeEquivalentTo(maxCrashes))
	})

	DescribeTable("is quarantined after the third crash, by all hosts", func(path string, keyed bool) {
		t, crashes := startHosts("a", "b", "c")
		status, text, calls := 0, "", 0
		call := func(h *runningHost, body string) (int, string) {
			req, err := http.NewRequest(http.MethodPost, "http://"+h.listen+path, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+key)
			if calls++; keyed {
				req.Header.Set("Idempotency-Key", fmt.Sprint("key-", calls))
			}
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			return resp.StatusCode, string(b)
		}
		for range 6 {
			for _, h := range t.hosts {
				status, text = call(h, "poison")
			}
		}
		AddReportEntry("ends", fmt.Sprint(crashes.Load()))
		Expect(crashes.Load()).To(BeNumerically("<=", maxCrashes+inFlight))
		Expect(status).To(Equal(http.StatusServiceUnavailable), text)
		Expect(text).To(And(ContainSubstring(`"quarantine"`), ContainSubstring(`"run":"no"`), ContainSubstring(`"retry_after_ms":`)))
		for _, h := range t.hosts {
			status, text = call(h, "sound")
			Expect(status).To(Equal(http.StatusOK), text)
		}
		started := t.start("d", "a", nil)
		Eventually(t.settled(4), 20*time.Second, 50*time.Millisecond).Should(Succeed())
		Eventually(func() int { return len(started.state().Quarantine) }, 2*time.Second, 20*time.Millisecond).Should(Equal(1))
		before := crashes.Load()
		status, _ = call(started, "poison")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(crashes.Load()).To(Equal(before), "through a host that has just started")
	},
		Entry("where it may be repeated", "/services/app/quote", false),
		Entry("where it may not, and has no key", "/services/app/holds/1", false),
		Entry("where it may not, under another key each time", "/services/app/holds/1", true),
	)
})
