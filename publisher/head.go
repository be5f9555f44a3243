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

// Key is the key of the configuration in the Object API.
const Key = "config/head"

// Limits of the stored object.
const (
	// MaxObjectBytes limits the packed configuration. The platform stores it as base64,
	// which is a third longer and still below the platform's limit of 1 MiB.
	MaxObjectBytes = 750_000
	// maxUnpackedBytes limits the memory that a damaged object can cost its reader.
	maxUnpackedBytes = 32 << 20
	// maxPushRecords is the number of pushes that the object lists. The outcome of a push
	// whose reply was lost can be determined until that many others landed on top of it.
	maxPushRecords = 64
	// maxGeneration leaves room for later ones: none could follow the largest number.
	maxGeneration = 1 << 62
)

// Errors of this package.
var (
	// ErrInvalidObject reports a stored configuration that can't be decoded.
	ErrInvalidObject = errors.New("bad configuration object")
	// ErrTooLarge reports a folder that does not fit into one object.
	ErrTooLarge = errors.New("folder is too large")
	// ErrUnreadable reports that the platform can't be read; nothing was written.
	ErrUnreadable = errors.New("platform can't be read")
)

// pushRecord is one push that landed, as the object lists it.
type pushRecord struct {
	ID         string `json:"nonce"`
	Generation uint64 `json:"generation"`
}

// Head is a configuration as it is stored: its files, its generation and the most
// recent pushes. The zero Head means that nothing was pushed yet.
type Head struct {
	Files      loader.Files
	Generation uint64
	pushes     []pushRecord   // oldest first
	version    storer.Version // of the object in the platform; 0 if a peer sent it
	packed     []byte
}

// Packed returns the head as it is stored and sent to other hosts: JSON, gzipped.
func (h Head) Packed() []byte { return h.packed }

// packedHead is the content of the stored object.
type packedHead struct {
	Generation uint64       `json:"generation"`
	Files      loader.Files `json:"files"`
	Pushes     []pushRecord `json:"landed"`
}

// next returns the successor of h with the given files. Its generation is at least the
// Unix time in seconds: a platform restored from a backup has lost generations that hosts
// still have in force, and the next push must be newer than those as well.
func (h Head) next(f loader.Files, id string, seconds uint64) (Head, error) {
	n := Head{Files: f, Generation: max(h.Generation+1, seconds)}
	n.pushes = append(slices.Clone(h.pushes), pushRecord{ID: id, Generation: n.Generation})
	n.pushes = n.pushes[max(0, len(n.pushes)-maxPushRecords):]
	packed, err := n.pack()
	if err != nil {
		return Head{}, err
	}
	n.packed = packed
	return n, nil
}

// NewHead returns a head of files that were not pushed but read from another source,
// with the generation that they have there.
func NewHead(f loader.Files, generation uint64) (Head, error) {
	if err := checkGeneration(generation); err != nil {
		return Head{}, err
	}
	h := Head{Files: f, Generation: generation}
	packed, err := h.pack()
	h.packed = packed
	return h, err
}

func (h Head) pack() ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(packedHead{Generation: h.Generation, Files: h.Files, Pushes: h.pushes}); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidObject, err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidObject, err)
	}
	if b.Len() > MaxObjectBytes {
		return nil, fmt.Errorf("%w: %d bytes packed, %d at most; largest file: %s", ErrTooLarge, b.Len(), MaxObjectBytes, largestFile(h.Files))
	}
	return b.Bytes(), nil
}

func largestFile(f loader.Files) string {
	names := slices.Sorted(maps.Keys(f))
	return slices.MaxFunc(names, func(a, b string) int { return len(f[a]) - len(f[b]) })
}

// Unpack decodes a packed head.
func Unpack(packed []byte) (Head, error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return Head{}, fmt.Errorf("%w: %v", ErrInvalidObject, err)
	}
	text, err := io.ReadAll(io.LimitReader(z, maxUnpackedBytes+1))
	if err != nil {
		return Head{}, fmt.Errorf("%w: %v", ErrInvalidObject, err)
	}
	if len(text) > maxUnpackedBytes {
		return Head{}, fmt.Errorf("%w: over %d bytes unpacked", ErrInvalidObject, maxUnpackedBytes)
	}
	var v packedHead
	if err := json.Unmarshal(text, &v); err != nil {
		return Head{}, fmt.Errorf("%w: %v", ErrInvalidObject, err)
	}
	if err := checkGeneration(v.Generation); err != nil {
		return Head{}, err
	}
	return Head{Files: v.Files, Generation: v.Generation, pushes: v.Pushes, packed: packed}, nil
}

func checkGeneration(generation uint64) error {
	switch {
	case generation == 0:
		return fmt.Errorf("%w: no generation", ErrInvalidObject)
	case generation > maxGeneration:
		return fmt.Errorf("%w: generation %d is over %d", ErrInvalidObject, generation, uint64(maxGeneration))
	}
	return nil
}

// generationOf returns the generation of the push with the given ID, if it is listed.
func (h Head) generationOf(id string) (uint64, bool) {
	for _, r := range h.pushes {
		if r.ID == id {
			return r.Generation, true
		}
	}
	return 0, false
}

// recordsSince reports whether every push after a generation is still listed, so that
// a push that is not listed certainly did not land on that generation.
func (h Head) recordsSince(generation uint64) bool {
	if len(h.pushes) < maxPushRecords || h.Generation == generation {
		return true
	}
	return slices.ContainsFunc(h.pushes, func(r pushRecord) bool { return r.Generation <= generation })
}

// Read returns the stored head, or the zero Head if nothing was pushed yet.
func Read(ctx context.Context, s storer.Store) (Head, error) {
	o, err := s.Get(ctx, Key)
	if errors.Is(err, storer.ErrNotFound) {
		return Head{}, nil
	}
	if errors.Is(err, storer.ErrUnreadable) {
		return Head{}, fmt.Errorf("%w: %v", ErrInvalidObject, err)
	}
	if err != nil {
		return Head{}, fmt.Errorf("%w: %v", ErrUnreadable, err)
	}
	return decodeObject(o)
}

func decodeObject(o storer.Object) (Head, error) {
	h, err := Unpack(o.Value)
	h.version = o.Version
	return h, err
}
