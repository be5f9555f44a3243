package server_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/reserver"
	"github.com/cicadawood/cicadawood/server"
)

// onceKeeper stands in for all keepers and returns a fixed verdict.
type onceKeeper struct {
	verdict messenger.OnceVerdict
	calls   []messenger.Once
}

func (k *onceKeeper) RunOnce(_ context.Context, m messenger.Once) (messenger.OnceVerdict, error) {
	k.calls = append(k.calls, m)
	return k.verdict, nil
}

type onceFolder struct{ folder *loader.Folder }

func (f onceFolder) Folder() (*loader.Folder, uint64) { return f.folder, 1 }

const onceSettings = `{
  "classes": {"hold": {"tier": 0, "whole": "2s"}},
  "organisations": {
    "dock": {"keys": ["KEY1"], "classes": ["hold"]},
    "quay": {"keys": ["KEY2"], "classes": ["hold"]}},
  "services": {"app": {"kind": "plain", "owner": "desk", "routes": [{"path": "/", "class": "hold", "once": true}],
    "workers": [{"name": "w", "address": "127.0.0.1:1", "zone": "a", "slots": 1}]}}}`

type onceAnswer struct {
	status int
	header http.Header
}

// oncePlace hands out the place of a single worker.
type oncePlace struct{ address string }

func (p oncePlace) Acquire(_ context.Context, _ string, a messenger.Ask) (server.Place, error) {
	return server.Place{Request: a.Request, Worker: loader.Worker{Name: "w", Address: p.address}}, nil
}
func (oncePlace) Release(server.Place, server.Usage) {}
func (oncePlace) Progress(server.Place, int)         {}

// onceServer starts a server for calls that must not be repeated, and returns a function
// that makes one.
func onceServer(k *onceKeeper) func(apiKey, body string, h http.Header) (onceAnswer, string) {
	return onceServerAt(k, "127.0.0.1:1")
}

func onceServerAt(k *onceKeeper, worker string) func(apiKey, body string, h http.Header) (onceAnswer, string) {
	text := strings.NewReplacer("KEY1", loader.HashKey("dock"), "KEY2", loader.HashKey("quay")).Replace(onceSettings)
	folder, err := loader.Files{"all.jsonc": text}.Parse()
	Expect(err).NotTo(HaveOccurred())
	settings, err := loader.ParseHost("h", []byte(`{"name": "h", "zone": "a", "platform": "http://127.0.0.1:1", "listen": "127.0.0.1:2", "control": "127.0.0.1:3", "admin": "127.0.0.1:4"}`))
	Expect(err).NotTo(HaveOccurred())
	forward, clean := forwarder.New(connector.Direct{}, time.Second)
	DeferCleanup(clean)
	s := server.New(settings.Limits, reserver.New(settings.Limits.MaxBuffered), onceFolder{folder}, oncePlace{worker}, forward, zap.NewNop(), server.NewMetrics(prometheus.NewRegistry()))
	s.SetOnce(k)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = s.Serve(l) }()
	DeferCleanup(func() { _ = s.Shutdown(context.Background()) })
	return func(apiKey, body string, h http.Header) (onceAnswer, string) {
		req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/services/app/holds?x=1", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header = h.Clone()
		req.Header.Set("Authorization", "Bearer "+apiKey)
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return onceAnswer{resp.StatusCode, resp.Header}, string(text)
	}
}

