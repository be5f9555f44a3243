package loader

import (
	"fmt"
	"strconv"
	"strings"
)

// HostRoute routes the requests for one host name and path prefix to services. Of the
// routes with the same host name, the one with the longest matching prefix applies.
type HostRoute struct {
	Host          string   `json:"host"`   // without a port
	Prefix        string   `json:"prefix"` // begins and ends with a slash
	Services      []Split  `json:"services"`
	Tier          int      `json:"tier"`     // 0 is the most urgent
	LatencyTarget Duration `json:"first"`    // for the whole answer; of a stream, for its first event
	GapTarget     Duration `json:"gap"`      // for the longest pause in a stream; 0 means no target
	Timeout       Duration `json:"whole"`    // longest time that a caller waits for its answer
	MaxAttempts   int      `json:"attempts"` // workers that may run a request, including the first
	Once          bool     `json:"once"`     // a request must not run more than once
	Stream        bool     `json:"stream"`   // the answer is an event stream
	Resumable     bool     `json:"resume"`   // another worker may continue a stream that broke off
	Public        bool     `json:"public"`   // requests need no API key
}

// Split is one service of a host route and its share of the requests, as a weight relative
// to the others.
type Split struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Repeatable reports whether a request may run more than once.
func (r HostRoute) Repeatable() bool {
	if r.Stream {
		return r.Resumable
	}
	return !r.Once
}

// Callers limits what callers of host routes may send. For zero fields the limits in the
// host's settings apply.
type Callers struct {
	MaxHeader   int      `json:"header"` // bytes of a request's header
	MaxBody     int64    `json:"body"`   // bytes of a request's body
	ReadTimeout Duration `json:"read"`   // for a request's header to arrive
	IdleTimeout Duration `json:"idle"`   // of a connection between requests
}

// addCallers adds the callers section, which may occur once in a folder.
func (m *merger) addCallers(d *document, c *Callers) {
	if c == nil {
		return
	}
	report := func(reason string, path ...string) {
		m.problems = append(m.problems, Problem{File: d.file, Line: d.lineOf(path...), Field: strings.Join(path, "/"), Reason: reason})
	}
	if m.folder.Callers != nil {
		report("defined already in another file", sectionCallers)
		return
	}
	m.folder.Callers = c
	for _, f := range []struct {
		name  string
		value int64
	}{{"header", int64(c.MaxHeader)}, {"body", c.MaxBody}, {"read", int64(c.ReadTimeout)}, {"idle", int64(c.IdleTimeout)}} {
		if f.value < 0 {
			report("must not be negative", sectionCallers, f.name)
		}
	}
}

func (m *merger) checkHostRoute(name string, r HostRoute) {
	at := func(field ...string) []string { return append([]string{sectionRoutes, name}, field...) }
	if r.Host == "" || strings.ToLower(r.Host) != r.Host {
		m.report("missing, or not a lower-case host name", at("host")...)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		m.report("must begin and end with /", at("prefix")...)
	}
	for _, f := range []struct {
		name  string
		value int64
	}{{"tier", int64(r.Tier)}, {"first", int64(r.LatencyTarget)}, {"gap", int64(r.GapTarget)}} {
		if f.value < 0 {
			m.report("must not be negative", at(f.name)...)
		}
	}
	if r.Timeout <= 0 {
		m.report("must be a positive duration", at("whole")...)
	}
	if r.MaxAttempts <= 0 {
		m.report("must be positive", at("attempts")...)
	}
	m.checkSplits(r, at)
}

func (m *merger) checkSplits(r HostRoute, at func(...string) []string) {
	sum := 0
	for i, s := range r.Services {
		if _, ok := m.folder.Services[s.Service]; !ok {
			m.report(fmt.Sprintf("no service %q%s", s.Service, suggest(s.Service, m.folder.Services)), at("services", strconv.Itoa(i), "service")...)
		}
		if s.Weight < 0 {
			m.report("must not be negative", at("services", strconv.Itoa(i), "weight")...)
		}
		sum += s.Weight
	}
	if sum <= 0 {
		m.report("must name a service with a positive weight", at("services")...)
	}
}
