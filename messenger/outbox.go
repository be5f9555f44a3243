package messenger

import (
	"slices"
	"time"
)

// outbox is the messages for one peer, in order: those sent and not yet
// acknowledged, then those not yet sent on the present connection. It is pure;
// its owner locks it.
type outbox struct {
	items    []item
	next     int       // index of the first item not yet sent on this connection
	peer     uint64    // incarnation that the last connection met; 0 before the first
	progress time.Time // of the last acknowledgement, or of the first frame after none was open
}

// item is one message, encoded.
type item struct {
	sequence uint64
	kind     string
	body     []byte
	queued   time.Time
	sent     bool // on any connection
}

func (o *outbox) add(i item) { o.items = append(o.items, i) }

// take returns the next item to write; again says that it was written before.
func (o *outbox) take(now time.Time) (i item, again, ok bool) {
	if o.next == len(o.items) {
		return item{}, false, false
	}
	if o.next == 0 {
		o.progress = now
	}
	i = o.items[o.next]
	o.items[o.next].sent = true
	o.next++
	return i, i.sent, true
}

// ack drops what the peer has. It never counts an item as had that was not
// sent on this connection or an earlier one.
func (o *outbox) ack(now time.Time, sequence uint64) {
	n := 0
	for n < len(o.items) && o.items[n].sent && o.items[n].sequence <= sequence {
		n++
	}
	if n == 0 {
		return
	}
	o.items = slices.Delete(o.items, 0, n)
	o.next = max(o.next-n, 0)
	o.progress = now
}

// open starts a connection on which the peer has said its incarnation and what
// it has received. What an earlier incarnation may have taken is not given to
// its successor, which knows nothing of it; the number of such items is returned.
func (o *outbox) open(now time.Time, w welcome) (lost int) {
	if o.peer != 0 && o.peer != w.Incarnation {
		before := len(o.items)
		o.items = slices.DeleteFunc(o.items, func(i item) bool { return i.sent })
		lost = before - len(o.items)
	} else {
		o.ack(now, w.Received)
	}
	o.peer, o.next = w.Incarnation, 0
	return lost
}

// expire drops items older than hold. It is called before open only, which
// starts again at the first item.
func (o *outbox) expire(now time.Time, hold time.Duration) int {
	before := len(o.items)
	o.items = slices.DeleteFunc(o.items, func(i item) bool { return now.Sub(i.queued) > hold })
	return before - len(o.items)
}

// unacknowledged says whether the peer owes an acknowledgement on this connection.
func (o *outbox) unacknowledged() bool { return o.next > 0 }

// silent says whether the connection has owed an acknowledgement for longer
// than bound. Failure: something between the two ends has lost track of the
// connection, and bytes written to it vanish without an error. It shows as
// frames that are never acknowledged, while a new connection works.
func (o *outbox) silent(now time.Time, bound time.Duration) bool {
	return o.unacknowledged() && now.Sub(o.progress) >= bound
}
