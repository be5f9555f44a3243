package loader

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Host is the settings of one host: the file that serve takes.
type Host struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Listen   string `json:"listen"`   // callers, IP:port
	Control  string `json:"control"`  // other hosts, IP:port
	Admin    string `json:"admin"`    // operators: state, metrics, drain; IP:port
	Platform string `json:"platform"` // base URL of the Object API
	// Ready is where the balancer asks whether this host takes callers, IP:port;
	// "" leaves that to Listen.
	Ready string `json:"ready,omitempty"`
	// Dialect names the headers and objects that callers, workers and platform
	// speak: "" for the product's own, "platform" for those of package platform.
	Dialect string `json:"dialect,omitempty"`
	// Peers is control addresses, IP:port, of other hosts: where a host that
	// starts while the platform is down asks for the configuration and the roster.
	Peers  []string `json:"peers,omitempty"`
	Limits Limits   `json:"limits"`
	Repeat Repeat   `json:"repeat"`
}

// Dialects of Host.
const (
	DialectOwn      = ""
	DialectPlatform = "platform"
)

// Repeat bounds how often requests are sent to a second worker, by service and
// over all hosts: Ratio of its requests, and Slack more, in any Window. Zero fields
// take the defaults.
type Repeat struct {
	Ratio  float64  `json:"ratio"`
	Slack  float64  `json:"slack"`
	Window Duration `json:"window"`
}

// Defaults of Repeat. A tenth of the requests more is what a service that is just
// busy bears.
const (
	repeatRatio  = 0.1
	repeatSlack  = 20
	repeatWindow = 10 * time.Second
)

func (r Repeat) withDefaults() Repeat {
	r.Ratio = orDefault(r.Ratio, repeatRatio)
	r.Slack = orDefault(r.Slack, repeatSlack)
	r.Window = orDefault(r.Window, Duration(repeatWindow))
	return r
}

// Limits bound what callers and faults can cost a host. Zero fields take the
// defaults of withDefaults.
type Limits struct {
	MaxBody           int64    `json:"body"`    // bytes of a request's body
	MaxHeader         int      `json:"header"`  // bytes of a request's headers
	MaxAnswer         int64    `json:"answer"`  // bytes of an answer that is held until it is whole; a larger one is passed on as it comes
	MaxBuffered       int64    `json:"buffer"`  // bytes of bodies and answers held at once
	MaxCalls          int      `json:"calls"`   // requests in flight
	ReadTimeout       Duration `json:"read"`    // for a caller to send its request
	WriteTimeout      Duration `json:"stall"`   // for a caller to take a piece of its answer
	SilenceTimeout    Duration `json:"silence"` // on a connection to a backend server or host, before it is replaced
	LeaseDuration     Duration `json:"lease"`   // of this host in the Object API
	HeartbeatInterval Duration `json:"beat"`    // between heartbeats to other hosts
	AckTimeout        Duration `json:"link"`    // without an acknowledgement on a connection between hosts, before it is replaced
	DrainTimeout      Duration `json:"drain"`   // for requests in flight to end after SIGTERM
	UnreadyDelay      Duration `json:"settle"`  // for the balancer to notice unreadiness
	// GracePeriod is the time between SIGTERM and SIGKILL. Where it is given, Settle and
	// Drain are parts of it.
	GracePeriod    Duration `json:"grace"`
	Cores          float64  `json:"cores"`   // of processor that the host has; 0 does not say
	MemoryMB       int      `json:"memory"`  // megabytes that the process may take; 0 is no bound
	MaxFiles       int      `json:"files"`   // descriptors that the process may open; 0 is no bound
	ConfirmTimeout Duration `json:"confirm"` // without word of the configuration from platform or peer, before unready
	Once           Once     `json:"once"`    // of calls that must not be repeated
}

