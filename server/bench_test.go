package server_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cicadawood/cicadawood/loader"
)

// The benchmarks compare three paths to the engine: direct, through a proxy that only
// copies bytes, and through the entry.

const benchEvents = 500

// benchEngine streams events without delay, or sends a whole answer if no stream is
// requested. It keeps a stream open if the prompt is "hold".
func benchEngine(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if !bytes.Contains(body, []byte(`"stream":true`)) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"id":%q,"choices":[{"message":{"content":"x"}}],"usage":{"completion_tokens":1}}`, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for range benchEvents {
		fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":\"lm\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token \"},\"finish_reason\":null}]}\n\n", id)
		_ = control.Flush()
	}
	if bytes.Contains(body, []byte(`"hold"`)) {
		<-r.Context().Done()
		return
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// copyProxy forwards bytes as they arrive.
func copyProxy(engine string) http.HandlerFunc {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	return func(w http.ResponseWriter, r *http.Request) {
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, engine+r.URL.Path, r.Body)
		resp, err := client.Do(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		buf := make([]byte, 32<<10)
		for {
			n, err := resp.Body.Read(buf)
			_, _ = w.Write(buf[:n])
			_ = http.NewResponseController(w).Flush()
			if err != nil {
				return
			}
		}
	}
}

// enginePaths returns the address of each path to the engine.
func enginePaths(b *testing.B) []struct{ name, url string } {
	engine := httptest.NewServer(http.HandlerFunc(benchEngine))
	proxy := httptest.NewServer(copyProxy(engine.URL))
	s := newFixture(options{resume: true, silence: time.Minute, limits: func(l *loader.Limits) { l.MaxCalls = 20000 }})
	s.allocator.workers = []loader.Worker{{Name: "bench", Address: strings.TrimPrefix(engine.URL, "http://"), Slots: 1 << 20}}
	b.Cleanup(func() {
		s.close()
		proxy.Close()
		engine.Close()
	})
	return []struct{ name, url string }{{"direct", engine.URL}, {"copy", proxy.URL}, {"entry", s.url}}
}

func post(ctx context.Context, client *http.Client, url, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	return client.Do(r)
}

func benchmark(b *testing.B, body string, eventsPerCall int) {
	for _, path := range enginePaths(b) {
		b.Run(path.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
			b.ReportAllocs()
			for b.Loop() {
				resp, err := post(context.Background(), client, path.url, body)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*eventsPerCall), "ns/event")
		})
	}
}

func BenchmarkStream(b *testing.B) { benchmark(b, completionBody(true), benchEvents) }

func BenchmarkWhole(b *testing.B) { benchmark(b, completionBody(false), 1) }

// BenchmarkOpen measures the memory of an open stream, including the engine's and the
// caller's side. The entry's part is the difference to "direct".
func BenchmarkOpen(b *testing.B) {
	const streams = 1000
	body := strings.Replace(completionBody(true), `"trip"`, `"hold"`, 1)
	for _, path := range enginePaths(b) {
		b.Run(path.name, func(b *testing.B) {
			for b.Loop() {
				client := &http.Client{Transport: &http.Transport{}}
				ctx, leave := context.WithCancel(context.Background())
				before := inUse()
				openStreams(ctx, client, path.url, body, streams)
				b.ReportMetric(float64(inUse()-before)/streams, "B/stream")
				leave()
				client.CloseIdleConnections()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
}

// openStreams opens streams and reads all their events but the last, so that they stay
// open.
func openStreams(ctx context.Context, client *http.Client, url, body string, n int) {
	var opened sync.WaitGroup
	for range n {
		opened.Go(func() {
			resp, err := post(ctx, client, url, body)
			if err != nil {
				return
			}
			lines := bufio.NewReader(resp.Body)
			for range 2 * benchEvents {
				_, _ = lines.ReadString('\n')
			}
			context.AfterFunc(ctx, func() { _ = resp.Body.Close() })
		})
	}
	opened.Wait()
}

func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkLine measures the log line that is written for each request.
func BenchmarkLine(b *testing.B) {
	log := zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zapcore.InfoLevel))
	for b.Loop() {
		log.Info("request", zap.String("request", "cw-b43c39b59ac2a8a17350d252"), zap.String("org", "dock"), zap.String("service", "cicada-lm"),
			zap.String("class", "chat"), zap.String("outcome", "answered"), zap.Int("tokens", 100), zap.Duration("took", time.Second))
	}
}
