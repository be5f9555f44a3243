package loader

import (
	"fmt"
	"net/netip"
	"os"
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
	Limits   Limits `json:"limits"`
}

// Limits bound what callers and faults can cost a host. Zero fields take the
// defaults of withDefaults.
type Limits struct {
	Body    int64    `json:"body"`    // bytes of a request's body
	Header  int      `json:"header"`  // bytes of a request's headers
	Answer  int64    `json:"answer"`  // bytes of an answer that is not streamed
	Calls   int      `json:"calls"`   // requests in flight
	Read    Duration `json:"read"`    // for a caller to send its request
	Stall   Duration `json:"stall"`   // for a caller to take a piece of its answer
	Silence Duration `json:"silence"` // on a connection to a backend server or host, before it is replaced
	Lease   Duration `json:"lease"`   // of this host's record
	Drain   Duration `json:"drain"`   // for requests in flight to end after SIGTERM
	Settle  Duration `json:"settle"`  // for the balancer to notice unreadiness
	Once    Once     `json:"once"`    // of calls that must not be repeated
}

func (l Limits) withDefaults() Limits {
	set := func(d *Duration, v time.Duration) {
		if *d == 0 {
			*d = Duration(v)
		}
	}
	if l.Body == 0 {
		l.Body = 4 << 20
	}
	if l.Header == 0 {
		l.Header = 64 << 10
	}
	if l.Answer == 0 {
		l.Answer = 16 << 20
	}
	if l.Calls == 0 {
		l.Calls = 12000
	}
	set(&l.Read, 10*time.Second)
	set(&l.Stall, 10*time.Second)
	set(&l.Silence, 2*time.Second)
	set(&l.Lease, 5*time.Second)
	set(&l.Drain, 60*time.Second)
	set(&l.Settle, 3*time.Second)
	l.Once = l.Once.withDefaults()
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
	for _, f := range []struct{ name, value string }{{"name", h.Name}, {"zone", h.Zone}, {"platform", h.Platform}} {
		if f.value == "" {
			return Host{}, Problem{File: file, Line: 1, Field: f.name, Reason: "missing"}
		}
	}
	for _, f := range []struct{ name, value string }{{"listen", h.Listen}, {"control", h.Control}, {"admin", h.Admin}} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			return Host{}, Problem{File: file, Line: d.at(f.name), Field: f.name, Reason: fmt.Sprintf("%q is not IP:port", f.value)}
		}
	}
	h.Limits = h.Limits.withDefaults()
	return h, nil
}
