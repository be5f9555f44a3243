package publisher

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cicadawood/cicadawood/loader"
)

// Base identifies the head that a folder was pulled at: its generation and the hash of
// each of its files. The zero Base belongs to a folder that was never pulled or pushed.
type Base struct {
	Generation uint64            `json:"generation"`
	Files      map[string]string `json:"files"` // SHA-256 in hex, by file name
}

// BaseOf returns the base of a folder with exactly these files.
func BaseOf(generation uint64, f loader.Files) Base {
	b := Base{Generation: generation, Files: map[string]string{}}
	for name, text := range f {
		b.Files[name] = hashOf(text)
	}
	return b
}

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// ChangedFiles returns the sorted names of the files that f adds, edits or removes
// relative to the base.
func (b Base) ChangedFiles(f loader.Files) []string {
	var names []string
	for name, text := range f {
		if b.Files[name] != hashOf(text) {
			names = append(names, name)
		}
	}
	for name := range b.Files {
		if _, ok := f[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// pushID returns the ID of the push of f on this base. It is derived from both, so that a
// push that is repeated after a lost reply has the same ID.
func (b Base) pushID(f loader.Files) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%d\n", b.Generation)
	for _, name := range b.ChangedFiles(f) {
		text, ok := f[name]
		fmt.Fprintf(sum, "%q %t %s\n", name, ok, hashOf(text))
	}
	return hex.EncodeToString(sum.Sum(nil))[:32]
}

// ConflictError reports files that were changed both locally and in the head.
type ConflictError struct {
	Files      []string // sorted names
	Generation uint64   // of the head
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("changed here and in generation %d: %s", e.Generation, strings.Join(e.Files, ", "))
}

// rebase applies the changes of f relative to its base to the head's files. A file that
// was changed in the same way on both sides is not a conflict.
func rebase(base Base, f loader.Files, head Head) (loader.Files, error) {
	merged := maps.Clone(head.Files)
	if merged == nil {
		merged = loader.Files{}
	}
	headChanges := base.ChangedFiles(head.Files)
	var conflicts []string
	for _, name := range base.ChangedFiles(f) {
		text, inFolder := f[name]
		headText, inHead := head.Files[name]
		if slices.Contains(headChanges, name) && (inFolder != inHead || text != headText) {
			conflicts = append(conflicts, name)
			continue
		}
		if inFolder {
			merged[name] = text
		} else {
			delete(merged, name)
		}
	}
	if len(conflicts) > 0 {
		return nil, &ConflictError{Files: conflicts, Generation: head.Generation}
	}
	return merged, nil
}
