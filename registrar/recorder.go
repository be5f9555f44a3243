package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/storer"
)

// LeasePrefix is where leases live in the Object API. They are apart from the
// records and nobody watches them: else every renewal would wake every host.
const LeasePrefix = "leases/"

const removeTimeout = time.Second

// restoreWindow is the time in which hosts look, one after the other, for what a store lost
// that came back from an older copy.
const restoreWindow = 2 * time.Second

// renewalsPerCheck is how many renewals of the lease come for each look at the record: who took
// it away tells this host so.
const renewalsPerCheck = 4

// recorder writes this host's record and lease, and removes those of the dead.
type recorder struct {
	store storer.Store
	lease time.Duration
	log   *zap.Logger
	wake  chan struct{}

	mu           sync.Mutex
	self         Record // to be stored; a zero Record stores nothing
	dead         map[string]uint64
	predecessors []string // names of processes that ran at this host's address
	maybeLost    bool     // the store may have lost the record and the lease

	// run's goroutine only
	renewals    uint64
	stored      Record // as it was last seen in the store
	createTried bool   // to create it
}

func newRecorder(s storer.Store, self Record, lease time.Duration, log *zap.Logger) *recorder {
	return &recorder{store: s, lease: lease, log: log, wake: make(chan struct{}, 1), self: self, dead: map[string]uint64{}}
}

// setRecord has the record stored soon.
func (c *recorder) setRecord(self Record) {
	c.mu.Lock()
	c.self = self
	c.mu.Unlock()
	c.notify()
}

// queueDead has a dead host's record and lease removed soon.
func (c *recorder) queueDead(h Record) {
	c.mu.Lock()
	c.dead[h.Name] = h.Incarnation
	c.mu.Unlock()
	c.notify()
}

// queuePredecessor has the record and lease removed soon that a process at this host's address left
// behind. Nobody writes these any more, so that they need not be read first.
func (c *recorder) queuePredecessor(name string) {
	c.mu.Lock()
	c.predecessors = append(c.predecessors, name)
	c.mu.Unlock()
	c.notify()
}

// scheduleRestore has the record and the lease written soon where the store has lost them.
// Failure: a store that has just come back is called by all hosts of a fleet in one moment.
func (c *recorder) scheduleRestore() {
	time.AfterFunc(rand.N(restoreWindow), func() {
		c.mu.Lock()
		c.maybeLost = true
		c.mu.Unlock()
		c.notify()
	})
}

func (c *recorder) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run keeps the store in step until ctx ends: half a lease between renewals.
func (c *recorder) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := c.lease/4 + jitter(c.lease/4)
		if err := c.reconcile(ctx); err != nil && ctx.Err() == nil {
			c.log.Warn("renew", zap.Error(err))
			pause = jitter(retryDelay)
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-c.wake:
		}
		t.Stop()
	}
}

// reconcile does all that is due. Every step may be done again: a write whose reply
// was lost is settled by the next reconcile, which reads before it writes.
func (c *recorder) reconcile(ctx context.Context) error {
	c.mu.Lock()
	self := c.self
	if c.maybeLost {
		c.maybeLost, c.stored = false, Record{}
	}
	dead := make(map[string]uint64, len(c.dead))
	for name, incarnation := range c.dead {
		dead[name] = incarnation
	}
	c.mu.Unlock()
	if self.Name != "" {
		if err := c.renewLease(ctx, self); err != nil {
			return err
		}
	}
	if err := c.removePredecessors(ctx); err != nil {
		return err
	}
	for name, incarnation := range dead {
		if err := c.removeDead(ctx, name, incarnation); err != nil {
			return err
		}
		c.mu.Lock()
		if c.dead[name] == incarnation {
			delete(c.dead, name)
		}
		c.mu.Unlock()
	}
	return nil
}

// renewLease writes the lease, and now and then the record where the store has another.
func (c *recorder) renewLease(ctx context.Context, self Record) error {
	self.Unreachable = false
	if c.stored != self || c.renewals%renewalsPerCheck == 0 {
		if err := c.writeRecord(ctx, self); err != nil || c.stored != self {
			return err
		}
	}
	// A write that changes nothing may leave the version as it was, and the lease
	// would look as if nobody renewed it: so each renewal has its number.
	c.renewals++
	lease, err := json.Marshal(struct {
		Incarnation uint64 `json:"incarnation"`
		Renewal     uint64 `json:"renewal"`
	}{self.Incarnation, c.renewals})
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	if _, err := c.store.Put(ctx, LeasePrefix+self.Name, lease, storer.Condition{}); err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	return nil
}

