package reserver_test

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/reserver"
)

const (
	limit = 64 << 20
	step  = 16 << 10
	sound = 64 << 10 // bytes of a usual answer
)

// endless has zeros without an end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// grow grows a reservation as far as it may.
func grow(r *reserver.Reservation) {
	for r.Grow(step) == nil {
	}
}

var _ = Describe("The memory that others make a process keep", func() {
	// Guards against sound answers that are refused because others have no end.
	DescribeTable("has room for usual answers beside those without an end",
		func(endlessAnswers int) {
			m := reserver.New(limit)
			for range endlessAnswers {
				grow(m.Reserve(reserver.Answer))
			}
			taken, _ := m.Taken()
			Expect(taken).To(BeNumerically("<=", limit))
			for range 20 {
				Expect(m.Reserve(reserver.Answer).Grow(sound)).To(Succeed())
			}
		},
		Entry("one", 1), Entry("ten", 10), Entry("thirty", 30),
	)

	// Guards against a burst of bodies that leaves no room for the answers of requests that run.
	It("keeps room for answers and the store when bodies have taken all that they may", func() {
		m := reserver.New(limit)
		for range 1000 {
			grow(m.Reserve(reserver.Body))
		}
		Expect(m.Reserve(reserver.Body).Grow(step)).To(MatchError(reserver.ErrFull))
		Expect(m.Reserve(reserver.Answer).Grow(1 << 20)).To(Succeed())
		for range 1000 {
			grow(m.Reserve(reserver.Answer))
		}
		Expect(m.Reserve(reserver.Object).Grow(1 << 20)).To(Succeed())
		Expect(m.Refused(reserver.Body)).To(BeNumerically(">", 0))
	})

	It("never takes more than its limit, and has all of it back in the end", func() {
		const users = 32
		m := reserver.New(limit)
		var tasks, full sync.WaitGroup
		full.Add(users)
		for seed := range uint64(users) {
			tasks.Go(func() {
				random := rand.New(rand.NewPCG(seed, 1))
				first := m.Reserve(reserver.Answer)
				grow(first)
				full.Done()
				full.Wait() // all hold theirs, however busy the machine is
				first.Release()
				for range 2000 {
					r := m.Reserve(reserver.Use(random.IntN(len(slices.Collect(reserver.Uses())))))
					for range random.IntN(8) {
						_ = r.Grow(random.Int64N(4 << 20))
					}
					r.Release()
				}
			})
		}
		tasks.Wait()
		taken, most := m.Taken()
		Expect(taken).To(BeZero())
		Expect(most).To(BeNumerically("<=", limit))
		Expect(most).To(BeNumerically(">", limit/2))
	})

	It("has no limit, and a reservation of nothing refuses nothing", func() {
		var m reserver.Memory
		Expect(m.Reserve(reserver.Body).Grow(1 << 40)).To(Succeed())
		var none *reserver.Reservation
		Expect(none.Grow(1 << 40)).To(Succeed())
		none.Release()
	})
})

var _ = Describe("A buffer", func() {
	text := strings.Repeat("0123456789", 10000)

	It("keeps all bytes in order, and gives back what it took", func() {
		m := reserver.New(limit)
		for _, size := range []int{0, 1, 16 << 10, 16<<10 + 1, len(text)} {
			b := m.Buffer(reserver.Answer)
			Expect(b.ReadAll(iotest.HalfReader(strings.NewReader(text[:size])), int64(size))).To(Succeed())
			var out bytes.Buffer
			Expect(b.Pieces(func(p []byte) error { _, err := out.Write(p); return err })).To(Succeed())
			Expect(out.String()).To(Equal(text[:size]))
			Expect(b.Len()).To(Equal(size))
			b.Release()
		}
		taken, _ := m.Taken()
		Expect(taken).To(BeZero())
	})

	It("says what was too much, and which read failed", func() {
		m := reserver.New(limit)
		Expect(m.Buffer(reserver.Answer).ReadAll(endless{}, 1<<20)).To(MatchError(reserver.ErrTooLarge))
		Expect(m.Buffer(reserver.Answer).ReadAll(endless{}, 1<<40)).To(MatchError(reserver.ErrFull))
		failed := errors.New("failed")
		Expect(m.Buffer(reserver.Answer).ReadAll(iotest.ErrReader(failed), 1)).To(MatchError(failed))
	})

	DescribeTable("ReadAll reads a source whole, whatever length is stated",
		func(length int64) {
			m := reserver.New(limit)
			r := m.Reserve(reserver.Body)
			Expect(r.ReadAll(iotest.OneByteReader(strings.NewReader(text)), length, 1<<20)).To(Equal([]byte(text)))
			_, err := m.Reserve(reserver.Body).ReadAll(endless{}, length, 1<<20)
			Expect(err).To(MatchError(reserver.ErrTooLarge))
			_, err = m.Reserve(reserver.Body).ReadAll(io.MultiReader(strings.NewReader(text), endless{}), length, limit)
			Expect(err).To(MatchError(reserver.ErrFull))
		},
		Entry("none", int64(-1)), Entry("its own", int64(100000)), Entry("less", int64(10)), Entry("more", int64(1<<40)),
	)
})
