package publisher_test

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/publisher"
	"github.com/cicadawood/cicadawood/storer"
)

// outcome is the result of one write to a fake store.
type outcome int

const (
	lands        outcome = iota
	refused              // has no effect: the store is down
	replyLost            // takes effect, and its reply is lost
	writeLost            // has no effect, and its reply is lost
	writeDelayed         // takes effect after the next write, and its reply is lost
)

// fakeStore holds one object in memory.
type fakeStore struct {
	value       []byte
	version     storer.Version
	down        bool
	outcomes    []outcome           // of the next writes; all further ones land
	beforeWrite func()              // called once, between a pusher's read and its write
	lateWrite   func()              // the delayed write
	heads       []loader.Files      // of every version
	written     []uint64            // generations, in order
	changing    map[string]string   // files that the current push changes
	changed     []map[string]string // files changed by the push of every version
}

func (s *fakeStore) Get(_ context.Context, key string) (storer.Object, error) {
	if s.down {
		return storer.Object{}, storer.ErrUnavailable
	}
	if s.version == 0 {
		return storer.Object{}, storer.ErrNotFound
	}
	return storer.Object{Key: key, Value: s.value, Version: s.version}, nil
}

func (s *fakeStore) Put(_ context.Context, _ string, value []byte, c storer.Condition) (storer.Version, error) {
	if f := s.beforeWrite; f != nil {
		s.beforeWrite = nil
		f()
	}
	result, changing := lands, s.changing
	if len(s.outcomes) > 0 {
		result, s.outcomes = s.outcomes[0], s.outcomes[1:]
	}
	if s.down {
		result = refused
	}
	defer func(f func()) {
		if f != nil {
			f()
		}
	}(s.lateWrite)
	s.lateWrite = nil
	switch result {
	case refused:
		return 0, storer.ErrUnavailable
	case writeLost:
		return 0, storer.ErrUnknown
	case writeDelayed:
		s.lateWrite = func() { _ = s.write(value, c, changing) }
		return 0, storer.ErrUnknown
	case replyLost:
		_ = s.write(value, c, changing)
		return 0, storer.ErrUnknown
	}
	err := s.write(value, c, changing)
	return s.version, err
}

func (s *fakeStore) write(value []byte, c storer.Condition, changing map[string]string) error {
	if c.Absent && s.version != 0 || c.Match != 0 && c.Match != s.version {
		return storer.ErrConflict
	}
	h, err := publisher.Unpack(value)
	if err != nil {
		return err
	}
	s.value, s.version = value, s.version+1
	s.heads, s.written = append(s.heads, h.Files), append(s.written, h.Generation)
	s.changed = append(s.changed, changing)
	return nil
}

// head returns the stored head, even while the store is down.
func (s *fakeStore) head() publisher.Head {
	h, _ := publisher.Unpack(s.value)
	return h
}

func (*fakeStore) Delete(context.Context, string, storer.Condition) error {
	return storer.ErrUnavailable
}

func (*fakeStore) List(context.Context, string) ([]storer.Object, storer.Version, error) {
	return nil, 0, storer.ErrUnavailable
}

func (*fakeStore) Watch(context.Context, string, storer.Version, time.Duration) ([]storer.Object, storer.Version, error) {
	return nil, 0, storer.ErrUnavailable
}

// operator edits a folder and pushes it.
type operator struct {
	store *fakeStore
	base  publisher.Base
	files loader.Files
}

// class returns the text of a file that defines one class.
func class(name string, tier int) string {
	return fmt.Sprintf(`{"classes": {%q: {"tier": %d, "whole": "1s"}}}`, name, tier)
}

// newOperator returns an operator with an up-to-date folder.
func newOperator(s *fakeStore) *operator {
	o := &operator{store: s, files: loader.Files{}}
	o.update(s.head())
	return o
}

func (o *operator) update(h publisher.Head) {
	o.base, o.files = publisher.BaseOf(h.Generation, h.Files), maps.Clone(h.Files)
	if o.files == nil {
		o.files = loader.Files{}
	}
}

func (o *operator) edit(name string, tier int) *operator {
	o.files[name+".json"] = class(name, tier)
	return o
}

// push pushes at a Unix time in seconds, and updates the folder.
func (o *operator) push(seconds int64) (publisher.Result, error) {
	p := publisher.Pusher{
		Store: o.store,
		Now:   func() time.Time { return time.Unix(seconds, 0) },
		Sleep: o.sleep,
	}
	r, err := p.Push(context.Background(), publisher.Change{Files: maps.Clone(o.files), Base: o.base})
	if err == nil {
		o.update(r.Head)
	}
	return r, err
}

func (*operator) sleep(context.Context, time.Duration) {}

// racingStore is a store that calls race after its first write, or before each write if
// always is set.
type racingStore struct {
	*fakeStore
	race   func()
	always bool
}

func (r *racingStore) Put(ctx context.Context, key string, value []byte, c storer.Condition) (storer.Version, error) {
	if r.always {
		r.race()
		return r.fakeStore.Put(ctx, key, value, c)
	}
	version, err := r.fakeStore.Put(ctx, key, value, c)
	if f := r.race; f != nil {
		r.race = nil
		f()
	}
	return version, err
}
