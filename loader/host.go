package loader

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"
)

// Host is the settings of one host: the file given to the serve command.
type Host struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Listen   string `json:"listen"`   // for callers, IP:port
	Control  string `json:"control"`  // for other hosts, IP:port
	Admin    string `json:"admin"`    // for operators: state, metrics, drain; IP:port
	Platform string `json:"platform"` // base URL of the Object API
	// Ready is the address, IP:port, for the load balancer's readiness checks; if it is "",
	// they go to Listen.
	Ready string `json:"ready,omitempty"`
	// Dialect selects the headers and objects that callers, workers and the platform use:
	// "" for this project's own, "platform" for those of package platform.
	Dialect string `json:"dialect,omitempty"`
	// Peers are control addresses, IP:port, of other hosts. A host that starts during an
	// outage of the platform requests the configuration and the roster from them.
	Peers []string `json:"peers,omitempty"`
	// Translate lists the backend servers, and the control addresses of other hosts, that this
	// host reaches under another address.
	Translate []Translation `json:"translate,omitempty"`
	// First states that the whole system starts for the first time: no caller has a stream of
	// an earlier host.
	First  bool   `json:"first,omitempty"`
	Limits Limits `json:"limits"`
	Repeat Repeat `json:"repeat"`
}

// Translation is the address under which a host reaches a backend server or another host; both IP:port.
type Translation struct {
	Own  string `json:"own"`  // as the backend server or host states it
	Here string `json:"here"` // to which this host connects
}

// Translations returns the addresses to connect to by the backend servers' and hosts' own.
func (h Host) Translations() map[string]string {
	out := map[string]string{}
	for _, t := range h.Translate {
		out[t.Own] = t.Here
	}
	return out
}

// Values of Host.Dialect.
const (
	DialectOwn      = ""
	DialectPlatform = "platform"
)

// Repeat is the retry budget of each service over all hosts: in any Window at most Ratio
// times its requests, plus Slack, are sent to a second worker. Zero fields get the
// defaults.
type Repeat struct {
	Ratio  float64  `json:"ratio"`
	Slack  float64  `json:"slack"`
	Window Duration `json:"window"`
}

// Defaults of Repeat. A tenth more requests is what a service at its capacity can still
// handle.
const (
	defaultRepeatRatio  = 0.1
	defaultRepeatSlack  = 20
	defaultRepeatWindow = 10 * time.Second
)

func (r Repeat) withDefaults() Repeat {
	r.Ratio = orDefault(r.Ratio, defaultRepeatRatio)
	r.Slack = orDefault(r.Slack, defaultRepeatSlack)
	r.Window = orDefault(r.Window, Duration(defaultRepeatWindow))
	return r
}

// Limits bounds the resources that callers and faults can use up on a host. Zero fields get
// the defaults of withDefaults.
type Limits struct {
	MaxBody           int64    `json:"body"`    // bytes of a request's body
	MaxHeader         int      `json:"header"`  // bytes of a request's headers
	MaxAnswerHead     int64    `json:"head"`    // bytes of the head of a backend server's answer
	MaxAnswer         int64    `json:"answer"`  // bytes of an answer that is buffered until it is complete; a larger one is forwarded as it arrives
	MaxBuffered       int64    `json:"buffer"`  // bytes of all bodies and answers in memory
	MaxCalls          int      `json:"calls"`   // requests in flight
	ReadTimeout       Duration `json:"read"`    // for a caller to send its request
	WriteTimeout      Duration `json:"stall"`   // for a caller to receive a piece of its answer
	SilenceTimeout    Duration `json:"silence"` // without data on a connection to a backend server, before it is replaced
	LeaseDuration     Duration `json:"lease"`   // of this host in the Object API
	HeartbeatInterval Duration `json:"beat"`    // between heartbeats to other hosts
	AckTimeout        Duration `json:"link"`    // without an acknowledgement on a connection between hosts, before it is replaced
	DrainTimeout      Duration `json:"drain"`   // for requests in flight to end after SIGTERM
	UnreadyDelay      Duration `json:"settle"`  // for the load balancer to notice that the host is unready
	// GracePeriod is the time between SIGTERM and SIGKILL. If it is given, UnreadyDelay and
	// DrainTimeout default to parts of it.
	GracePeriod    Duration `json:"grace"`
	Cores          float64  `json:"cores"`   // processor cores of the host; 0 if unknown
	MemoryMB       int      `json:"memory"`  // MiB that the process may use; 0 means no limit
	MaxFiles       int      `json:"files"`   // file descriptors that the process may open; 0 means no limit
	ConfirmTimeout Duration `json:"confirm"` // without confirmation of the configuration by the platform or a peer, before the host is unready
	Once           Once     `json:"once"`    // for calls that must not run more than once
}

