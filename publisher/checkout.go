package publisher

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/cicadawood/cicadawood/loader"
)

// baseFile remembers, in a folder, what it was pulled at.
const baseFile = ".generation"

// ErrCheckout says that a folder on the operator's disk can't be read or written.
var ErrCheckout = errors.New("folder")

// Checkout is a folder on an operator's disk.
type Checkout struct {
	dir   string
	base  Base
	files loader.Files
}

// OpenCheckout reads a folder and the base that it remembers.
func OpenCheckout(dir string) (*Checkout, error) {
	files, err := loader.ReadFiles(dir)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCheckout, err)
	}
	c := &Checkout{dir: dir, files: files}
	text, err := os.ReadFile(filepath.Join(dir, baseFile))
	if errors.Is(err, fs.ErrNotExist) {
		return c, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCheckout, err)
	}
	if err := json.Unmarshal(text, &c.base); err != nil {
		return nil, fmt.Errorf("%w: %s: %v; remove it and pull again", ErrCheckout, filepath.Join(dir, baseFile), err)
	}
	return c, nil
}

// Files is the folder's files.
func (c *Checkout) Files() loader.Files { return c.files }

// Base is what the folder was pulled at; the zero Base where it never was.
func (c *Checkout) Base() Base { return c.base }

// Merged is the folder as a push would put it in force on top of head.
func (c *Checkout) Merged(head Head) (loader.Files, error) {
	if head.Generation == 0 {
		return c.files, nil
	}
	return rebase(c.base, c.files, head)
}

// Pull brings the folder up to head and keeps the files that were changed here.
// A file changed on both sides is a *ClashError; force takes the head's then.
func (c *Checkout) Pull(head Head, force bool) error {
	files, err := c.Merged(head)
	if force {
		files, err = head.Files, nil
	}
	if err != nil {
		return err
	}
	return c.write(files, BaseOf(head.Generation, head.Files))
}

// Landed brings the folder up to a head that holds a push of it: its own changes
// are in there, and others' maybe on top.
func (c *Checkout) Landed(head Head) error {
	return c.write(head.Files, BaseOf(head.Generation, head.Files))
}

// write changes the files first and the base last: if it is broken off between,
// the files are newer than the base, which the next push takes for the same
// change on both sides.
func (c *Checkout) write(files loader.Files, base Base) error {
	for _, name := range slices.Sorted(maps.Keys(files)) {
		if !loader.IsSettingsFile(name) {
			return fmt.Errorf("%w: %q is not a file's name", ErrCheckout, name)
		}
		if text, ok := c.files[name]; ok && text == files[name] {
			continue
		}
		if err := replace(filepath.Join(c.dir, name), []byte(files[name])); err != nil {
			return err
		}
	}
	for name := range c.files {
		if _, ok := files[name]; ok {
			continue
		}
		if err := os.Remove(filepath.Join(c.dir, name)); err != nil {
			return fmt.Errorf("%w: %v", ErrCheckout, err)
		}
	}
	text, err := json.MarshalIndent(base, "", "  ")
	if err != nil {
		return fmt.Errorf("%w: %v", ErrCheckout, err)
	}
	c.files, c.base = files, base
	return replace(filepath.Join(c.dir, baseFile), append(text, '\n'))
}

// replace writes a file whole or not at all.
func replace(path string, text []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, text, 0o644); err != nil {
		return fmt.Errorf("%w: %v", ErrCheckout, err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("%w: %v", ErrCheckout, err)
	}
	return nil
}
