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

// Base is what a folder was pulled at: the generation, and the hash of each of
// its files. The zero Base is that of a folder that was never pulled or pushed.
type Base struct {
	Generation uint64            `json:"generation"`
	Files      map[string]string `json:"files"` // hash by name
}

// BaseOf is the base of a folder that holds just these files.
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

// ChangedFiles is the names of the files that f adds, edits or removes against the
// base, in order.
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

// nonce names the push of f on this base. It follows from both, so that a push
// that is repeated after a lost reply is known by the same name.
func (b Base) nonce(f loader.Files) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%d\n", b.Generation)
	for _, name := range b.ChangedFiles(f) {
		text, ok := f[name]
		fmt.Fprintf(sum, "%q %t %s\n", name, ok, hashOf(text))
	}
	return hex.EncodeToString(sum.Sum(nil))[:32]
}

// ConflictError says that files were changed both here and in the head.
type ConflictError struct {
	Files      []string // names, in order
	Generation uint64   // of the head
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("changed here and in generation %d: %s", e.Generation, strings.Join(e.Files, ", "))
}

// rebase puts what f changed against its base onto the head's files. A file
// changed on both sides in the same way is no clash.
func rebase(b Base, f loader.Files, head Head) (loader.Files, error) {
	merged := maps.Clone(head.Files)
	if merged == nil {
		merged = loader.Files{}
	}
	theirs := b.ChangedFiles(head.Files)
	var clash []string
	for _, name := range b.ChangedFiles(f) {
		text, here := f[name]
		other, there := head.Files[name]
		if slices.Contains(theirs, name) && (here != there || text != other) {
			clash = append(clash, name)
			continue
		}
		if here {
			merged[name] = text
		} else {
			delete(merged, name)
		}
	}
	if len(clash) > 0 {
		return nil, &ConflictError{Files: clash, Generation: head.Generation}
	}
	return merged, nil
}