func (l Limits) withDefaults() Limits {
	setDefault := func(d *Duration, v time.Duration) {
		if *d == 0 {
			*d = Duration(v)
		}
	}
	l = l.withDerived()
	if l.MaxBody == 0 {
		l.MaxBody = 4 << 20
	}
	if l.MaxHeader == 0 {
		l.MaxHeader = 64 << 10
	}
	if l.MaxAnswerHead == 0 {
		l.MaxAnswerHead = 64 << 10
	}
	if l.MaxAnswer == 0 {
		l.MaxAnswer = 16 << 20
	}
	if l.MaxBuffered == 0 {
		l.MaxBuffered = 512 << 20
	}
	if l.MaxCalls == 0 {
		l.MaxCalls = 12000
	}
	setDefault(&l.ReadTimeout, 10*time.Second)
	setDefault(&l.WriteTimeout, 10*time.Second)
	setDefault(&l.SilenceTimeout, 2*time.Second)
	setDefault(&l.LeaseDuration, 20*time.Second)
	setDefault(&l.HeartbeatInterval, 250*time.Millisecond)
	setDefault(&l.AckTimeout, 500*time.Millisecond)
	setDefault(&l.DrainTimeout, 60*time.Second)
	setDefault(&l.UnreadyDelay, 3*time.Second)
	setDefault(&l.ConfirmTimeout, 10*time.Second)
	l.Once = l.Once.withDefaults()
	return l
}

const (
	// bufferedShare is the share of the process's memory for buffered requests and answers; the
	// rest is for connections, state and garbage not yet collected.
	bufferedShare = 0.25
	// filesPerCall is the number of descriptors that a request in flight may need: one to its
	// caller, one to its worker, and an idle one to each.
	filesPerCall = 4
	// unreadyDelayShare and drainTimeoutShare are the shares of the grace period in which the
	// load balancer notices unreadiness and in which requests end. The rest is for the last
	// messages to other hosts.
	unreadyDelayShare = 0.25
	drainTimeoutShare = 0.6
)

// withDerived sets the limits that follow from GracePeriod, MemoryMB and MaxFiles.
func (l Limits) withDerived() Limits {
	if l.GracePeriod > 0 {
		l.UnreadyDelay = orDefault(l.UnreadyDelay, Duration(unreadyDelayShare*float64(l.GracePeriod)))
		l.DrainTimeout = orDefault(l.DrainTimeout, Duration(drainTimeoutShare*float64(l.GracePeriod)))
	}
	if l.MemoryMB > 0 {
		l.MaxBuffered = orDefault(l.MaxBuffered, int64(bufferedShare*float64(l.MemoryMB<<20)))
	}
	if l.MaxFiles > 0 {
		l.MaxCalls = orDefault(l.MaxCalls, l.MaxFiles/filesPerCall)
	}
	return l
}

// ReadHost reads and checks one host's settings file.
func ReadHost(path string) (Host, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Host{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseHost(path, text)
}

// ParseHost parses and checks the text of a host's settings; file is for its errors.
func ParseHost(file string, text []byte) (Host, error) {
	d, err := newDocument(file, text)
	if err != nil {
		return Host{}, err
	}
	var h Host
	if err := d.decode(&h); err != nil {
		return Host{}, err
	}
	if err := errors.Join(h.problems(d)...); err != nil {
		return Host{}, err
	}
	h.Limits = h.Limits.withDefaults()
	h.Repeat = h.Repeat.withDefaults()
	return h, nil
}

// problems returns the Problems with the values of h, which was decoded from d.
func (h Host) problems(d *document) []error {
	var found []error
	report := func(reason string, path ...string) {
		line := max(1, d.lineOf(path...))
		found = append(found, Problem{File: d.file, Line: line, Field: strings.Join(path, "/"), Reason: reason})
	}
	for _, f := range []struct{ name, value string }{{"name", h.Name}, {"zone", h.Zone}} {
		if !validName(f.value) {
			report("missing, or not a name", f.name)
		}
	}
	if u, err := url.Parse(h.Platform); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		report("missing, or not a URL such as http://192.0.2.1:7000", "platform")
	}
	seen := map[string]string{}
	for _, f := range []struct{ name, value string }{{"listen", h.Listen}, {"control", h.Control}, {"admin", h.Admin}} {
		if a, err := netip.ParseAddrPort(f.value); err != nil {
			report(fmt.Sprintf("%q is not IP:port", f.value), f.name)
		} else if other := seen[f.value]; other != "" && a.Port() != 0 {
			report("is the address of "+other+" already", f.name)
		}
		seen[f.value] = f.name
	}
	if _, err := netip.ParseAddrPort(h.Ready); h.Ready != "" && err != nil {
		report(fmt.Sprintf("%q is not IP:port", h.Ready), "ready")
	}
	if len(h.Region) > maxTextBytes {
		report(fmt.Sprintf("is longer than %d bytes", maxTextBytes), "region")
	}
	if h.Dialect != DialectOwn && h.Dialect != DialectPlatform {
		report(fmt.Sprintf("%q is neither empty nor %q", h.Dialect, DialectPlatform), "dialect")
	}
	if h.Repeat.Ratio < 0 || h.Repeat.Slack < 0 || h.Repeat.Window < 0 {
		report("must not be negative", "repeat")
	}
	for i, p := range h.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			report(fmt.Sprintf("%q is not IP:port", p), "peers", strconv.Itoa(i))
		}
	}
	for i, t := range h.Translate {
		for _, a := range []string{t.Own, t.Here} {
			if _, err := netip.ParseAddrPort(a); err != nil {
				report(fmt.Sprintf("%q is not IP:port", a), "translate", strconv.Itoa(i))
			}
		}
	}
	return append(found, h.Limits.problems(d)...)
}
