package placer

import "github.com/cespare/xxhash/v2"

// SetDeciders sets the number of hosts that decide by views of their own, and this host's index
// among them; -1 if it is none of them. With 0 hosts, no slots are left to others.
func (v *View) SetDeciders(hosts, self int) {
	v.deciders, v.self = hosts, self
}

// margin returns the slots of a worker that this view leaves to other hosts. Without it,
// several hosts see the same last slot and fill it at the same time, before they learn of each
// other; the engine then preempts a stream for each request too many. So the last slots, one
// for each other host, belong to a single host.
func (v *View) margin(w *worker) int {
	if v.deciders < 2 || int(xxhash.Sum64String(w.Name)%uint64(v.deciders)) == v.self {
		return 0
	}
	return min(v.deciders-1, w.Slots/4)
}
