package attributor

import (
	"container/list"
	"time"
)

// recency holds what is known of the parts that were sent or served last, of at most maxRecent of
// them. The zero recency is empty.
type recency struct {
	order  list.List // of *recentPart, the latest at the back
	byPart map[PartID]*list.Element
}

type recentPart struct {
	part     PartID
	sent     int       // requests with it
	servedAt time.Time // when one was last answered; zero for never
}

// touch returns what is known of a part, as the latest one.
func (r *recency) touch(p PartID) *recentPart {
	if r.byPart == nil {
		r.byPart = map[PartID]*list.Element{}
	}
	if e := r.byPart[p]; e != nil {
		r.order.MoveToBack(e)
		return e.Value.(*recentPart)
	}
	x := &recentPart{part: p}
	r.byPart[p] = r.order.PushBack(x)
	if r.order.Len() > maxRecent {
		oldest := r.order.Remove(r.order.Front()).(*recentPart)
		delete(r.byPart, oldest.part)
	}
	return x
}

// servedSince reports whether a part was served since a time.
func (r *recency) servedSince(p PartID, from time.Time) bool {
	e := r.byPart[p]
	return e != nil && !e.Value.(*recentPart).servedAt.Before(from)
}

// sent returns the number of requests with a part that were sent recently.
func (r *recency) sent(p PartID) int {
	if e := r.byPart[p]; e != nil {
		return e.Value.(*recentPart).sent
	}
	return 0
}
