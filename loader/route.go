package loader

import (
	"fmt"
	"strconv"
	"strings"
)

// HostRoute sends the requests for one host name and path prefix to services. Of
// the routes of a host, the longest prefix that begins the path counts.
type HostRoute struct {
	Host          string   `json:"host"`   // without a port
	Prefix        string   `json:"prefix"` // begins and ends with a slash
	Services      []Split  `json:"services"`
	Tier          int      `json:"tier"`     // 0 is the most urgent
	LatencyTarget Duration `json:"first"`    // target for the answer; of a stream, for its first event
	GapTarget     Duration `json:"gap"`      // target for the longest pause in a stream; 0 is none
	Timeout       Duration `json:"whole"`    // a caller is kept waiting no longer
	MaxAttempts   int      `json:"attempts"` // workers that may run one request
	Once          bool     `json:"once"`     // must not be repeated
	Stream        bool     `json:"stream"`   // answered by events
	Resumable     bool     `json:"resume"`   // a stream that broke may go on at another worker
	Public        bool     `json:"public"`   // needs no key
}

// Split is one service of a host route, with its part of the requests.
type Split struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Repeatable says whether a request may run more than once.
func (r HostRoute) Repeatable() bool {
	if r.Stream {
		return r.Resumable
	}
	return !r.Once
}

// Callers bounds what callers of host routes may send. Zero fields leave the
// limits of the host's own settings.
type Callers struct {
	MaxHeader   int      `json:"header"` // bytes of a request's head
	MaxBody     int64    `json:"body"`   // bytes of a request's body
	ReadTimeout Duration `json:"read"`   // for a request's head to arrive
	IdleTimeout Duration `json:"idle"`   // of a connection between requests
}

// callers takes the section that stands once in a folder.
func (m *merger) callers(d *document, c *Callers) {
	if c == nil {
		return
	}
	at := func(reason string, path ...string) {
		m.problems = append(m.problems, Problem{File: d.file, Line: d.at(path...), Field: strings.Join(path, "/"), Reason: reason})
	}
	if m.folder.Callers != nil {
		at("defined already in another file", sectionCallers)
		return
	}
	m.folder.Callers = c
	for _, f := range []struct {
		name  string
		value int64
	}{{"header", int64(c.MaxHeader)}, {"body", c.MaxBody}, {"read", int64(c.ReadTimeout)}, {"idle", int64(c.IdleTimeout)}} {
		if f.value < 0 {
			at("must not be negative", sectionCallers, f.name)
		}
	}
}

func (m *merger) hostRoute(name string, r HostRoute) {
	at := func(field ...string) []string { return append([]string{sectionRoutes, name}, field...) }
	if r.Host == "" || strings.ToLower(r.Host) != r.Host {
		m.fault("missing, or not a lower-case host name", at("host")...)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		m.fault("must begin and end with /", at("prefix")...)
	}
	for _, f := range []struct {
		name  string
		value int64
	}{{"tier", int64(r.Tier)}, {"first", int64(r.LatencyTarget)}, {"gap", int64(r.GapTarget)}} {
		if f.value < 0 {
			m.fault("must not be negative", at(f.name)...)
		}
	}
	if r.Timeout <= 0 {
		m.fault("must be a positive duration", at("whole")...)
	}
	if r.MaxAttempts <= 0 {
		m.fault("must be positive", at("attempts")...)
	}
	m.splits(r, at)
}

func (m *merger) splits(r HostRoute, at func(...string) []string) {
	sum := 0
	for i, s := range r.Services {
		if _, ok := m.folder.Services[s.Service]; !ok {
			m.fault(fmt.Sprintf("no service %q%s", s.Service, suggest(s.Service, m.folder.Services)), at("services", strconv.Itoa(i), "service")...)
		}
		if s.Weight < 0 {
			m.fault("must not be negative", at("services", strconv.Itoa(i), "weight")...)
		}
		sum += s.Weight
	}
	if sum <= 0 {
		m.fault("must name a service with a positive weight", at("services")...)
	}
}
