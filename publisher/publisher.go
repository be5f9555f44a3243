// Package publisher accepts configurations and follows the one in force.
//
// The whole folder is one object. A push is accepted by one conditional write;
// its generation is the version that the write got.
package publisher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/storer"
)

// Key is where the configuration lives in the Object API.
const Key = "config/head"

// ErrRaced says that another push landed first.
var ErrRaced = errors.New("another push landed first")

// Head is the configuration in the Object API.
type Head struct {
	Files      loader.Files
	Generation uint64
}

type stored struct {
	Files loader.Files `json:"files"`
	Nonce string       `json:"nonce"`
}

// Read returns the head; a zero Head where nothing was pushed yet.
func Read(ctx context.Context, s storer.Store) (Head, error) {
	o, err := s.Get(ctx, Key)
	if errors.Is(err, storer.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, fmt.Errorf("read configuration: %w", err)
	}
	return decode(o)
}

func decode(o storer.Object) (Head, error) {
	var v stored
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return Head{}, fmt.Errorf("read configuration: %w", err)
	}
	return Head{Files: v.Files, Generation: o.Version}, nil
}

// Push replaces the head that has generation base, and returns the new
// generation. The nonce names this push.
func Push(ctx context.Context, s storer.Store, f loader.Files, base uint64, nonce string) (uint64, error) {
	if _, err := f.Parse(); err != nil {
		return 0, err
	}
	value, err := json.Marshal(stored{Files: f, Nonce: nonce})
	if err != nil {
		return 0, fmt.Errorf("push: %w", err)
	}
	g, err := s.Put(ctx, Key, value, storer.Condition{Match: base, Absent: base == 0})
	if errors.Is(err, storer.ErrConflict) {
		return 0, fmt.Errorf("push: %w", ErrRaced)
	}
	if err != nil {
		return 0, fmt.Errorf("push: %w", err)
	}
	return g, nil
}
