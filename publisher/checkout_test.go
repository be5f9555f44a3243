package publisher_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/publisher"
)

var _ = Describe("Checkout", func() {
	var (
		store    *fakeStore
		ann, ben string
	)
	open := func(dir string) *publisher.Checkout {
		c, err := publisher.OpenCheckout(dir)
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	write := func(dir, name, text string) {
		Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644)).To(Succeed())
	}
	push := func(dir string) error {
		c := open(dir)
		r, err := publisher.Pusher{Store: store}.Push(context.Background(), publisher.Change{Files: c.Files(), Base: c.Base()})
		if err != nil {
			return err
		}
		return c.FastForward(r.Head)
	}
	BeforeEach(func() {
		store = &fakeStore{}
		ann, ben = GinkgoT().TempDir(), GinkgoT().TempDir()
		write(ann, "10.json", class("hold", 0))
		write(ann, "20.json", class("chat", 1))
		Expect(push(ann)).To(Succeed())
		Expect(open(ben).Pull(store.head(), false)).To(Succeed())
	})

	// Guards against a push that removes another operator's file: after a rebased push the
	// folder would have the new base, but not the files that the push was rebased onto.
	It("gets the other changes in the head after a rebased push", Label(prover.Cell(prover.Pushed, prover.PushRace)), func() {
		write(ben, "30.json", class("plan", 2))
		Expect(os.Remove(filepath.Join(ben, "20.json"))).To(Succeed())
		Expect(push(ben)).To(Succeed())
		write(ann, "10.json", class("hold", 3))
		Expect(push(ann)).To(Succeed())
		write(ann, "40.json", class("quote", 0))
		Expect(push(ann)).To(Succeed())
		Expect(store.head().Files).To(Equal(loader.Files{
			"10.json": class("hold", 3), "30.json": class("plan", 2), "40.json": class("quote", 0),
		}))
		Expect(open(ann).Files()).To(Equal(store.head().Files))
	})

	It("keeps local changes on pull, and reports conflicting files", func() {
		write(ben, "10.json", class("hold", 4))
		Expect(push(ben)).To(Succeed())
		write(ann, "20.json", class("chat", 5))
		Expect(open(ann).Pull(store.head(), false)).To(Succeed())
		Expect(open(ann).Files()).To(Equal(loader.Files{"10.json": class("hold", 4), "20.json": class("chat", 5)}))
		Expect(open(ann).Base().ChangedFiles(open(ann).Files())).To(Equal([]string{"20.json"}))

		write(ben, "20.json", class("chat", 6))
		Expect(push(ben)).To(Succeed())
		var conflict *publisher.ConflictError
		Expect(errors.As(open(ann).Pull(store.head(), false), &conflict)).To(BeTrue())
		Expect(conflict.Files).To(Equal([]string{"20.json"}))
		Expect(open(ann).Pull(store.head(), true)).To(Succeed())
		Expect(open(ann).Files()).To(Equal(store.head().Files))
	})

	// Guards against a push that reverts others' changes after an interrupted pull: some of
	// the files are new, the others and the base are old.
	It("reverts nothing after an interrupted pull", Label(prover.Cell(prover.Written, prover.Kill)), func() {
		write(ben, "10.json", class("hold", 4))
		write(ben, "20.json", class("chat", 4))
		Expect(push(ben)).To(Succeed())
		write(ann, "10.json", class("hold", 4)) // interrupted here
		Expect(push(ann)).To(Succeed())
		Expect(store.head().Files).To(Equal(loader.Files{"10.json": class("hold", 4), "20.json": class("chat", 4)}))
	})

	It("rejects file names outside of the folder", func() {
		Expect(open(ann).Pull(publisher.Head{Generation: 9, Files: loader.Files{"../x.json": "{}"}}, true)).To(MatchError(publisher.ErrCheckout))
	})

	It("rejects a base file that can't be decoded", func() {
		write(ann, ".generation", "{")
		_, err := publisher.OpenCheckout(ann)
		Expect(err).To(MatchError(ContainSubstring("pull again")))
	})
})
