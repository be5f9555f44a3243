package tunneler_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/reacher"
)

// startHelper starts a host that answers each tunnel with the same bytes, and counts the tunnels.
func startHelper(answer []byte) (reacher.Host, func() int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	asked := make(chan struct{}, 1000)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			asked <- struct{}{}
			_, _ = io.ReadFull(c, make([]byte, len(messenger.TunnelPreface)+4))
			_, _ = c.Write(answer)
			time.AfterFunc(time.Second, func() { _ = c.Close() })
		}
	}()
	return reacher.Host{Name: "odd", Zone: "a", Address: l.Addr().String(), Incarnation: 1}, func() int { return len(asked) }
}

// frameOf returns a frame with a msgpack text.
func frameOf(text []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

// arrayOf returns the frame of a msgpack array.
func arrayOf(fields ...any) []byte {
	text, err := msgpack.Marshal(fields)
	Expect(err).NotTo(HaveOccurred())
	return frameOf(text)
}

// oddFrames are frames that no version sends.
func oddFrames() map[string][]byte {
	return map[string][]byte{
		"nested 20,000 deep":              frameOf([]byte(strings.Repeat("\x91", 15_000))),
		"a list stated longer than it is": frameOf([]byte("\xdd\xff\xff\xff\xff\x01")),
		"a text stated longer than it is": frameOf([]byte("\x93\xdb\xff\xff\xff\xffx")),
		"a frame of 1 MiB":                frameOf(make([]byte, 1<<20)),
		"no array":                        frameOf([]byte("\x01")),
		"a number for a text":             arrayOf(1, 2, 3),
	}
}

var _ = Describe("A frame of a tunnel that no version sends", func() {
	// Guards against a host that ends, or connects to no worker any more, for what another one answers.
	It("as an answer costs only its tunnel", func() {
		answers := oddFrames()
		answers["a reason that is no UTF-8"] = arrayOf("\xff\xfe", int64(0), false)
		answers["a reason of 10 KB"] = arrayOf(strings.Repeat("x", 10_000), int64(0), false)
		for name, answer := range answers {
			w, a, b := newWorker(), newHost("a", 10), newHost("b", 10)
			meet([]worker{w}, a, b)
			helper, asked := startHelper(answer)
			a.SetHosts([]reacher.Host{helper})
			a.links.cut.Store(true)
			for range 3 {
				_, err := a.dial(w)
				Expect(err).To(HaveOccurred(), name)
			}
			Expect(asked()).To(Equal(1), "%s: asked again at once", name)
			a.SetHosts([]reacher.Host{helper, b.Host})
			c, err := a.dial(w)
			Expect(err).NotTo(HaveOccurred(), name)
			Expect(via(c)).To(Equal("b"), name)
			_ = c.Close()
		}
	})

	// Guards against a host that helps nobody any more for what one opener sends.
	It("as an opening costs only its tunnel", func() {
		w, b := newWorker(), newHost("b", 1)
		meet([]worker{w}, b)
		openings := oddFrames()
		openings["a negative time-out"] = arrayOf("a", w.address, "r", int64(math.MinInt64))
		openings["a port out of range"] = arrayOf("a", "127.0.0.1:99999", "r", int64(time.Second))
		openings["an address of 10 KB"] = arrayOf("a", strings.Repeat("x", 10_000), "r", int64(time.Second))
		for name, opening := range openings {
			odd, err := net.Dial("tcp", b.Address)
			Expect(err).NotTo(HaveOccurred(), name)
			_, _ = fmt.Fprint(odd, messenger.TunnelPreface)
			_, _ = odd.Write(opening)
			Expect(odd.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			_, err = io.Copy(io.Discard, odd)
			Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), name)
			_ = odd.Close()
			Eventually(func() int64 { return b.State().Serving }, 5*time.Second).Should(BeZero(), name)
		}
		a := newHost("a", 10)
		meet([]worker{w}, a, b)
		a.links.cut.Store(true)
		c, err := a.dial(w)
		Expect(err).NotTo(HaveOccurred())
		Expect(via(c)).To(Equal("b"))
		_ = c.Close()
	})
})
