package resumer

import "time"

// HostsLost records that hosts which could be asked can't be any more: they failed, or this host is
// cut off from them. Within the life of a stream they count as asked and silent.
func (r *Resumer) HostsLost(now time.Time, hosts []string) {
	for _, h := range hosts {
		r.lost[h] = now
	}
}

// askable returns the number of hosts that were asked for a lookup, or would have been if they were
// not lost.
func (r *Resumer) askable(l *lookup) int {
	n := l.asked
	for h := range r.lost {
		if !l.names[h] {
			n++
		}
	}
	return n
}
