package messenger

import (
	"slices"
	"time"
)

// outbox is the queue of messages for one peer, in order: those sent and not
// yet acknowledged, then those not yet sent on the present connection. It does
// no I/O; its owner holds a lock.
type outbox struct {
	items           []queuedMessage
	next            int       // index of the first message not yet sent on this connection
	peerIncarnation uint64    // as of the last connection; 0 before the first
	lastProgress    time.Time // last acknowledgement, or first frame after all were acknowledged
}

// queuedMessage is one encoded message.
type queuedMessage struct {
	sequence uint64
	kind     string
	body     []byte
	queued   time.Time
	sent     bool // on any connection
}

func (o *outbox) add(i queuedMessage) { o.items = append(o.items, i) }

// nextUnsent returns the next message to write; resent reports whether it was
// written before.
func (o *outbox) nextUnsent(now time.Time) (i queuedMessage, resent, ok bool) {
	if o.next == len(o.items) {
		return queuedMessage{}, false, false
	}
	if o.next == 0 {
		o.lastProgress = now
	}
	i = o.items[o.next]
	o.items[o.next].sent = true
	o.next++
	return i, i.sent, true
}

// ack removes the messages that the peer has received. Messages that were never
// sent stay queued, regardless of the sequence.
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
	o.lastProgress = now
}

// startConnection applies the welcome of a new connection. If the peer has
// restarted, messages that its previous incarnation may have received are
// dropped, as the new one knows nothing of that state; their number is
// returned.
func (o *outbox) startConnection(now time.Time, w welcome) (dropped int) {
	if o.peerIncarnation != 0 && o.peerIncarnation != w.Incarnation {
		before := len(o.items)
		o.items = slices.DeleteFunc(o.items, func(i queuedMessage) bool { return i.sent })
		dropped = before - len(o.items)
	} else {
		o.ack(now, w.Received)
	}
	o.peerIncarnation, o.next = w.Incarnation, 0
	return dropped
}

// expire drops messages older than hold and returns their number. It must only
// be called right before startConnection, which starts again with the first
// message.
func (o *outbox) expire(now time.Time, hold time.Duration) int {
	before := len(o.items)
	o.items = slices.DeleteFunc(o.items, func(i queuedMessage) bool { return now.Sub(i.queued) > hold })
	return before - len(o.items)
}

// unacknowledged reports whether the peer owes an acknowledgement on this
// connection.
func (o *outbox) unacknowledged() bool { return o.next > 0 }

// stalled reports whether the peer has owed an acknowledgement on this
// connection for at least bound. If a device between the two ends has lost
// track of a connection, bytes written to it vanish without an error: frames
// are never acknowledged, while a new connection works.
func (o *outbox) stalled(now time.Time, bound time.Duration) bool {
	return o.unacknowledged() && now.Sub(o.lastProgress) >= bound
}
