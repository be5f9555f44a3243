package faker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cicadawood/cicadawood/platform"
)

// SecondVersion is the version that the events of a SecondAnswer name, so that who reads a stream sees
// that it has some of them.
const SecondVersion = "second"

// SecondAnswer is a further answer that a Worker sends after each stream, on the same connection. It goes
// on serving the connection. The zero value is none.
type SecondAnswer struct {
	Request SecondRequest
	Sized   bool // has a length; otherwise it is sent in chunks
	// Delay is the time from the end of the stream to the second answer. The next request on the
	// connection ends it early.
	Delay        time.Duration
	CutAfterByte int // number of its bytes that are sent; 0 is all
}

// SecondRequest is whose answer a SecondAnswer claims to be.
type SecondRequest string

// Requests of a SecondAnswer. The zero value is none.
const (
	SecondOfSame  SecondRequest = "same"  // the request that was answered before
	SecondOfOther SecondRequest = "other" // a request that did not arrive on the connection
)

// streamThenSecond sends the events after the one that the request names, in chunks, then a second answer,
// and goes on serving the connection. It calls leave before the last event.
func (k *Worker) streamThenSecond(w http.ResponseWriter, r *http.Request, second SecondAnswer, leave func()) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	id := r.Header.Get(platform.HeaderRequestID)
	if !k.writeStream(conn, r, id, leave) || !k.writeSecond(conn, buffered.Reader, id, second) {
		_ = conn.Close()
		return
	}
	k.returned.put(&returnedConn{Conn: conn, reader: buffered.Reader})
}

// writeStream writes a whole stream. It returns false if the connection broke or the worker ended.
func (k *Worker) writeStream(conn net.Conn, r *http.Request, id string, leave func()) bool {
	after, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	if _, err := io.WriteString(conn, k.streamHead(id, "Transfer-Encoding: chunked")); err != nil {
		return false
	}
	for i := after + 1; i <= k.Events; i++ {
		time.Sleep(k.Delay)
		k.waitWhileSilent()
		if k.isOver() {
			return false
		}
		if i == k.Events {
			leave()
		}
		if _, err := io.WriteString(conn, chunk(k.event(i))); err != nil {
			return false
		}
	}
	leave()
	_, err := io.WriteString(conn, chunk(""))
	return err == nil
}

// writeSecond writes the second answer once its delay is over or the next request arrives. It returns
// false if the connection broke.
func (k *Worker) writeSecond(conn net.Conn, requests *bufio.Reader, id string, second SecondAnswer) bool {
	_ = conn.SetReadDeadline(time.Now().Add(second.Delay))
	_, err := requests.Peek(1)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	_ = conn.SetReadDeadline(time.Time{})
	if k.isOver() {
		return false
	}
	if err == nil {
		k.mu.Lock()
		k.crossed++
		k.mu.Unlock()
	}
	text := k.secondAnswer(id, second)
	if second.CutAfterByte > 0 {
		text = text[:min(second.CutAfterByte, len(text))]
	}
	_, err = io.WriteString(conn, text)
	return err == nil
}

// secondAnswer returns the bytes of a second answer.
func (k *Worker) secondAnswer(id string, second SecondAnswer) string {
	if second.Request == SecondOfOther {
		id = "another-" + id
	}
	var body, chunks strings.Builder
	for i := 1; i <= k.Events; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\nversion: %s\n\n", i, i, SecondVersion)
		body.WriteString(event)
		chunks.WriteString(chunk(event))
	}
	if second.Sized {
		return k.streamHead(id, contentLength(body.String())) + body.String()
	}
	return k.streamHead(id, "Transfer-Encoding: chunked") + chunks.String() + chunk("")
}

// streamHead returns the head of a stream with a header line for its framing.
func (k *Worker) streamHead(id, framing string) string {
	return k.headOf(id, "Content-Type: text/event-stream", framing)
}

// chunk returns a text as one chunk. The empty one ends an answer.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// returnedConn is a connection that was taken from its server. What was read ahead comes first.
type returnedConn struct {
	net.Conn
	reader io.Reader
}

// Read implements net.Conn.
func (c *returnedConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// returnListener is a listener that accepts connections again that were taken from its server.
type returnListener struct {
	net.Listener
	conns chan net.Conn // new and returned ones
	done  chan struct{}
	close func() error
}

func newReturnListener(l net.Listener) *returnListener {
	r := &returnListener{Listener: l, conns: make(chan net.Conn), done: make(chan struct{})}
	r.close = sync.OnceValue(func() error {
		close(r.done)
		return l.Close()
	})
	go r.acceptNew()
	return r
}

func (l *returnListener) acceptNew() {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return
		}
		l.put(conn)
	}
}

// put has a connection accepted, or closes it if the listener is closed.
func (l *returnListener) put(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.done:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (l *returnListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *returnListener) Close() error { return l.close() }
