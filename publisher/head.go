package publisher

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/storer"
)

// Key is where the configuration lives in the Object API.
const Key = "config/head"

// Bounds of the stored object.
const (
	// MaxObjectBytes is the most bytes that the packed configuration may take. It lies in
	// the platform as text, a third longer: that stays under the platform's megabyte.
	MaxObjectBytes = 750_000
	// maxUnpacked bounds what a damaged object can cost a host that reads it.
	maxUnpacked = 32 << 20
	// maxLanded is how many pushes the object remembers. A push whose reply was
	// lost can be settled until that many others have landed on top of it.
	maxLanded = 64
)

// Errors of this package.
var (
	// ErrInvalidObject says that a stored configuration can't be read.
	ErrInvalidObject = errors.New("bad configuration object")
	// ErrTooLarge says that the folder does not fit in one object.
	ErrTooLarge = errors.New("folder is too large")
	// ErrUnreadable says that the platform could not be read: nothing was written.
	ErrUnreadable = errors.New("platform can't be read")
)

// landing is one push that landed.
type landing struct {
	Nonce      string `json:"nonce"`
	Generation uint64 `json:"generation"`
}

// Head is a configuration as it is stored: its files, its generation, and the
// last pushes that led to it. The zero Head stands for "nothing pushed yet".
type Head struct {
	Files      loader.Files
	Generation uint64
	landed     []landing      // oldest first
	version    storer.Version // of the object in the platform; 0 where a peer sent it
	packed     []byte
}

// Packed is the head in the form in which it is stored and sent to other hosts.
func (h Head) Packed() []byte { return h.packed }

// stored is the content of the packed object.
type stored struct {
	Generation uint64       `json:"generation"`
	Files      loader.Files `json:"files"`
	Landed     []landing    `json:"landed"`
}

// next is the head that follows h with these files. The generation is at least
// the time in seconds: also where the platform was restored from a backup and
// forgot generations that hosts have in force, the next push is newer than they.
func (h Head) next(f loader.Files, nonce string, seconds uint64) (Head, error) {
	n := Head{Files: f, Generation: max(h.Generation+1, seconds)}
	n.landed = append(slices.Clone(h.landed), landing{Nonce: nonce, Generation: n.Generation})
	n.landed = n.landed[max(0, len(n.landed)-maxLanded):]
	packed, err := n.pack()
	if err != nil {
		return Head{}, err
	}
	n.packed = packed
	return n, nil
}

// NewHead is a head of files that were not pushed but came from elsewhere, under
// the generation that they have there.
func NewHead(f loader.Files, generation uint64) (Head, error) {
	h := Head{Files: f, Generation: generation}
	packed, err := h.pack()
	h.packed = packed
	return h, err
}

func (h Head) pack() ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(stored{Generation: h.Generation, Files: h.Files, Landed: h.landed}); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidObject, err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidObject, err)
	}
	if b.Len() > MaxObjectBytes {
		return nil, fmt.Errorf("%w: %d bytes packed, %d at most; largest file: %s", ErrTooLarge, b.Len(), MaxObjectBytes, largest(h.Files))
	}
	return b.Bytes(), nil
}

func largest(f loader.Files) string {
	names := slices.Sorted(maps.Keys(f))
	return slices.MaxFunc(names, func(a, b string) int { return len(f[a]) - len(f[b]) })
}

// Unpack reads a packed head.
func Unpack(packed []byte) (Head, error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return Head{}, fmt.Errorf("%w: %v", ErrInvalidObject, err)
	}
	text, err := io.ReadAll(io.LimitReader(z, maxUnpacked+1))
	if err != nil {
		return Head{}, fmt.Errorf("%w: %v", ErrInvalidObject, err)
	}
	if len(text) > maxUnpacked {
		return Head{}, fmt.Errorf("%w: over %d bytes unpacked", ErrInvalidObject, maxUnpacked)
	}
	var v stored
	if err := json.Unmarshal(text, &v); err != nil {
		return Head{}, fmt.Errorf("%w: %v", ErrInvalidObject, err)
	}
	if v.Generation == 0 {
		return Head{}, fmt.Errorf("%w: no generation", ErrInvalidObject)
	}
	return Head{Files: v.Files, Generation: v.Generation, landed: v.Landed, packed: packed}, nil
}

// landedAs is the generation that a push landed as.
func (h Head) landedAs(nonce string) (uint64, bool) {
	for _, l := range h.landed {
		if l.Nonce == nonce {
			return l.Generation, true
		}
	}
	return 0, false
}

// remembers says whether every push on top of a generation is still listed, so
// that a nonce that is missing certainly never landed on it.
func (h Head) remembers(generation uint64) bool {
	if len(h.landed) < maxLanded || h.Generation == generation {
		return true
	}
	return slices.ContainsFunc(h.landed, func(l landing) bool { return l.Generation <= generation })
}

// Read returns the head; a zero Head where nothing was pushed yet.
func Read(ctx context.Context, s storer.Store) (Head, error) {
	o, err := s.Get(ctx, Key)
	if errors.Is(err, storer.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, fmt.Errorf("%w: %v", ErrUnreadable, err)
	}
	return headOf(o)
}

func headOf(o storer.Object) (Head, error) {
	h, err := Unpack(o.Value)
	h.version = o.Version
	return h, err
}
