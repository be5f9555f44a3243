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

// LeasePrefix is the key prefix of leases in the Object API. Leases are separate from the
// records and are not watched; otherwise every renewal would wake every host.
const LeasePrefix = "leases/"

const removeTimeout = time.Second

// restoreWindow is the time over which the hosts of a fleet spread their checks for lost
// records and leases after the store was restored from an older snapshot.
const restoreWindow = 2 * time.Second

// renewalsPerCheck is the number of lease renewals per check of the stored record. A host
// that removes the record because it declared this one dead also notifies it, so frequent
// checks are not needed.
const renewalsPerCheck = 4

// recorder writes this host's record and lease, and removes those of dead hosts and of
// predecessors.
type recorder struct {
	store         storer.Store
	leaseDuration time.Duration
	log           *zap.Logger
	wake          chan struct{}
	onFirstWrite  func(fresh bool) // called once, when it is known whether the store had a record of this name; nil is none

	mu           sync.Mutex
	self         Record            // to be stored; nothing is stored while it is zero
	dead         map[string]uint64 // incarnations of dead hosts whose record and lease are to be removed, by name
	predecessors []string          // names of earlier processes at this host's address, to be removed
	maybeLost    bool              // the store may have lost the record and the lease

	// Used by the goroutine of run only.
	renewals    uint64
	stored      Record // last known content in the store; zero if unknown
	createTried bool   // creating the record was attempted
}

func newRecorder(s storer.Store, self Record, lease time.Duration, log *zap.Logger) *recorder {
	return &recorder{store: s, leaseDuration: lease, log: log, wake: make(chan struct{}, 1), self: self, dead: map[string]uint64{}}
}

// setRecord sets the record and wakes run to store it.
func (c *recorder) setRecord(self Record) {
	c.mu.Lock()
	c.self = self
	c.mu.Unlock()
	c.notify()
}

// queueDead schedules the removal of a dead host's record and lease.
func (c *recorder) queueDead(h Record) {
	c.mu.Lock()
	c.dead[h.Name] = h.Incarnation
	c.mu.Unlock()
	c.notify()
}

// queuePredecessor schedules the removal of the record and lease of an earlier process at
// this host's address. No process writes them any more, so they are deleted without being
// read.
func (c *recorder) queuePredecessor(name string) {
	c.mu.Lock()
	c.predecessors = append(c.predecessors, name)
	c.mu.Unlock()
	c.notify()
}

// scheduleRestore has the record and the lease checked, and written again if the store has
// lost them. The random delay keeps the hosts of a fleet from all calling a store at the
// moment it is available again.
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

// run keeps the record and the lease in the store up to date until ctx ends. The pause
// between renewals is half a lease on average.
func (c *recorder) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := c.leaseDuration/4 + jitter(c.leaseDuration/4)
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

// reconcile carries out all pending writes and removals. Each step may be repeated: if the
// reply to a write was lost, the next call reads before it writes.
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

// renewLease writes the lease. It first checks the record, if it changed or every
// renewalsPerCheck renewals, and writes it if the store has a different one.
func (c *recorder) renewLease(ctx context.Context, self Record) error {
	self.Unreachable = false
	if c.stored != self || c.renewals%renewalsPerCheck == 0 {
		if err := c.writeRecord(ctx, self); err != nil || c.stored != self {
			return err
		}
	}
	// The store may keep the version if a write changes nothing, and the lease would look as
	// if it had not been renewed. So each renewal is numbered.
	c.renewals++
	value, err := json.Marshal(struct {
		Incarnation uint64 `json:"incarnation"`
		Renewal     uint64 `json:"renewal"`
	}{self.Incarnation, c.renewals})
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	if _, err := c.store.Put(ctx, LeasePrefix+self.Name, value, storer.Condition{}); err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	return nil
}

// writeRecord writes the record if the store has a different one. A process that was frozen
// while its name was given to a new process must not overwrite the new one's record; the
// condition on the version that was read prevents this.
func (c *recorder) writeRecord(ctx context.Context, self Record) error {
	c.stored = Record{}
	if !c.createTried {
		c.createTried = true // most processes have a new name, for which no record exists
		created, err := c.createRecord(ctx, self)
		if created {
			c.reportFirstWrite(true)
		}
		if created || err != nil {
			return err
		}
	}
	o, err := c.store.Get(ctx, Prefix+self.Name)
	if unreachable(err) {
		return fmt.Errorf("read record: %w", err)
	}
	stored, _ := decodeRecord(o)
	c.reportFirstWrite(stored.Incarnation == self.Incarnation) // the reply to the write may have been lost
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

// reportFirstWrite reports whether the store had no record of an earlier process of this name.
func (c *recorder) reportFirstWrite(fresh bool) {
	if c.onFirstWrite != nil {
		c.onFirstWrite(fresh)
		c.onFirstWrite = nil
	}
}

// createRecord writes the record if the store has none under this name, and reports
// whether it did.
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

// removePredecessors removes the records and leases of earlier processes at this address.
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

// removeDead removes the record and lease of a dead incarnation. Those of a newer
// incarnation stay.
func (c *recorder) removeDead(ctx context.Context, name string, incarnation uint64) error {
	for _, prefix := range []string{Prefix, LeasePrefix} {
		o, err := c.store.Get(ctx, prefix+name)
		if errors.Is(err, storer.ErrNotFound) {
			continue
		}
		if unreachable(err) {
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

// removeSelf removes this host's own record and lease at shutdown.
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
