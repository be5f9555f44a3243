// Package explainer puts the story of one request together from the logs of
// several hosts: its own lines, and what the hosts came to believe meanwhile of the
// workers, the configuration, the store and each other.
package explainer

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// around is how long before a request a belief may have changed to be told with
// it: longer than any wait of a request, and than the bounds of configurations.
const around = 5 * time.Second

// lineMost is the most bytes of one line of a log.
const lineMost = 1 << 20

// Line is one line of a log.
type Line struct {
	At     time.Time
	Host   string
	Event  string
	fields []field
}

type field struct{ name, value string }

// Get is the value of a field; "" where the line has none.
func (l Line) Get(name string) string {
	for _, f := range l.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// Log is the lines of one file, and how many of them can't be read.
type Log struct {
	lines   []Line
	strange int
	dropped int // lines that say that others were dropped
}

// Read reads a log. Lines that are not one of ours are counted and left out.
func Read(r io.Reader) (Log, error) {
	var l Log
	s := bufio.NewScanner(r)
	s.Buffer(nil, lineMost)
	for s.Scan() {
		line, ok := parse(s.Text())
		switch {
		case !ok:
			l.strange++
			continue
		case line.Event == "dropped":
			l.dropped++
		}
		l.lines = append(l.lines, line)
	}
	return l, s.Err()
}

func parse(text string) (Line, bool) {
	if i := strings.Index(text, "ts="); i > 0 {
		text = text[i:] // whoever collected it put something before
	}
	var l Line
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			name, value := string(d.Key()), string(d.Value())
			switch name {
			case "ts":
				at, err := time.Parse("2006-01-02T15:04:05.000Z0700", value)
				if err != nil {
					return Line{}, false
				}
				l.At = at
			case "host":
				l.Host = value
			case "msg":
				l.Event = value
			case "level":
			default:
				l.fields = append(l.fields, field{name, value})
			}
		}
	}
	return l, d.Err() == nil && !l.At.IsZero() && l.Event != ""
}

// Timeline is what is known of one request.
type Timeline struct {
	Request string
	Lines   []Line   // in the order of their times
	Unknown []string // what the logs can't tell
}

// Explain tells the story of a request.
func Explain(request string, logs []Log) Timeline {
	s := Timeline{Request: request}
	var own, all []Line
	strange, dropped := 0, 0
	for _, l := range logs {
		strange, dropped = strange+l.strange, dropped+l.dropped
		all = append(all, l.lines...)
	}
	for _, l := range all {
		if l.Get("request") == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return s
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(own, byTime)
	s.Lines = slices.Concat(own, beliefs(own, all))
	slices.SortStableFunc(s.Lines, byTime)
	s.Unknown = unknown(own, strange, dropped)
	return s
}

// beliefs is the lines of the request's hosts that tell of what they believed, from
// a while before it to its end.
func beliefs(own, all []Line) []Line {
	hosts := map[string]bool{}
	workers := map[string]bool{}
	for _, l := range own {
		hosts[l.Host] = true
		workers[l.Get("worker")] = true
	}
	from, to := own[0].At.Add(-around), own[len(own)-1].At
	var out []Line
	for _, l := range all {
		mine := hosts[l.Host] && l.Get("request") == "" && l.At.After(from) && !l.At.After(to)
		if mine && (l.Event != "worker" || workers[l.Get("worker")]) {
			out = append(out, l)
		}
	}
	return out
}

// unknown is what the request's lines leave open.
func unknown(own []Line, strange, dropped int) []string {
	var out []string
	last := own[len(own)-1]
	if last.Event != "request" {
		out = append(out, "how it ended: its host wrote no last line, and may have been killed")
	}
	if last.Get("exposed") == "true" && last.Get("outcome") != "answered" {
		out = append(out, "whether a worker ran it to its end: its answer did not come")
	}
	if dropped > 0 {
		out = append(out, fmt.Sprintf("what stood in lines that were dropped (%d times)", dropped))
	}
	if strange > 0 {
		out = append(out, fmt.Sprintf("what %d lines mean that are none of ours", strange))
	}
	return out
}

// String is the story as text, a line an event, times from the first one.
func (s Timeline) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", s.Request)
	start := s.Lines[0].At
	hosts := 0
	for _, l := range s.Lines {
		hosts = max(hosts, len(l.Host))
	}
	for _, l := range s.Lines {
		fmt.Fprintf(&b, "%9.3fs  %-*s  %s", l.At.Sub(start).Seconds(), hosts, l.Host, l.Event)
		for _, f := range l.fields {
			if f.name != "request" && f.value != "" {
				fmt.Fprintf(&b, "  %s=%s", f.name, quoted(f.value))
			}
		}
		b.WriteString("\n")
	}
	for _, u := range s.Unknown {
		fmt.Fprintf(&b, "not known: %s\n", u)
	}
	return b.String()
}

func quoted(v string) string {
	if strings.ContainsAny(v, " \"=") {
		return fmt.Sprintf("%q", v)
	}
	return cmp.Or(v, `""`)
}
