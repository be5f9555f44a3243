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
	"github.com/cicadawood/cicadawood/storer"
)

const (
	layoutKey  = keeper.Prefix + "layout"
	layoutWait = 500 * time.Millisecond // between tries to read the layout
	// relayoutSpread is the time in which hosts write the layout again, one after the other.
	relayoutSpread = 2 * time.Second
)

// layoutKnown tells how keys fall into partitions.
type layoutKnown struct{ layout layout }

func (layoutKnown) event() {}

// result turns an error of the store into the keeper's words.
func result(err error) keeper.Result {
	switch {
	case err == nil:
		return keeper.Done
	case errors.Is(err, storer.ErrNotFound):
		return keeper.Missing
	case errors.Is(err, storer.ErrConflict):
		return keeper.Conflict
	case errors.Is(err, storer.ErrUnavailable):
		return keeper.Down
	default:
		return keeper.Lost
	}
}

// call does one call of the store on a goroutine of its own.
func (k *keeping) call(p *kept, o keeper.Output) {
	ctx := context.Background()
	switch o := o.(type) {
	case keeper.WriteHead:
		k.later(p, k.writeHead(ctx, p, o))
	case keeper.ReadHead:
		k.later(p, k.readHead(ctx, p))
	case keeper.WriteSegment:
		value, err := keeper.EncodeRecords(o.Records)
		if err == nil {
			_, err = k.store.Put(ctx, o.Segment.Key(p.partition), value, storer.Condition{})
		}
		k.warn("write segment", p, err)
		k.later(p, keeper.SegmentWritten{Segment: o.Segment, Result: result(err)})
	case keeper.ReadSegment:
		k.later(p, k.readSegment(ctx, p, o.Segment))
	case keeper.DropSegment:
		k.warn("drop segment", p, k.store.Delete(ctx, o.Segment.Key(p.partition), storer.Condition{}))
	}
}

func (k *keeping) warn(what string, p *kept, err error) {
	if err != nil {
		k.log.Warn(what, zap.Int("partition", p.partition), zap.Error(err))
	}
}

func (k *keeping) writeHead(ctx context.Context, p *kept, o keeper.WriteHead) keeper.Input {
	value, err := o.Head.Encode()
	if err != nil {
		k.warn("write head", p, err)
		return keeper.HeadWritten{Stamp: o.Head.Stamp, Result: keeper.Down}
	}
	k.metrics.bytes(len(value))
	version, err := k.store.Put(ctx, keeper.HeadKey(p.partition), value, storer.Condition{Match: o.Match, Absent: o.Match == 0})
	k.warn("write head", p, err)
	return keeper.HeadWritten{Stamp: o.Head.Stamp, Version: version, Result: result(err)}
}

func (k *keeping) readHead(ctx context.Context, p *kept) keeper.Input {
	object, err := k.store.Get(ctx, keeper.HeadKey(p.partition))
	if err != nil {
		if !errors.Is(err, storer.ErrNotFound) {
			k.warn("read head", p, err)
		}
		return keeper.HeadRead{Era: k.era(), Result: result(err)}
	}
	head, err := keeper.DecodeHead(object.Value)
	if err != nil {
		k.warn("read head", p, err)
		return keeper.HeadRead{Result: keeper.Down}
	}
	return keeper.HeadRead{Head: head, Version: object.Version, Result: keeper.Done}
}

func (k *keeping) readSegment(ctx context.Context, p *kept, s keeper.Segment) keeper.Input {
	object, err := k.store.Get(ctx, s.Key(p.partition))
	var entries []*keeper.Record
	if err == nil {
		entries, err = keeper.DecodeRecords(object.Value)
	}
	if err != nil {
		k.warn("read segment", p, err)
		if errors.Is(err, storer.ErrNotFound) {
			return keeper.SegmentRead{Segment: s, Result: keeper.Missing}
		}
		return keeper.SegmentRead{Segment: s, Result: keeper.Down}
	}
	return keeper.SegmentRead{Segment: s, Records: entries, Result: keeper.Done}
}

// layout is how keys fall into partitions. It is written once and never again:
// under another count, a repeated key could meet a keeper that does not know it.
type layout struct {
	Partitions int    `json:"partitions"`
	Era        uint64 `json:"era,omitempty"` // of the store, when it was written first
}

// runLayout reads the layout, or fixes it where there is none yet.
func (k *keeping) runLayout(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := k.readLayout(ctx)
		if err == nil {
			k.control.post(layoutKnown{layout: l})
			return
		}
		k.log.Warn("layout", zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(layoutWait):
		}
	}
}

func (k *keeping) readLayout(ctx context.Context) (layout, error) {
	object, err := k.store.Get(ctx, layoutKey)
	if errors.Is(err, storer.ErrNotFound) {
		k.writeLayout(ctx, layout{Partitions: k.limits.Partitions, Era: k.era()})
		// Whoever wrote it, and whether the reply came or not: read what is there.
		object, err = k.store.Get(ctx, layoutKey)
	}
	if err != nil {
		return layout{}, fmt.Errorf("read layout: %w", err)
	}
	var l layout
	if err := json.Unmarshal(object.Value, &l); err != nil || l.Partitions <= 0 {
		return layout{}, fmt.Errorf("read layout: %q", object.Value)
	}
	return l, nil
}

// writeLayout writes a layout where there is none.
func (k *keeping) writeLayout(ctx context.Context, l layout) {
	value, err := json.Marshal(l)
	if err == nil {
		_, err = k.store.Put(ctx, layoutKey, value, storer.Condition{Absent: true})
	}
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		k.log.Warn("write layout", zap.Error(err))
	}
}

// relayout writes the layout again where a store that came back from an older copy has
// lost it. Failure: under another one a repeated key meets a keeper that does not know it.
func (k *keeping) relayout(ctx context.Context, l layout) {
	pause(ctx, rand.N(relayoutSpread))
	k.writeLayout(ctx, l)
}