// writeRecord writes the writeRecord where the store has another. Failure: a process that was frozen
// while its name was given to a new one must not overwrite the new one's writeRecord; the
// condition on what was read prevents it.
func (c *recorder) writeRecord(ctx context.Context, self Record) error {
	c.stored = Record{}
	if !c.createTried {
		c.createTried = true // most processes are new under their names
		if created, err := c.createRecord(ctx, self); created || err != nil {
			return err
		}
	}
	o, err := c.store.Get(ctx, Prefix+self.Name)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return fmt.Errorf("read record: %w", err)
	}
	stored, _ := decodeRecord(o)
	if stored.Incarnation > self.Incarnation {
		c.log.Warn("record has a newer incarnation", zap.Uint64("incarnation", stored.Incarnation))
		return nil
	}
	if stored != self {
		c.log.Info("write record", zap.Stringer("found", o.Version), zap.Uint64("incarnation", self.Incarnation))
		if err := c.putRecord(ctx, self, storer.Condition{Match: o.Version, Absent: o.Version == 0}); err != nil {
			return err
		}
	}
	c.stored = self
	return nil
}

// createRecord writes the record where the store has none of this name.
func (c *recorder) createRecord(ctx context.Context, self Record) (bool, error) {
	err := c.putRecord(ctx, self, storer.Condition{Absent: true})
	if errors.Is(err, storer.ErrConflict) {
		return false, nil
	}
	if err == nil {
		c.stored = self
	}
	return err == nil, err
}

func (c *recorder) putRecord(ctx context.Context, self Record, condition storer.Condition) error {
	value, err := json.Marshal(self)
	if err != nil {
		return fmt.Errorf("write record: %w", err)
	}
	if _, err := c.store.Put(ctx, Prefix+self.Name, value, condition); err != nil {
		return fmt.Errorf("write record: %w", err)
	}
	return nil
}

// removePredecessors removes what processes before this one left behind.
func (c *recorder) removePredecessors(ctx context.Context) error {
	c.mu.Lock()
	names := slices.Clone(c.predecessors)
	c.mu.Unlock()
	for _, name := range names {
		for _, prefix := range []string{Prefix, LeasePrefix} {
			if err := c.store.Delete(ctx, prefix+name, storer.Condition{}); err != nil && !errors.Is(err, storer.ErrNotFound) {
				return fmt.Errorf("remove %s: %w", name, err)
			}
		}
		c.mu.Lock()
		c.predecessors = slices.DeleteFunc(c.predecessors, func(n string) bool { return n == name })
		c.mu.Unlock()
	}
	return nil
}

// removeDead removes the record and lease of an incarnation that is gone, and
// nothing of a newer one.
func (c *recorder) removeDead(ctx context.Context, name string, incarnation uint64) error {
	for _, prefix := range []string{Prefix, LeasePrefix} {
		o, err := c.store.Get(ctx, prefix+name)
		if errors.Is(err, storer.ErrNotFound) {
			continue
		}
		if err != nil {
			return fmt.Errorf("remove %s: %w", name, err)
		}
		var v struct {
			Incarnation uint64 `json:"incarnation"`
		}
		if err := json.Unmarshal(o.Value, &v); err == nil && v.Incarnation > incarnation {
			continue
		}
		err = c.store.Delete(ctx, prefix+name, storer.Condition{Match: o.Version})
		if err != nil && !errors.Is(err, storer.ErrNotFound) && !errors.Is(err, storer.ErrConflict) {
			return fmt.Errorf("remove %s: %w", name, err)
		}
	}
	return nil
}

// removeSelf takes this host's own record and lease away, at its end.
func (c *recorder) removeSelf() {
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	if c.self.Name == "" {
		return
	}
	if err := c.removeDead(ctx, c.self.Name, c.self.Incarnation); err != nil {
		c.log.Warn("remove record", zap.Error(err))
	}
}

// leaseExpired watches a host's lease for as long as a lease runs, by this host's own
// clock, and says whether it was never renewed. While the store can't be read it says
// nothing: an outage must kill nobody. One that is not there counts as one that is not
// renewed. Failure: a host that came in an outage writes its lease when the store is back,
// and is declared dead by who looks a moment before.
func (c *recorder) leaseExpired(ctx context.Context, name string) bool {
	var version storer.Version
	var since time.Time
	for ctx.Err() == nil {
		o, err := c.store.Get(ctx, LeasePrefix+name) // version 0 where it is not there
		switch {
		case err != nil && !errors.Is(err, storer.ErrNotFound):
			return false
		case since.IsZero():
			version, since = o.Version, time.Now()
		case o.Version != version:
			return false
		case time.Since(since) >= c.lease:
			return true
		}
		sleep(ctx, c.lease/4)
	}
	return false
}
