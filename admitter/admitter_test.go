package admitter_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/admitter"
)

func TestAdmitter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admitter")
}

var _ = Describe("Connections", func() {
	newConn := func() net.Conn {
		a, b := net.Pipe()
		DeferCleanup(a.Close)
		DeferCleanup(b.Close)
		return a
	}
	// open opens n connections and brings them to a state.
	open := func(c *admitter.Connections, n int, state http.ConnState) []net.Conn {
		var out []net.Conn
		for range n {
			x := newConn()
			c.Update(x, http.StateNew)
			c.Update(x, state)
			out = append(out, x)
		}
		return out
	}

	// Guards against requests that are read and then refused or served too late.
	It("are closed unread while nearly all places are taken, and admitted again after that", func() {
		c := &admitter.Connections{Limit: 10, SendAgain: true}
		busy := open(c, 9, http.StateActive)
		Expect(c.Reject(0)).To(BeEmpty())
		late := open(c, 1, http.StateNew)
		Expect(c.Reject(0)).To(Equal(admitter.Busy))
		c.Update(late[0], http.StateClosed)
		c.Update(busy[0], http.StateIdle)
		Expect(c.Reject(0)).To(BeEmpty())
	})

	It("are closed for want of places only if callers send their requests again", func() {
		c := &admitter.Connections{Limit: 10}
		open(c, 20, http.StateActive)
		Expect(c.Reject(0)).To(BeEmpty())
		open(c, 1, http.StateActive)
		Expect(c.Reject(0)).To(Equal(admitter.TooMany))
	})

	// Guards against idle connections that use up all that a host may have.
	It("are not kept while there are many", func() {
		c := &admitter.Connections{Limit: 10, SendAgain: true}
		idle := open(c, 10, http.StateIdle)
		Expect(c.Keeps()).To(BeTrue())
		open(c, 1, http.StateIdle)
		Expect(c.Keeps()).To(BeFalse())
		c.Update(idle[0], http.StateClosed)
		Expect(c.Keeps()).To(BeTrue())
	})
})

var _ = Describe("LagGate", func() {
	now := time.Unix(1_800_000_000, 0)
	// measure adds measurements over a time.
	measure := func(g *admitter.LagGate, d, lag time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(25 * time.Millisecond) {
			g.Measure(now, lag)
		}
	}

	It("admits fewer connections the longer the host is behind, and all again after that", func() {
		var g admitter.LagGate
		measure(&g, time.Second, 10*time.Millisecond)
		Expect(g.Admits(0)).To(BeTrue())
		measure(&g, 2*time.Second, 200*time.Millisecond)
		Expect(g.Admits(0.5)).To(BeFalse())
		Expect(g.Admits(0.96)).To(BeTrue(), "some are admitted at any time")
		measure(&g, 3*time.Second, 10*time.Millisecond)
		Expect(g.Admits(0)).To(BeTrue())
	})

	// Guards against turning callers away for a pause of the processor's quota, or one late moment.
	It("admits all where only some measurements are late", func() {
		var g admitter.LagGate
		for range 50 {
			measure(&g, 75*time.Millisecond, 90*time.Millisecond)
			measure(&g, 25*time.Millisecond, time.Millisecond)
		}
		Expect(g.Admits(0)).To(BeTrue())
	})
})