var _ = Describe("A call that must not be repeated", func() {
	// The caller learns one of three outcomes: it ran, it did not run and may be sent
	// again, or it may have run and must not be sent again.
	DescribeTable("reports its outcome",
		func(v messenger.OnceVerdict, status int, code, run string, wantRetryAfter bool) {
			call := onceServer(&onceKeeper{verdict: v})
			resp, text := call("dock", "{}", http.Header{server.HeaderKey: {"k1"}})
			Expect(resp.status).To(Equal(status))
			var e struct {
				Error struct{ Code, Run string }
			}
			Expect(json.Unmarshal([]byte(text), &e)).To(Succeed())
			Expect(e.Error.Code).To(Equal(code))
			Expect(e.Error.Run).To(Equal(run))
			Expect(resp.header.Get(server.HeaderRun)).To(Equal(run))
			_, hasRetryAfter := resp.header["Retry-After"]
			Expect(hasRetryAfter).To(Equal(wantRetryAfter))
			Expect(resp.header.Get(server.HeaderKey)).To(Equal("k1"))
		},
		Entry("not run", messenger.OnceVerdict{Kind: uint8(keeper.KindNotRun), Reason: keeper.ReasonStore, RetryAfter: time.Second}, 503, "store_down", "no", true),
		Entry("not run, no retry time given", messenger.OnceVerdict{Kind: uint8(keeper.KindNotRun), Reason: keeper.ReasonFull}, 503, "once_full", "no", true),
		Entry("key dated in the future", messenger.OnceVerdict{Kind: uint8(keeper.KindNotRun), Reason: keeper.ReasonFuture}, 400, "key_in_future", "no", false),
		Entry("unknown", messenger.OnceVerdict{Kind: uint8(keeper.KindUnknown)}, 502, "may_have_run", "unknown", false),
		Entry("unknown at the deadline", messenger.OnceVerdict{Kind: uint8(keeper.KindUnknown), Reason: keeper.ReasonDeadline}, 504, "deadline", "unknown", false),
		Entry("unknown until the log can be read", messenger.OnceVerdict{Kind: uint8(keeper.KindUnknown), Reason: keeper.ReasonStore, RetryAfter: time.Second}, 503, "store_down", "unknown", true),
		Entry("key forgotten", messenger.OnceVerdict{Kind: uint8(keeper.KindUnknown), Reason: keeper.ReasonExpired}, 502, "key_expired", "unknown", false),
		Entry("ran, answer not kept", messenger.OnceVerdict{Kind: uint8(keeper.KindGone)}, 409, "answer_not_kept", "yes", false),
		Entry("key of another call", messenger.OnceVerdict{Kind: uint8(keeper.KindReused)}, 422, "key_reused", "no", false),
	)

	It("passes on the answer, and the key unchanged", func() {
		k := &onceKeeper{verdict: messenger.OnceVerdict{Kind: uint8(keeper.KindRan), Status: 201, Header: map[string][]string{"X-Seat": {"4"}, "X-Request-Id": {"other"}}, Body: []byte("held")}}
		call := onceServer(k)
		resp, text := call("dock", "{}", http.Header{server.HeaderKey: {"Boat 4/ä"}})
		Expect(resp.status).To(Equal(201))
		Expect(text).To(Equal("held"))
		Expect(resp.header.Get("X-Seat")).To(Equal("4"))
		Expect(resp.header.Get(server.HeaderRequest)).To(Equal(k.calls[0].Request))
		Expect(k.calls[0].Header[server.HeaderKey]).To(Equal([]string{"Boat 4/ä"}))
		Expect(k.calls[0].Path).To(Equal("/holds?x=1"))
	})

	// Guards against an organisation receiving the answer of another that uses the same
	// key, or the answer to a different body under its own key.
	It("scopes keys by organisation and distinguishes bodies", func() {
		k := &onceKeeper{verdict: messenger.OnceVerdict{Kind: uint8(keeper.KindRan), Status: 200}}
		call := onceServer(k)
		call("dock", "a", http.Header{server.HeaderKey: {"k1"}})
		call("quay", "a", http.Header{server.HeaderKey: {"k1"}})
		call("dock", "b", http.Header{server.HeaderKey: {"k1"}})
		Expect(k.calls[1].ID).NotTo(Equal(k.calls[0].ID))
		Expect(k.calls[2].ID).To(Equal(k.calls[0].ID))
		Expect(k.calls[2].Hash).NotTo(Equal(k.calls[0].Hash))
	})

	// Guards against a call without a key being sent again when its connection breaks.
	// This host alone sends it, without a keeper.
	It("sends a call without a key once, with a generated key", func() {
		var mu sync.Mutex
		var keys []string
		app := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			mu.Lock()
			keys = append(keys, r.Header.Get(server.HeaderKey))
			mu.Unlock()
			panic(http.ErrAbortHandler)
		}))
		defer app.Close()
		k := &onceKeeper{}
		resp, _ := onceServerAt(k, strings.TrimPrefix(app.URL, "http://"))("dock", "a", http.Header{})
		Expect(resp.header.Get(server.HeaderRun)).To(Equal("unknown"))
		Expect(resp.header).NotTo(HaveKey(server.HeaderKey))
		Expect(k.calls).To(BeEmpty())
		mu.Lock()
		defer mu.Unlock()
		Expect(keys).To(HaveLen(1))
		Expect(keeper.KeyTimeOf(keys[0])).To(BeNumerically("~", time.Now().UnixMilli(), 60_000))
	})

	// A worker that is leaving, or that rejects an old fencing number, states that it
	// did not run the call, so it may be sent again.
	DescribeTable("resends a call without a key only if it certainly was not run",
		func(run string, status, sent int) {
			var mu sync.Mutex
			tries := 0
			app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				if tries++; tries == 1 {
					w.Header().Set(forwarder.HeaderRun, run)
					w.WriteHeader(status)
				}
			}))
			defer app.Close()
			call := onceServerAt(&onceKeeper{}, strings.TrimPrefix(app.URL, "http://"))
			_, _ = call("dock", "a", http.Header{})
			mu.Lock()
			defer mu.Unlock()
			Expect(tries).To(Equal(sent))
		},
		Entry("leaving", "no", 503, 2),
		Entry("old fencing number", "no", 412, 2),
		Entry("failed, may have run", "", 503, 1),
	)

	DescribeTable("refuses calls that can't be recorded", func(h http.Header, body string, status int) {
		k := &onceKeeper{}
		resp, _ := onceServer(k)("dock", body, h)
		Expect(resp.status).To(Equal(status))
		Expect(resp.header.Get(server.HeaderRun)).To(Equal("no"))
		Expect(k.calls).To(BeEmpty())
	},
		Entry("a key given twice", http.Header{server.HeaderKey: {"a", "b"}}, "", 400),
		Entry("an empty key", http.Header{server.HeaderKey: {""}}, "", 400),
		Entry("a long key", http.Header{server.HeaderKey: {strings.Repeat("k", 256)}}, "", 400),
		Entry("a large body", http.Header{server.HeaderKey: {"k"}}, strings.Repeat("x", 256<<10+1), 413),
	)
})
