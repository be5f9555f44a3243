package publisher_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/publisher"
)

var _ = Describe("Push", func() {
	var (
		store    *fakeStore
		ann, ben *operator
	)
	BeforeEach(func() {
		store = &fakeStore{}
		first := &operator{store: store, files: loader.Files{}}
		first.edit("hold", 0).edit("chat", 1)
		_, err := first.push(100)
		Expect(err).NotTo(HaveOccurred())
		ann, ben = newOperator(store), newOperator(store)
	})

	// Guards against a push that silently reverts an accepted one: Ben's write takes effect
	// between Ann's read and her write, and an unconditional write would replace it.
	It("lands both of two racing pushes that change different files", Label(prover.Cell(prover.Pushed, prover.PushRace), prover.Cell(prover.Written, prover.PushRace)), func() {
		store.beforeWrite = func() {
			_, err := ben.edit("plan", 2).push(101)
			Expect(err).NotTo(HaveOccurred())
		}
		r, err := ann.edit("quote", 0).push(101)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Rebased).To(BeTrue())
		Expect(store.head().Files).To(And(HaveKey("plan.json"), HaveKey("quote.json"), HaveLen(4)))
		Expect(store.written).To(Equal([]uint64{100, 101, 102}))
		Expect(ann.files).To(HaveKey("plan.json"), "Ann's next push must not remove Ben's file")
	})

	It("rejects a push whose file was changed meanwhile, and names the file", Label(prover.Cell(prover.Pushed, prover.PushRace)), func() {
		store.beforeWrite = func() {
			_, err := ben.edit("hold", 2).push(101)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := ann.edit("hold", 3).edit("quote", 0).push(101)
		var conflict *publisher.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(*conflict).To(Equal(publisher.ConflictError{Files: []string{"hold.json"}, Generation: 101}))
		Expect(store.head().Files["hold.json"]).To(Equal(class("hold", 2)))
	})

	It("rejects changes that are valid only separately", func() {
		_, err := ben.edit("plan", 2).push(101)
		Expect(err).NotTo(HaveOccurred())
		ann.files["z.json"] = class("plan", 1)
		_, err = ann.push(102)
		Expect(err).To(MatchError(publisher.ErrInvalidMerge))
		Expect(err).To(MatchError(ContainSubstring("z.json:1: classes/plan: defined already")))
	})

	It("does not treat the same change on both sides as a conflict", func() {
		_, err := ben.edit("hold", 2).push(101)
		Expect(err).NotTo(HaveOccurred())
		r, err := ann.edit("hold", 2).push(102)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Generation).To(Equal(uint64(101)))
	})

	// Guards against a wrong report of a write whose reply was lost: as failed, so that the
	// repeated push conflicts with itself, or as landed although it did not.
	DescribeTable("determines the outcome of a write whose reply was lost",
		func(result outcome) {
			store.outcomes = []outcome{result}
			r, err := ann.edit("quote", 0).push(101)
			Expect(err).NotTo(HaveOccurred())
			Expect(store.written).To(Equal([]uint64{100, 101}))
			Expect(r.Generation).To(Equal(uint64(101)))
			Expect(store.head().Files).To(HaveKeyWithValue("quote.json", class("quote", 0)))
		},
		Entry("that landed", Label(prover.Cell(prover.Pushed, prover.LostReply)), replyLost),
		Entry("that never landed", Label(prover.Cell(prover.Pushed, prover.LostReply)), writeLost),
		Entry("that takes effect after the second attempt", Label(prover.Pair(prover.Pushed, prover.LostReply, prover.Pushed, prover.StoreSlow)), writeDelayed),
	)

	// As above, but another push changes the same file before the head is read back.
	It("finds its own write below a later push of the same file", Label(prover.Pair(prover.Pushed, prover.LostReply, prover.Written, prover.PushRace)), func() {
		raced := &racingStore{fakeStore: store, race: func() {
			_, err := newOperator(store).edit("quote", 2).push(102)
			Expect(err).NotTo(HaveOccurred())
		}}
		store.outcomes = []outcome{replyLost}
		p := publisher.Pusher{Store: raced}
		r, err := p.Push(context.Background(), publisher.Change{Files: ann.edit("quote", 0).files, Base: ann.base})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Generation).To(Equal(store.written[1]))
		Expect(r.Head.Files["quote.json"]).To(Equal(class("quote", 2)))
	})

	// Guards against a definite result for a write of unknown outcome: its reply was lost and
	// the store goes down before the head is read back. The repeated push must land once.
	DescribeTable("reports an unknown outcome, and lands once when repeated",
		func(result outcome) {
			store.outcomes = []outcome{result}
			down := &racingStore{fakeStore: store, race: func() { store.down = true }}
			p := publisher.Pusher{Store: down, Sleep: ann.sleep}
			change := publisher.Change{Files: ann.edit("quote", 0).files, Base: ann.base}
			_, err := p.Push(context.Background(), change)
			Expect(err).To(MatchError(publisher.ErrOutcomeUnknown))
			store.down = false
			_, err = newOperator(store).edit("plan", 2).push(150)
			Expect(err).NotTo(HaveOccurred())
			_, err = p.Push(context.Background(), change)
			Expect(err).NotTo(HaveOccurred())
			Expect(store.written).To(HaveLen(3))
			Expect(store.head().Files).To(HaveLen(4))
		},
		Entry("when it landed", Label(prover.Pair(prover.Pushed, prover.LostReply, prover.Written, prover.StoreDown)), replyLost),
		Entry("when it did not", Label(prover.Pair(prover.Pushed, prover.LostReply, prover.Written, prover.StoreDown)), writeLost),
	)

	// Guards against a guessed result: after a lost reply, so many other pushes land before
	// the head is read back that it would no longer list the write if it had landed.
	It("reports an unknown outcome if the head no longer lists the write", Label(prover.Pair(prover.Pushed, prover.LostReply, prover.Written, prover.PushRace)), func() {
		store.outcomes = []outcome{replyLost}
		busy := &racingStore{fakeStore: store, race: func() {
			for i := range 64 {
				_, err := newOperator(store).edit("plan", i).push(int64(200 + i))
				Expect(err).NotTo(HaveOccurred())
			}
		}}
		_, err := publisher.Pusher{Store: busy}.Push(context.Background(), publisher.Change{Files: ann.edit("quote", 0).files, Base: ann.base})
		Expect(err).To(MatchError(publisher.ErrOutcomeUnknown))
		Expect(store.written).To(HaveLen(66))
	})

	It("reports that nothing landed while the store is down", Label(prover.Cell(prover.Pushed, prover.StoreDown), prover.Cell(prover.Written, prover.StoreDown)), func() {
		ann.edit("quote", 0)
		store.beforeWrite = func() { store.down = true }
		_, err := ann.push(101)
		Expect(err).To(And(MatchError(publisher.ErrUnreadable), MatchError(ContainSubstring("nothing landed"))))
		_, err = ann.push(101)
		Expect(err).To(MatchError(publisher.ErrUnreadable))
		Expect(store.written).To(HaveLen(1))
	})

	// Guards against a push that conflicts with itself or reverts a later one: its process
	// is killed after the write, before the folder's base is updated, and another operator
	// changes the same file. Then the push is run again.
	It("lands once if its process was killed after the write", Label(prover.Cell(prover.Written, prover.Kill), prover.Pair(prover.Written, prover.Kill, prover.Pushed, prover.PushRace)), func() {
		base, files := ann.base, maps.Clone(ann.edit("hold", 3).files)
		_, err := ann.push(101)
		Expect(err).NotTo(HaveOccurred())
		_, err = newOperator(store).edit("hold", 4).push(102)
		Expect(err).NotTo(HaveOccurred())
		restarted := &operator{store: store, base: base, files: files}
		r, err := restarted.push(103)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Repeated).To(BeTrue())
		Expect(r.Generation).To(Equal(uint64(101)))
		Expect(store.written).To(Equal([]uint64{100, 101, 102}))
	})

	It("makes the next generation newer than all generations lost by restoring a backup", func() {
		old, version := store.value, store.version
		for i := range 3 {
			_, err := ann.edit("quote", i).push(int64(200 + i))
			Expect(err).NotTo(HaveOccurred())
		}
		store.value, store.version = old, version
		_, err := ann.edit("quote", 5).push(210)
		Expect(err).To(MatchError(publisher.ErrRestored))
		p := publisher.Pusher{Store: store}
		r, err := p.Push(context.Background(), publisher.Change{Files: ann.files, Base: ann.base, Restore: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Generation).To(BeNumerically(">", 202))
		Expect(store.head().Files).To(Equal(ann.files))
	})

	It("rejects a folder that is too large, and names the largest file", func() {
		big := make([]byte, publisher.MaxObjectBytes*2)
		g := rand.New(rand.NewPCG(1, 1))
		for i := range big {
			big[i] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789+-"[g.IntN(64)]
		}
		ann.files["big.json"] = "{ // " + string(big) + "\n}"
		_, err := ann.push(101)
		Expect(err).To(And(MatchError(publisher.ErrTooLarge), MatchError(ContainSubstring("big.json"))))
	})

	It("gives up after a bounded number of lost races", func() {
		n := 0
		store.beforeWrite = nil
		always := &racingStore{fakeStore: store, always: true, race: func() {
			n++
			_, err := newOperator(store).edit(fmt.Sprintf("c%d", n), 1).push(int64(200 + n))
			Expect(err).NotTo(HaveOccurred())
		}}
		_, err := publisher.Pusher{Store: always}.Push(context.Background(), publisher.Change{Files: ann.edit("quote", 0).files, Base: ann.base})
		Expect(err).To(MatchError(publisher.ErrRaced))
		Expect(n).To(Equal(16))
	})
})

