package runner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/registrar"
)

const (
	openAfter = 2 * time.Second        // of ownership, before a log is read unasked
	openEvery = 500 * time.Millisecond // between looks for logs to read
)

// open reads the logs of partitions that this host has owned for a while, so that
// it knows them in an outage. It waits for hosts that are leaving: a seal would
// keep them from recording the outcomes of what they have in flight.
func (k *keeping) open(now time.Time) {
	if now.Sub(k.opened) < openEvery {
		return
	}
	k.opened = now
	leaving := slices.ContainsFunc(k.control.roster.Hosts(), func(h registrar.Record) bool { return h.Leaving })
	for partition, since := range k.owned {
		if p := k.keeperOf(partition); !leaving && now.Sub(since) >= openAfter && !p.keeper.Summary().Ready {
			k.handle(now, p, keeper.LoadRequested{})
		}
	}
}

// restored takes that the store came back from an older copy of itself.
func (k *keeping) restored(now time.Time, era uint64) {
	for partition, p := range k.keepers {
		var owned time.Time
		if owner, ok := k.control.roster.Owner(role(partition)); ok && owner.Name == k.control.self {
			owned = k.owned[partition]
		}
		k.log.Info("log after the store came back", zap.Int("partition", partition), zap.Uint64("era", era), zap.Bool("owner", !owned.IsZero()))
		k.handle(now, p, keeper.StoreRestored{Era: era, OwnedSince: owned})
	}
	if k.partitions > 0 {
		go k.relayout(context.Background(), k.layout)
	}
}

// own notes since when this host owns which partitions.
func (k *keeping) own(now time.Time, r registrar.Roster) {
	for partition := range k.partitions {
		owner, ok := r.Owner(role(partition))
		if !ok || owner.Name != k.control.self {
			delete(k.owned, partition)
			continue
		}
		if _, known := k.owned[partition]; !known {
			k.owned[partition] = now
		}
	}
}

// enroll hands over the partitions that have a new owner.
func (k *keeping) enroll(now time.Time, r registrar.Roster) {
	if k == nil {
		return
	}
	k.soon(now)
	k.own(now, r)
	for partition, p := range k.keepers {
		if owner, ok := r.Owner(role(partition)); ok && owner.Name != k.control.self {
			k.handle(now, p, keeper.Retired{})
		}
	}
	for _, c := range k.calls {
		if !k.still(c) {
			k.register(now, c)
		}
	}
}
