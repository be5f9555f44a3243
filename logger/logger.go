// Package logger writes a host's log: one line of key=value pairs per event, through zap.
// It never waits for the reader of the log. The lines per second of each kind are limited,
// and so is the queue of lines to write; lines over these limits are dropped and counted.
package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines limits the lines that wait to be written: about 100 KB.
	maxQueuedLines = 512
	// maxLinesPerKind is the number of lines per second with the same message and level
	// that are all written; of further ones, every sampleInterval-th is. Failed requests
	// are logged at another level than successful ones, so that these can't displace them.
	maxLinesPerKind = 300
	sampleInterval  = 50
	// closeTimeout bounds the wait for the last lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// Logger is a zap logger that writes through a queue.
type Logger struct {
	*zap.Logger
	queue *queue
}

// New returns a logger that writes lines of the given level and above to w, and a function
// that writes the queued lines and closes the logger.
func New(w io.Writer, level zapcore.Level) (*Logger, func()) {
	q := &queue{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go q.run(w)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), q, level)
	core = zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerKind, sampleInterval, zapcore.SamplerHook(q.countDropped))
	return &Logger{Logger: zap.New(core), queue: q}, q.close
}

// Dropped returns the number of lines that were not written so far.
func (l *Logger) Dropped() uint64 { return l.queue.dropped.Load() }

// queue is a zapcore.WriteSyncer that never blocks.
type queue struct {
	lines    chan []byte
	closing  chan struct{}
	done     chan struct{}
	dropped  atomic.Uint64
	reported uint64 // part of dropped that was logged; used by run's goroutine only
	closed   atomic.Bool
}

// Write implements io.Writer. It queues a copy, as zap reuses its buffer.
func (q *queue) Write(p []byte) (int, error) {
	if q.closed.Load() {
		return len(p), nil
	}
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, so that no caller waits for the
// reader.
func (q *queue) Sync() error { return nil }

// countDropped counts the lines that the sampler drops.
func (q *queue) countDropped(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped > 0 {
		q.dropped.Add(1)
	}
}

func (q *queue) run(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.write(w, line)
		case <-q.closing:
			q.drain(w)
			return
		}
	}
}

// drain writes the lines that are still queued when the logger is closed.
func (q *queue) drain(w io.Writer) {
	for {
		select {
		case line := <-q.lines:
			q.write(w, line)
		default:
			return
		}
	}
}

// write writes a line and, if no further line is queued, the number of lines dropped since
// the last such report. A failed write can't be logged: it is counted as a dropped line,
// which shows in the metric.
func (q *queue) write(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		q.dropped.Add(1)
	}
	if n := q.dropped.Load(); n > q.reported && len(q.lines) == 0 {
		_, _ = fmt.Fprintf(w, "ts=%s level=warn msg=dropped lines=%d\n", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"), n-q.reported)
		q.reported = n
	}
}

func (q *queue) close() {
	if !q.closed.CompareAndSwap(false, true) {
		return
	}
	close(q.closing)
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
}
