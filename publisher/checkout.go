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

// baseFile is the file of a folder that stores its Base.
const baseFile = ".generation"

// ErrCheckout reports that a folder on the operator's disk can't be read or written.
var ErrCheckout = errors.New("folder")

// Checkout is a working copy of the configuration, a folder on an operator's disk.
type Checkout struct {
	dir   string
	base  Base
	files loader.Files
}

// OpenCheckout reads a folder and its stored base.
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

// Files returns the folder's files.
func (c *Checkout) Files() loader.Files { return c.files }

// Base returns the base of the folder; the zero Base if it was never pulled or pushed.
func (c *Checkout) Base() Base { return c.base }

// Merged returns the files that a push would put in force on top of head.
func (c *Checkout) Merged(head Head) (loader.Files, error) {
	if head.Generation == 0 {
		return c.files, nil
	}
	return rebase(c.base, c.files, head)
}

// Pull updates the folder to head and keeps files that were changed locally. If files were
// changed on both sides, it returns a *ConflictError. With force, the folder becomes an
// exact copy of the head instead.
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

// FastForward replaces the folder by a head that contains its push, and possibly other
// operators' changes.
func (c *Checkout) FastForward(head Head) error {
	return c.write(head.Files, BaseOf(head.Generation, head.Files))
}

// write updates the files first and the base last. If it is interrupted, the files are
// newer than the base, which the next push treats as the same change on both sides.
func (c *Checkout) write(files loader.Files, base Base) error {
	for _, name := range slices.Sorted(maps.Keys(files)) {
		if !loader.IsSettingsFile(name) {
			return fmt.Errorf("%w: %q is not a valid file name", ErrCheckout, name)
		}
		if text, ok := c.files[name]; ok && text == files[name] {
			continue
		}
		if err := replaceFile(filepath.Join(c.dir, name), []byte(files[name])); err != nil {
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
	return replaceFile(filepath.Join(c.dir, baseFile), append(text, '\n'))
}

// replaceFile writes a file atomically.
func replaceFile(path string, text []byte) error {
	temp := path + ".new"
	if err := os.WriteFile(temp, text, 0o644); err != nil {
		return fmt.Errorf("%w: %v", ErrCheckout, err)
	}
	if err := os.Rename(temp, path); err != nil {
		return fmt.Errorf("%w: %v", ErrCheckout, err)
	}
	return nil
}
