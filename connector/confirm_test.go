package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
)

// ending is a backend server that answers one request with half an answer that ends with its
// connection. What it then does depends on the spec.
type ending struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

func newEnding() *ending {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e := &ending{Listener: l}
	DeferCleanup(func() {
		_ = e.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, c := range e.conns {
			_ = c.Close()
		}
	})
	return e
}

// accept returns the next connection, or nil if the listener is closed.
func (e *ending) accept() net.Conn {
	c, err := e.Accept()
	if err != nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns = append(e.conns, c)
	return c
}

// request waits for a request, and reports whether there was one.
func request(c net.Conn) bool {
	if c == nil {
		return false
	}
	_, err := http.ReadRequest(bufio.NewReader(c))
	return err == nil
}

const unframedHalf = "HTTP/1.1 200 OK\r\nId: 2\r\n\r\nhalf"

var _ = DescribeTable("An answer that ends with its connection",
	func(kept bool, then func(e *ending, kept net.Conn), expected error) {
		e := newEnding()
		answered := make(chan struct{})
		go func() {
			var first net.Conn
			if kept {
				first = e.accept()
			}
			second := e.accept()
			if kept && !request(first) || !request(second) {
				return
			}
			if kept {
				_, _ = io.WriteString(first, response("1", "kept"))
				<-answered
			}
			_, _ = io.WriteString(second, unframedHalf)
			_ = second.Close()
			then(e, first)
		}()
		pool, clean := connector.New(connector.Direct{})
		DeferCleanup(clean)
		call := connector.Call{Method: http.MethodGet, Target: "/", Host: "h"}
		var half *connector.Answer
		if kept {
			half = keepOne(pool, e.Addr().String(), call, answered)
		} else {
			var err error
			half, err = pool.Do(context.Background(), e.Addr().String(), call)
			Expect(err).NotTo(HaveOccurred())
		}
		defer half.Close()
		_, err := io.Copy(io.Discard, half)
		Expect(err).NotTo(HaveOccurred())
		err = half.ConfirmEnd(connector.Call{Method: http.MethodGet, Target: "/alive", Host: "h"})
		if expected == nil {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(MatchError(connector.ErrLost))
		Expect(err).To(MatchError(expected))
	},
	Entry("is whole if its server answers on a connection that was kept", true, func(_ *ending, kept net.Conn) {
		if request(kept) {
			_, _ = io.WriteString(kept, response("", "alive"))
		}
	}, nil),
	Entry("is whole if its server answers on a new connection", false, func(e *ending, _ net.Conn) {
		if c := e.accept(); request(c) {
			_, _ = io.WriteString(c, response("", "alive"))
		}
	}, nil),
	Entry("is whole if its server closes the connection that was kept, and answers on a new one", true, func(e *ending, kept net.Conn) {
		_ = kept.Close()
		if c := e.accept(); request(c) {
			_, _ = io.WriteString(c, response("", "alive"))
		}
	}, nil),
	// Guards against half an answer taken for whole because the kernel still accepts connections, or
	// has not yet closed one, for a process that ends.
	Entry("is not if the kernel accepts a connection and nobody answers", false, func(*ending, net.Conn) {}, connector.ErrUnconfirmed),
	Entry("is not if a connection is open and nobody answers", true, func(*ending, net.Conn) {}, connector.ErrUnconfirmed),
	Entry("is not if the new connection is closed", false, func(e *ending, _ net.Conn) {
		if c := e.accept(); c != nil {
			_ = c.Close()
		}
	}, connector.ErrUnconfirmed),
	Entry("is not if its address refuses connections", true, func(e *ending, kept net.Conn) {
		_ = e.Close()
		_ = kept.Close()
	}, connector.ErrClosedByPeer),
	Entry("is not if another server has its address", false, func(e *ending, _ net.Conn) {
		if c := e.accept(); request(c) {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		}
	}, connector.ErrClosedByPeer),
)

// keepOne sends two calls, completes the one that is framed, and returns the other.
func keepOne(pool *connector.Pool, address string, call connector.Call, completed chan struct{}) *connector.Answer {
	answers := make(chan *connector.Answer, 2)
	for range 2 {
		go func() {
			defer GinkgoRecover()
			a, err := pool.Do(context.Background(), address, call)
			Expect(err).NotTo(HaveOccurred())
			answers <- a
		}()
	}
	framed := <-answers
	_, err := io.Copy(io.Discard, framed)
	Expect(err).NotTo(HaveOccurred())
	framed.Finish()
	close(completed)
	return <-answers
}

// Guards against a later start of a server that answers, at its end, for the one that began the answer.
var _ = Describe("A connection made as an answer begins that ends with its connection", func() {
	alive := connector.Call{Method: http.MethodGet, Target: "/alive", Host: "h"}
	// begin returns half an answer, and the connection that was made as it began.
	begin := func(e *ending, late bool) (*connector.Answer, net.Conn) {
		served := make(chan net.Conn, 1)
		go func() {
			defer close(served)
			c := e.accept()
			if !request(c) {
				return
			}
			_, _ = io.WriteString(c, unframedHalf)
			served <- e.accept()
			time.Sleep(50 * time.Millisecond) // until the other end has it, too
			_ = c.Close()
		}()
		pool, clean := connector.New(connector.Direct{})
		DeferCleanup(clean)
		half, err := pool.Do(context.Background(), e.Addr().String(), connector.Call{Method: http.MethodGet, Target: "/", Host: "h"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(half.Close)
		if late {
			half.Begin()
		}
		DeferCleanup(half.WatchStart())
		var made net.Conn
		Eventually(served).Should(Receive(&made))
		time.Sleep(20 * time.Millisecond) // until this end has it, too
		if !late {
			half.Begin()
		}
		_, err = io.Copy(io.Discard, half)
		Expect(err).NotTo(HaveOccurred())
		return half, made
	}

	DescribeTable("shows that the server runs since then", func(late bool) {
		half, made := begin(newEnding(), late)
		ended := time.Now()
		go func() {
			if request(made) {
				_, _ = io.WriteString(made, response("", "alive"))
			}
		}()
		Expect(half.ConfirmEnd(alive)).To(Succeed())
		since, fromStart := half.ConfirmedSince()
		Expect(since).To(BeTemporally("<=", ended))
		Expect(fromStart).To(Equal(!late))
	},
		Entry("which is since the beginning", false),
		Entry("which is not if the body had begun before", true),
	)

	// Guards against a host that stood still or was busy while the server ended and another start took its address,
	// and that reads the beginning of the answer, and connects, only then.
	It("shows nothing of the beginning if the answer's connection had ended before it was made", func() {
		e := newEnding()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c := e.accept()
			if request(c) {
				_, _ = io.WriteString(c, unframedHalf)
				_ = c.Close()
			}
		}()
		pool, clean := connector.New(connector.Direct{})
		DeferCleanup(clean)
		half, err := pool.Do(context.Background(), e.Addr().String(), connector.Call{Method: http.MethodGet, Target: "/", Host: "h"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(half.Close)
		Eventually(ended).Should(BeClosed())
		time.Sleep(50 * time.Millisecond) // until this end has it, too
		later := make(chan net.Conn, 1)
		go func() { later <- e.accept() }() // by the other start
		DeferCleanup(half.WatchStart())
		var c net.Conn
		Eventually(later).Should(Receive(&c))
		time.Sleep(50 * time.Millisecond) // until this end has it, too
		go func() {
			for ; request(c); c = e.accept() {
				_, _ = io.WriteString(c, response("", "alive"))
			}
		}()
		_, err = io.Copy(io.Discard, half)
		Expect(err).NotTo(HaveOccurred())
		Expect(half.ConfirmEnd(alive)).To(Succeed())
		_, fromStart := half.ConfirmedSince()
		Expect(fromStart).To(BeFalse())
	})

	It("shows it only of a later time if the server has closed it", func() {
		e := newEnding()
		half, made := begin(e, false)
		_ = made.Close()
		ended := time.Now()
		go func() {
			if c := e.accept(); request(c) {
				_, _ = io.WriteString(c, response("", "alive"))
			}
		}()
		Expect(half.ConfirmEnd(alive)).To(Succeed())
		since, fromStart := half.ConfirmedSince()
		Expect(since).To(BeTemporally(">=", ended))
		Expect(fromStart).To(BeFalse())
	})
})
