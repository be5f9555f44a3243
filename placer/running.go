package placer

import "time"

// RunningFlight is a flight that a host had under way before another one started, or began to
// listen.
type RunningFlight struct {
	Flight
	Host  string // that sends it; "" is this one
	Begun bool   // its first event was seen
}

// RunningFlights is the flights that this host has under way, and where others is set those of
// other hosts, too. Parts of prompts are left out: they are most of what would be told.
func (v *View) RunningFlights(now time.Time, others bool) []RunningFlight {
	var out []RunningFlight
	for _, x := range v.flights {
		if x.from != "" && !others {
			continue
		}
		f := x.Flight
		f.Parts, f.Left = nil, max(x.Left-now.Sub(x.at), 0)
		out = append(out, RunningFlight{Flight: f, Host: x.from, Begun: x.begun})
	}
	return out
}

// ReceiveRunning takes a flight that another host has had under way. Failure: a host that
// starts knows of nothing that is at the engines. It takes them for empty, and fills them
// beyond their slots; streams are taken off for what it sends. Nothing is learned from it,
// as it was not asked for now.
func (v *View) ReceiveRunning(now time.Time, from string, r RunningFlight) {
	f := r.Flight
	if r.Begun {
		f.Prefill = 0
	}
	x := v.hear(now, from, f)
	if x == nil || !r.Begun {
		return
	}
	x.begun = true
	if w := v.workers[f.Worker]; w != nil && w.has(x) {
		w.began(now, x, 0)
	}
}
