package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	layoutKey           = keeper.Prefix + "layout"
	layoutRetryInterval = 500 * time.Millisecond // between attempts to read the layout
	// layoutRewriteSpread is the time over which hosts spread their rewrites of the layout.
	layoutRewriteSpread = 2 * time.Second
)

// layoutRead reports how keys are divided into partitions.
type layoutRead struct{ layout layout }

func (layoutRead) event() {}

// resultOf converts an error of the store to the keeper's result.
func resultOf(err error) keeper.Result {
	switch {
	case err == nil:
		return keeper.Done
	case errors.Is(err, storer.ErrNotFound):
		return keeper.Missing
	case errors.Is(err, storer.ErrConflict):
		return keeper.Conflict
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, storer.ErrUnreadable):
		return keeper.Down
	default:
		return keeper.Lost
	}
}

// callStore performs one call of the store. It runs on its own goroutine.
func (k *onceManager) callStore(p *partitionKeeper, o keeper.Output) {
	ctx := context.Background()
	switch o := o.(type) {
	case keeper.WriteHead:
		k.postInput(p, k.writeHead(ctx, p, o))
	case keeper.ReadHead:
		k.postInput(p, k.readHead(ctx, p))
	case keeper.WriteSegment:
		value, err := keeper.EncodeRecords(o.Records)
		if err == nil {
			_, err = k.store.Put(ctx, o.Segment.Key(p.partition), value, storer.Condition{})
		}
		k.logWarning("write segment", p, err)
		k.postInput(p, keeper.SegmentWritten{Segment: o.Segment, Result: resultOf(err)})
	case keeper.ReadSegment:
		k.postInput(p, k.readSegment(ctx, p, o.Segment))
	case keeper.DropSegment:
		k.logWarning("drop segment", p, k.store.Delete(ctx, o.Segment.Key(p.partition), storer.Condition{}))
	}
}

func (k *onceManager) logWarning(what string, p *partitionKeeper, err error) {
	if err != nil {
		k.log.Warn(what, zap.Int("partition", p.partition), zap.Error(err))
	}
}

func (k *onceManager) writeHead(ctx context.Context, p *partitionKeeper, o keeper.WriteHead) keeper.Input {
	value, err := o.Head.Encode()
	if err != nil {
		k.logWarning("write head", p, err)
		return keeper.HeadWritten{Stamp: o.Head.Stamp, Result: keeper.Down}
	}
	k.metrics.countBytes(len(value))
	version, err := k.store.Put(ctx, keeper.HeadKey(p.partition), value, storer.Condition{Match: o.Match, Absent: o.Match == 0})
	k.logWarning("write head", p, err)
	return keeper.HeadWritten{Stamp: o.Head.Stamp, Version: version, Result: resultOf(err)}
}

func (k *onceManager) readHead(ctx context.Context, p *partitionKeeper) keeper.Input {
	object, err := k.store.Get(ctx, keeper.HeadKey(p.partition))
	if err != nil {
		if !errors.Is(err, storer.ErrNotFound) {
			k.logWarning("read head", p, err)
		}
		return keeper.HeadRead{Era: k.era(), Result: resultOf(err)}
	}
	head, err := keeper.DecodeHead(object.Value)
	if err != nil {
		k.logWarning("read head", p, err)
		return keeper.HeadRead{Result: keeper.Down}
	}
	return keeper.HeadRead{Head: head, Version: object.Version, Result: keeper.Done}
}

func (k *onceManager) readSegment(ctx context.Context, p *partitionKeeper, s keeper.Segment) keeper.Input {
	object, err := k.store.Get(ctx, s.Key(p.partition))
	var records []*keeper.Record
	if err == nil {
		records, err = keeper.DecodeRecords(object.Value)
	}
	if err != nil {
		k.logWarning("read segment", p, err)
		if errors.Is(err, storer.ErrNotFound) {
			return keeper.SegmentRead{Segment: s, Result: keeper.Missing}
		}
		return keeper.SegmentRead{Segment: s, Result: keeper.Down}
	}
	return keeper.SegmentRead{Segment: s, Records: records, Result: keeper.Done}
}

// layout defines how keys are divided into partitions. It is written once and never
// changed: with another number of partitions, a repeated key could reach a keeper that does
// not know it.
type layout struct {
	Partitions int    `json:"partitions"`
	Era        uint64 `json:"era,omitempty"` // of the store when the layout was first written
}

// loadLayout reads the layout, or creates it where there is none yet.
func (k *onceManager) loadLayout(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := k.readLayout(ctx)
		if err == nil {
			k.control.post(layoutRead{layout: l})
			return
		}
		k.log.Warn("layout", zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(layoutRetryInterval):
		}
	}
}

func (k *onceManager) readLayout(ctx context.Context) (layout, error) {
	object, err := k.store.Get(ctx, layoutKey)
	if errors.Is(err, storer.ErrNotFound) {
		k.writeLayout(ctx, layout{Partitions: k.limits.Partitions, Era: k.era()})
		// Read what is stored, whoever wrote it and whether or not the reply arrived.
		object, err = k.store.Get(ctx, layoutKey)
	}
	if err != nil {
		return layout{}, fmt.Errorf("read layout: %w", err)
	}
	var l layout
	if err := json.Unmarshal(object.Value, &l); err != nil || l.Partitions <= 0 || l.Partitions > loader.MaxPartitions {
		return layout{}, fmt.Errorf("read layout: %q", object.Value)
	}
	return l, nil
}

// writeLayout writes a layout where there is none.
func (k *onceManager) writeLayout(ctx context.Context, l layout) {
	value, err := json.Marshal(l)
	if err == nil {
		_, err = k.store.Put(ctx, layoutKey, value, storer.Condition{Absent: true})
	}
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		k.log.Warn("write layout", zap.Error(err))
	}
}

// rewriteLayout writes the layout again where a store restored from an older snapshot has
// lost it. Under another layout, a repeated key could reach a keeper that does not know it.
func (k *onceManager) rewriteLayout(ctx context.Context, l layout) {
	pause(ctx, rand.N(layoutRewriteSpread))
	k.writeLayout(ctx, l)
}
