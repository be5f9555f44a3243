package runner

import "time"

// tickEvery is the time between ticks while calls that must not be repeated are
// under way.
const tickEvery = 20 * time.Millisecond

// soon makes the next tick follow an event.
func (k *keeping) soon(now time.Time) {
	if k != nil && now.Add(tickEvery).Before(k.due) {
		k.due = now.Add(tickEvery)
	}
}

// rearm sets the next tick after one: soon where a call is under way, a record is
// not in the store, a refusal waits for the head or the store is down, else when
// logs are next looked for. A keeper of which nobody wants anything has nothing
// that hangs on a tick.
func (k *keeping) rearm(now time.Time) {
	k.due = now.Add(openEvery)
	if len(k.calls) > 0 {
		k.soon(now)
	}
	for _, p := range k.keepers {
		s := p.keeper.Summary()
		if len(p.payloads) > 0 || s.Operations > 0 || s.Pending > 0 || s.Unconfirmed > 0 || s.Down {
			k.soon(now)
		}
	}
}
