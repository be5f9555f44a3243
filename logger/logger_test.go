package logger_test

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cicadawood/cicadawood/logger"
)

func TestLogger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logger")
}

var _ = Describe("Logger", func() {
	It("writes a line of key=value pairs for each event", func() {
		var out bytes.Buffer
		l, clean := logger.New(&out, zapcore.InfoLevel)
		l.Debug("hidden")
		l.Info("request", zap.String("request", "a1"), zap.Duration("took", 12*time.Millisecond))
		clean()
		Expect(out.String()).To(MatchRegexp(`^ts=\S+ level=info msg=request request=a1 took=12ms\n$`))
	})

	// Guards against requests that block on a log whose reader has stopped reading.
	It("does not block while its output is not read", func() {
		r, w := io.Pipe()
		l, clean := logger.New(w, zapcore.InfoLevel)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := range 5000 {
				l.Info("line "+strings.Repeat("x", i%7), zap.Int("n", i))
			}
		}()
		Eventually(done, 5*time.Second).Should(BeClosed())
		Expect(l.Dropped()).To(BeNumerically(">", 1000))
		read := make(chan string, 1)
		go func() {
			text, _ := io.ReadAll(r)
			read <- string(text)
		}()
		Eventually(func() int { l.Info("after"); return int(l.Dropped()) }, time.Second).Should(BeNumerically(">", 0))
		clean()
		Expect(w.Close()).To(Succeed())
		Eventually(read, 5*time.Second).Should(Receive(ContainSubstring("msg=dropped lines=")))
	})

	It("reports dropped lines even if it is closed with lines queued", func() {
		w := &blockedWriter{unblocked: make(chan struct{}), permits: make(chan struct{})}
		l, clean := logger.New(w, zapcore.InfoLevel)
		for i := range 2000 {
			l.Info("line "+strconv.Itoa(i%20), zap.Int("n", i))
		}
		Expect(l.Dropped()).To(BeNumerically(">", 1000))
		for range 10 {
			w.permits <- struct{}{}
		}
		Eventually(w.written, 5*time.Second).Should(Equal(10))
		clean()
		close(w.unblocked)
		Eventually(w.text, 5*time.Second).Should(ContainSubstring("msg=dropped lines="))
	})

	It("writes failed requests while successful ones are over the limit", func() {
		var out bytes.Buffer
		l, clean := logger.New(&out, zapcore.InfoLevel)
		for range 400 {
			l.Info("request")
		}
		l.Warn("request", zap.String("outcome", "answer_lost"))
		clean()
		Expect(out.String()).To(ContainSubstring("outcome=answer_lost"))
		Expect(strings.Count(out.String(), "level=info")).To(BeNumerically("<", 350))
	})
})

// blockedWriter is a writer whose writes block until unblocked is closed. Each send to
// permits lets one write return earlier.
type blockedWriter struct {
	unblocked chan struct{}
	permits   chan struct{}

	mu     sync.Mutex
	out    bytes.Buffer
	writes int
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	select {
	case <-b.unblocked:
	case <-b.permits:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes++
	return b.out.Write(p)
}

func (b *blockedWriter) written() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.writes
}

func (b *blockedWriter) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.String()
}
