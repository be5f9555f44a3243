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
	loadDelay         = 2 * time.Second        // from the start of ownership until a log is loaded without a call for it
	loadCheckInterval = 500 * time.Millisecond // between checks for logs to load
)

// loadLogs loads the logs of partitions that this host has owned for a while, so that it
// knows them when the store is unavailable. It waits for hosts that are leaving: a seal
// would keep them from recording the outcomes of their operations in flight.
func (k *onceManager) loadLogs(now time.Time) {
	if now.Sub(k.lastLoadCheck) < loadCheckInterval {
		return
	}
	k.lastLoadCheck = now
	leaving := slices.ContainsFunc(k.control.roster.Hosts(), func(h registrar.Record) bool { return h.Leaving })
	for partition, since := range k.ownedSince {
		if p := k.keeperOf(partition); !leaving && now.Sub(since) >= loadDelay && !p.keeper.Summary().Ready {
			k.handle(now, p, keeper.LoadRequested{})
		}
	}
}

// handleRestore handles that the store was restored from an older snapshot.
func (k *onceManager) handleRestore(now time.Time, era uint64) {
	for partition, p := range k.keepers {
		var owned time.Time
		if owner, ok := k.control.roster.Owner(partitionRole(partition)); ok && owner.Name == k.control.self {
			owned = k.ownedSince[partition]
		}
		k.log.Info("log after the store came back", zap.Int("partition", partition), zap.Uint64("era", era), zap.Bool("owner", !owned.IsZero()))
		k.handle(now, p, keeper.StoreRestored{Era: era, OwnedSince: owned})
	}
	if k.partitions > 0 {
		go k.rewriteLayout(context.Background(), k.layout)
	}
}

// updateOwned records since when this host owns which partitions.
func (k *onceManager) updateOwned(now time.Time, r registrar.Roster) {
	for partition := range k.partitions {
		owner, ok := r.Owner(partitionRole(partition))
		if !ok || owner.Name != k.control.self {
			delete(k.ownedSince, partition)
			continue
		}
		if _, known := k.ownedSince[partition]; !known {
			k.ownedSince[partition] = now
		}
	}
}

// setRoster hands over the partitions that have a new owner, and sends calls again whose
// keeper host is gone.
func (k *onceManager) setRoster(now time.Time, r registrar.Roster) {
	if k == nil {
		return
	}
	k.tickSoon(now)
	k.updateOwned(now, r)
	for partition, p := range k.keepers {
		if owner, ok := r.Owner(partitionRole(partition)); ok && owner.Name != k.control.self {
			k.handle(now, p, keeper.Retired{})
		}
	}
	for _, c := range k.calls {
		if !k.keeperHostAlive(c) {
			k.sendToKeeper(now, c)
		}
	}
}
