package placer

import "time"

// RunningFlight is a flight that was under way before the host that receives it started or
// began to receive updates.
type RunningFlight struct {
	Flight
	Host  string // sender; "" is this host
	Begun bool   // its first event was seen
}

// RunningFlights returns the flights of this host or, if allHosts is set, of all hosts. Parts
// of prompts are left out, as they are most of the data.
func (v *View) RunningFlights(now time.Time, allHosts bool) []RunningFlight {
	var out []RunningFlight
	for _, x := range v.flights {
		if x.host != "" && !allHosts {
			continue
		}
		f := x.Flight
		f.Parts, f.Left = nil, max(x.Left-now.Sub(x.sentAt), 0)
		out = append(out, RunningFlight{Flight: f, Host: x.host, Begun: x.begun})
	}
	return out
}

// ReceiveRunning adds a flight that another host had under way. Without it, a host that starts
// treats the engines as empty and sends more than their slots hold, so that streams are
// preempted. Neither its time nor its demand is learned from, as it was not requested now.
func (v *View) ReceiveRunning(now time.Time, host string, r RunningFlight) {
	f := r.Flight
	if r.Begun {
		f.Prefill = 0
	}
	x := v.addReceived(now, host, f)
	if x == nil || !r.Begun {
		return
	}
	x.begun, x.begunAt = true, now
	if w := v.workers[f.Worker]; w != nil && w.has(x) {
		w.firstEvent(now, x, 0)
	}
}
