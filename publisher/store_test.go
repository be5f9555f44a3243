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

// outcome is what becomes of one write to a fake store.
type outcome int

const (
	lands   outcome = iota
	refused         // certainly not: the store is down
	lost            // lands, and its reply is lost
	dropped         // its reply is lost, and it never lands
	late            // its reply is lost, and it arrives after the next write
)

// fakeStore holds one object in memory.
type fakeStore struct {
	value    []byte
	version  storer.Version
	down     bool
	fates    []outcome           // of the next writes; lands once they are used up
	before   func()              // runs between a pusher's read and its write
	late     func()              // the delayed write
	heads    []loader.Files      // of every version
	written  []uint64            // generations, in order
	touching map[string]string   // what the push under way touches
	touched  []map[string]string // by the push of every version
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
	if f := s.before; f != nil {
		s.before = nil
		f()
	}
	fate, touching := lands, s.touching
	if len(s.fates) > 0 {
		fate, s.fates = s.fates[0], s.fates[1:]
	}
	if s.down {
		fate = refused
	}
	defer func(f func()) {
		if f != nil {
			f()
		}
	}(s.late)
	s.late = nil
	switch fate {
	case refused:
		return 0, storer.ErrUnavailable
	case dropped:
		return 0, storer.ErrUnknown
	case late:
		s.late = func() { _ = s.write(value, c, touching) }
		return 0, storer.ErrUnknown
	case lost:
		_ = s.write(value, c, touching)
		return 0, storer.ErrUnknown
	}
	err := s.write(value, c, touching)
	return s.version, err
}

func (s *fakeStore) write(value []byte, c storer.Condition, touching map[string]string) error {
	if c.Absent && s.version != 0 || c.Match != 0 && c.Match != s.version {
		return storer.ErrConflict
	}
	h, err := publisher.Unpack(value)
	if err != nil {
		return err
	}
	s.value, s.version = value, s.version+1
	s.heads, s.written = append(s.heads, h.Files), append(s.written, h.Generation)
	s.touched = append(s.touched, touching)
	return nil
}

// head is what the store holds, also while it is down.
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

// class is a file with one class.
func class(name string, tier int) string {
	return fmt.Sprintf(`{"classes": {%q: {"tier": %d, "whole": "1s"}}}`, name, tier)
}

// newOperator is one whose folder is up to date.
func newOperator(s *fakeStore) *operator {
	o := &operator{store: s, files: loader.Files{}}
	o.landed(s.head())
	return o
}

func (o *operator) landed(h publisher.Head) {
	o.base, o.files = publisher.BaseOf(h.Generation, h.Files), maps.Clone(h.Files)
	if o.files == nil {
		o.files = loader.Files{}
	}
}

func (o *operator) edit(name string, tier int) *operator {
	o.files[name+".json"] = class(name, tier)
	return o
}

// push pushes at a time in seconds, and brings the folder up to date.
func (o *operator) push(seconds int64) (publisher.Result, error) {
	p := publisher.Pusher{
		Store: o.store,
		Now:   func() time.Time { return time.Unix(seconds, 0) },
		Sleep: o.pause,
	}
	r, err := p.Push(context.Background(), publisher.Change{Files: maps.Clone(o.files), Base: o.base})
	if err == nil {
		o.landed(r.Head)
	}
	return r, err
}

func (*operator) pause(context.Context, time.Duration) {}

// racing is a store at which something happens after one write, or before each.
type racing struct {
	*fakeStore
	race   func()
	always bool
}

func (r *racing) Put(ctx context.Context, key string, value []byte, c storer.Condition) (storer.Version, error) {
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
