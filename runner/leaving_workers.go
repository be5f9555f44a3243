package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/observer"
)

// leavingReported is a worker's statement in an answer that it is leaving.
type leavingReported struct{ process observer.Process }

// leavingReceived is another host's report of leaving workers.
type leavingReceived struct {
	from      string
	processes []observer.Process
}

// reportLeaving applies a worker's statement that it is leaving, and forwards it to the
// other hosts if it is news: until the worker's entry in the store states it, they may have
// no answer that does.
func (p *selector) reportLeaving(now time.Time, x observer.Process) {
	if p.applyLeaving(now, "", x) {
		p.announceLeaving(x)
	}
}

// applyLeaving removes a leaving worker from those that may get requests. from is the host
// that forwarded its statement; "" is this host. It returns false if this host knew it.
func (p *selector) applyLeaving(now time.Time, from string, x observer.Process) bool {
	if !p.directory.ReportLeaving(now, x) {
		return false
	}
	p.log.Info("worker leaving", zap.String("worker", x.Name), zap.String("incarnation", x.Incarnation), zap.String("by", from))
	p.setWorkers(now)
	return true
}

// announceLeaving sends leaving workers to the hosts that receive flight updates.
func (p *selector) announceLeaving(leaving ...observer.Process) {
	var addresses []string
	for _, h := range p.flightListeners() {
		if h.Name != p.self && !h.Unreachable {
			addresses = append(addresses, h.Control)
		}
	}
	if err := p.sender.SendAll(addresses, encodeProcesses(leaving)); err != nil {
		p.log.Warn("sending leaving workers failed", zap.Error(err))
	}
}

// remindOfLeaving announces a leaving worker again, as a decider placed a request there.
func (p *selector) remindOfLeaving(worker string) {
	for _, x := range p.directory.Leaving() {
		if x.Name == worker {
			p.announceLeaving(x)
		}
	}
}

// receiveLeaving applies what workers stated to another host.
func (p *selector) receiveLeaving(now time.Time, e leavingReceived) {
	for _, x := range e.processes {
		p.applyLeaving(now, e.from, x)
	}
}

func encodeProcesses(list []observer.Process) messenger.LeavingWorkers {
	var m messenger.LeavingWorkers
	for _, x := range list {
		m.Processes = append(m.Processes, messenger.WorkerProcess{Worker: x.Name, Incarnation: x.Incarnation})
	}
	return m
}

func decodeProcesses(m messenger.LeavingWorkers) []observer.Process {
	var out []observer.Process
	for _, x := range m.Processes {
		out = append(out, observer.Process{Name: x.Worker, Incarnation: x.Incarnation})
	}
	return out
}

func (leavingReported) event() {}
func (leavingReceived) event() {}
