// Package registrar keeps the roster: which hosts are there, and which of them
// owns a role. Ownership follows from the roster by rendezvous hashing, so no
// host is set aside and no vote is taken.
package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/storer"
)

// Prefix is where host records live in the Object API.
const Prefix = "hosts/"

// Record is one host as the others see it.
type Record struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Control     string `json:"control"`
	Admin       string `json:"admin"`
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
}

// Roster is the hosts known to be alive, by name. It is never changed once made.
type Roster struct{ hosts []Record }

// NewRoster returns the roster of these hosts.
func NewRoster(hosts ...Record) Roster {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	return Roster{hosts: hosts}
}

// Hosts is every host of the roster, in name order.
func (r Roster) Hosts() []Record { return slices.Clone(r.hosts) }

// Find is the record of a host.
func (r Roster) Find(name string) (Record, bool) {
	i := slices.IndexFunc(r.hosts, func(h Record) bool { return h.Name == name })
	if i < 0 {
		return Record{}, false
	}
	return r.hosts[i], true
}

// Owner is the host that owns a role: the highest rendezvous weight among the
// hosts that are not leaving.
func (r Roster) Owner(role string) (Record, bool) {
	var best Record
	var weight uint64
	for _, h := range r.hosts {
		if w := xxhash.Sum64String(role + "\x00" + h.Name); !h.Leaving && (best.Name == "" || w > weight) {
			best, weight = h, w
		}
	}
	return best, best.Name != ""
}

// Registrar renews this host's record and follows the others'.
type Registrar struct {
	store  storer.Store
	self   Record
	lease  time.Duration
	log    *zap.Logger
	notify func(Roster)
	leave  chan struct{}
}

// New returns a registrar; notify is called with each new roster.
func New(s storer.Store, self Record, lease time.Duration, log *zap.Logger, notify func(Roster)) *Registrar {
	return &Registrar{store: s, self: self, lease: lease, log: log, notify: notify, leave: make(chan struct{})}
}

// sighting is when a version of a record was first seen, by this host's clock.
type sighting struct {
	version uint64
	at      time.Time
}

// Run renews and follows until ctx ends, then removes the record.
func (r *Registrar) Run(ctx context.Context) {
	defer r.remove()
	seen := map[string]sighting{}
	ticker := time.NewTicker(r.lease / 4)
	defer ticker.Stop()
	for {
		if err := r.renew(ctx); err != nil {
			r.log.Warn("renew", zap.Error(err))
		}
		if err := r.read(ctx, seen, time.Now()); err != nil {
			r.log.Warn("roster", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-r.leave:
			r.self.Leaving, r.leave = true, nil
		case <-ticker.C:
		}
	}
}

// Leave marks this host's record as leaving. It is called once.
func (r *Registrar) Leave() { close(r.leave) }

func (r *Registrar) renew(ctx context.Context) error {
	value, err := json.Marshal(r.self)
	if err != nil {
		return fmt.Errorf("renew: %w", err)
	}
	if _, err := r.store.Put(ctx, Prefix+r.self.Name, value, storer.Condition{}); err != nil {
		return fmt.Errorf("renew: %w", err)
	}
	return nil
}

func (r *Registrar) read(ctx context.Context, seen map[string]sighting, now time.Time) error {
	objects, _, err := r.store.List(ctx, Prefix)
	if err != nil {
		return fmt.Errorf("read roster: %w", err)
	}
	var alive []Record
	for _, o := range objects {
		if s := seen[o.Key]; s.version != o.Version {
			seen[o.Key] = sighting{version: o.Version, at: now}
		}
		var h Record
		if err := json.Unmarshal(o.Value, &h); err == nil && now.Sub(seen[o.Key].at) < r.lease {
			alive = append(alive, h)
		}
	}
	r.notify(NewRoster(alive...))
	return nil
}

func (r *Registrar) remove() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := r.store.Delete(ctx, Prefix+r.self.Name, storer.Condition{}); err != nil && !errors.Is(err, storer.ErrNotFound) {
		r.log.Warn("remove record", zap.Error(err))
	}
}
