package storer

import (
	"context"
	"errors"
	"strings"
	"time"
)

// Metered is a Store whose calls are counted.
type Metered struct {
	Store Store
	// Count is called after each call, with its name, the kind of object, which is the
	// first part of the key, and the result.
	Count func(call, kind, result string)
}

func (m Metered) count(call, key string, err error) {
	kind, _, _ := strings.Cut(key, "/")
	m.Count(call, kind, resultOf(err))
}

// Get implements Store.
func (m Metered) Get(ctx context.Context, key string) (Object, error) {
	o, err := m.Store.Get(ctx, key)
	m.count("get", key, err)
	return o, err
}

// Changed reads an object unless its version is still have; it then returns false. If Store
// has no such method, Changed reads the object with Get and compares the versions.
func (m Metered) Changed(ctx context.Context, key string, have Version) (Object, bool, error) {
	c, ok := m.Store.(interface {
		Changed(ctx context.Context, key string, have Version) (Object, bool, error)
	})
	if !ok {
		o, err := m.Get(ctx, key)
		return o, err == nil && o.Version != have, err
	}
	o, changed, err := c.Changed(ctx, key, have)
	m.count("get", key, err)
	return o, changed, err
}

// Put implements Store.
func (m Metered) Put(ctx context.Context, key string, value []byte, c Condition) (Version, error) {
	version, err := m.Store.Put(ctx, key, value, c)
	m.count("put", key, err)
	return version, err
}

// Delete implements Store.
func (m Metered) Delete(ctx context.Context, key string, c Condition) error {
	err := m.Store.Delete(ctx, key, c)
	m.count("delete", key, err)
	return err
}

// List implements Store. A list of several pages is counted once.
func (m Metered) List(ctx context.Context, prefix string) ([]Object, Version, error) {
	all, revision, err := m.Store.List(ctx, prefix)
	m.count("list", prefix, err)
	return all, revision, err
}

// Watch implements Store.
func (m Metered) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Object, Version, error) {
	changed, revision, err := m.Store.Watch(ctx, prefix, after, wait)
	m.count("watch", prefix, err)
	return changed, revision, err
}

// resultOf returns the value of the metric label for a call's error.
func resultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	case errors.Is(err, ErrUnreadable):
		return "unreadable"
	case errors.Is(err, ErrUnknown):
		return "unknown"
	}
	return "failed"
}
