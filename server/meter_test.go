package server_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/reserver"
)

// Guards against a host that is killed because many callers send heads of many lines without an end.
var _ = It("Heads of callers that are still arriving count for the memory by their lines", func() {
	const callers, lines = 60, 5000
	s := startFixture(options{limits: func(l *loader.Limits) { l.MaxBuffered = 4 << 20 }})
	address := strings.TrimPrefix(s.url, "http://")
	for range callers {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\n"+strings.Repeat("a:b\r\n", lines)) }()
	}
	Eventually(func() int64 { return s.memory.Refused(reserver.Request) }, "5s").Should(BeNumerically(">", 0))
	_, most := s.memory.Taken()
	Expect(most).To(BeNumerically("<=", 4<<20))
	for range 3 {
		g := s.send(s.request(context.Background(), "/v1/chat/completions", completionBody(true)))
		Expect(g.status).To(Equal(http.StatusOK), fmt.Sprint(g))
	}
})

// Guards against memory that is lost with each request of a kept connection.
var _ = It("The memory for heads and bodies is given back after each request", func() {
	s := startFixture(options{})
	for range 20 {
		Expect(s.send(s.request(context.Background(), "/services/desk/log", "x")).status).To(Equal(http.StatusOK))
	}
	s.client.CloseIdleConnections()
	Eventually(func() int64 { taken, _ := s.memory.Taken(); return taken }, "5s").Should(BeZero())
})