// TestRacingOperators simulates random pushes of several operators, with lost replies, lost
// and late writes, and pushes between each other's read and write. Every accepted push must
// be part of every later head, unless a later push changed its file.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{}
		operators := make([]*operator, 3)
		for i := range operators {
			operators[i] = &operator{store: s, files: loader.Files{}}
		}
		var accepted []acceptedPush
		var act func(depth int)
		act = func(depth int) {
			o := operators[rapid.IntRange(0, 2).Draw(t, "operator")]
			name := string(rune('a' + rapid.IntRange(0, 3).Draw(t, "file")))
			if rapid.IntRange(0, 3).Draw(t, "pull") == 0 && !s.down {
				o.update(s.head())
			}
			o.edit(name, rapid.IntRange(0, 5).Draw(t, "tier"))
			changed := map[string]string{}
			for _, f := range o.base.ChangedFiles(o.files) {
				changed[f] = o.files[f]
			}
			s.outcomes = append(s.outcomes, outcome(rapid.IntRange(0, 4).Draw(t, "outcome")))
			if depth < 2 && rapid.Bool().Draw(t, "race") {
				s.beforeWrite = func() { act(depth + 1) }
			}
			outer := s.changing
			s.changing = changed
			if r, err := o.push(100); err == nil && !r.Repeated {
				accepted = append(accepted, acceptedPush{generation: r.Generation, changed: changed})
			}
			s.changing = outer
		}
		for range rapid.IntRange(1, 12).Draw(t, "pushes") {
			act(0)
		}
		checkAccepted(t, s, accepted)
	})
}

// acceptedPush is one push that was reported to its operator as landed.
type acceptedPush struct {
	generation uint64
	changed    map[string]string // text by file
}

func checkAccepted(t *rapid.T, s *fakeStore, accepted []acceptedPush) {
	for i := 1; i < len(s.heads); i++ {
		if s.written[i] <= s.written[i-1] {
			t.Fatalf("generations not in order: %v", s.written)
		}
		for name, text := range s.heads[i-1] {
			if _, ok := s.changed[i][name]; !ok && s.heads[i][name] != text {
				t.Fatalf("%s of generation %d is lost in %d, which did not change it", name, s.written[i-1], s.written[i])
			}
		}
	}
	for _, a := range accepted {
		index := slices.Index(s.written, a.generation)
		if index < 0 {
			t.Fatalf("generation %d was accepted and is in no head: %v", a.generation, s.written)
		}
		for name, text := range a.changed {
			if s.heads[index][name] != text {
				t.Fatalf("%s is not in generation %d, which was accepted with it", name, a.generation)
			}
		}
	}
}
