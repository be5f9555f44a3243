package placer

import "github.com/cespare/xxhash/v2"

// SetDeciders tells the view that so many hosts decide by views of their own, and which of them
// this one is, from 0; -1 where it is none of them. 0 hosts share nothing.
func (v *View) SetDeciders(hosts, self int) {
	v.sharers, v.self = hosts, self
}

// margin is the slots of a worker that this view leaves to others. Failure: several hosts
// see the same last slot and fill it at once, before they hear of one another; the engine
// then takes a request off its stream for each one too many. So the last ones are one
// host's alone, as many as there are others.
func (v *View) margin(w *worker) int {
	if v.sharers < 2 || int(xxhash.Sum64String(w.Name)%uint64(v.sharers)) == v.self {
		return 0
	}
	return min(v.sharers-1, w.Slots/4)
}