func (l Limits) withDefaults() Limits {
	set := func(d *Duration, v time.Duration) {
		if *d == 0 {
			*d = Duration(v)
		}
	}
	l = l.withBounds()
	if l.MaxBody == 0 {
		l.MaxBody = 4 << 20
	}
	if l.MaxHeader == 0 {
		l.MaxHeader = 64 << 10
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
	set(&l.ReadTimeout, 10*time.Second)
	set(&l.WriteTimeout, 10*time.Second)
	set(&l.SilenceTimeout, 2*time.Second)
	set(&l.LeaseDuration, 20*time.Second)
	set(&l.HeartbeatInterval, 250*time.Millisecond)
	set(&l.AckTimeout, 500*time.Millisecond)
	set(&l.DrainTimeout, 60*time.Second)
	set(&l.UnreadyDelay, 3*time.Second)
	set(&l.ConfirmTimeout, 10*time.Second)
	l.Once = l.Once.withDefaults()
	return l
}

const (
	// bufferShare is the part of a process's memory that requests and answers may
	// take; the rest is for connections, state and what is not collected yet.
	bufferShare = 0.25
	// filesPerCall is how many descriptors a request in flight may need: its
	// caller's, its worker's, and idle ones of both.
	filesPerCall = 4
	// settleShare and drainShare are the parts of the grace for the balancer to
	// notice, and for requests to end. What is left is for what hosts tell each
	// other last.
	settleShare = 0.25
	drainShare  = 0.6
)

// withBounds works the limits out that follow from those of the process.
func (l Limits) withBounds() Limits {
	if l.GracePeriod > 0 {
		l.UnreadyDelay = orDefault(l.UnreadyDelay, Duration(settleShare*float64(l.GracePeriod)))
		l.DrainTimeout = orDefault(l.DrainTimeout, Duration(drainShare*float64(l.GracePeriod)))
	}
	if l.MemoryMB > 0 {
		l.MaxBuffered = orDefault(l.MaxBuffered, int64(bufferShare*float64(l.MemoryMB<<20)))
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

// ParseHost checks the text of a host's settings.
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

// problems is everything wrong with the values of h, which d gave.
func (h Host) problems(d *document) []error {
	var found []error
	fault := func(reason string, path ...string) {
		line := max(1, d.at(path...))
		found = append(found, Problem{File: d.file, Line: line, Field: strings.Join(path, "/"), Reason: reason})
	}
	for _, f := range []struct{ name, value string }{{"name", h.Name}, {"zone", h.Zone}} {
		if !validName(f.value) {
			fault("missing, or not a name", f.name)
		}
	}
	if u, err := url.Parse(h.Platform); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		fault("missing, or not a URL such as http://192.0.2.1:7000", "platform")
	}
	seen := map[string]string{}
	for _, f := range []struct{ name, value string }{{"listen", h.Listen}, {"control", h.Control}, {"admin", h.Admin}} {
		if a, err := netip.ParseAddrPort(f.value); err != nil {
			fault(fmt.Sprintf("%q is not IP:port", f.value), f.name)
		} else if other := seen[f.value]; other != "" && a.Port() != 0 {
			fault("is the address of "+other+" already", f.name)
		}
		seen[f.value] = f.name
	}
	if _, err := netip.ParseAddrPort(h.Ready); h.Ready != "" && err != nil {
		fault(fmt.Sprintf("%q is not IP:port", h.Ready), "ready")
	}
	if h.Dialect != DialectOwn && h.Dialect != DialectPlatform {
		fault(fmt.Sprintf("%q is neither empty nor %q", h.Dialect, DialectPlatform), "dialect")
	}
	if h.Repeat.Ratio < 0 || h.Repeat.Slack < 0 || h.Repeat.Window < 0 {
		fault("must not be negative", "repeat")
	}
	for i, p := range h.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			fault(fmt.Sprintf("%q is not IP:port", p), "peers", strconv.Itoa(i))
		}
	}
	return append(found, h.Limits.problems(d)...)
}

// problems refuses negative limits: zero stands for the default.
func (l Limits) problems(d *document) []error {
	var found []error
	v := reflect.ValueOf(l)
	for _, f := range reflect.VisibleFields(v.Type()) {
		name := f.Tag.Get("json")
		x := v.FieldByIndex(f.Index)
		if x.CanInt() && x.Int() < 0 || x.CanFloat() && x.Float() < 0 {
			found = append(found, Problem{File: d.file, Line: d.at("limits", name), Field: "limits/" + name, Reason: "must not be negative"})
		}
	}
	return found
}
