package attributor

import (
	"container/list"
	"time"
)

// recency holds the parts that were served last, the latest maxServed of them. The zero recency is
// empty.
type recency struct {
	order  list.List // of servedPart, the latest at the back
	byPart map[PartID]*list.Element
}

type servedPart struct {
	part PartID
	at   time.Time
}

// touch records that a part was served.
func (r *recency) touch(now time.Time, p PartID) {
	if r.byPart == nil {
		r.byPart = map[PartID]*list.Element{}
	}
	if e := r.byPart[p]; e != nil {
		e.Value = servedPart{p, now}
		r.order.MoveToBack(e)
		return
	}
	r.byPart[p] = r.order.PushBack(servedPart{p, now})
	if r.order.Len() > maxServed {
		oldest := r.order.Remove(r.order.Front()).(servedPart)
		delete(r.byPart, oldest.part)
	}
}

// since reports whether a part was served since a time.
func (r *recency) since(p PartID, from time.Time) bool {
	e := r.byPart[p]
	return e != nil && !e.Value.(servedPart).at.Before(from)
}
