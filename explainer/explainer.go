// Package explainer assembles the timeline of one request from the logs of several hosts:
// the lines of the request itself, and those that show how the hosts' view of the workers,
// the configuration, the store and each other changed meanwhile.
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

// contextWindow is the time before a request whose log lines are included for context. It
// is longer than any wait of a request, and than the timeouts set in configurations.
const contextWindow = 5 * time.Second

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Line is one parsed line of a log.
type Line struct {
	At     time.Time
	Host   string
	Event  string // the line's msg
	fields []field
}

type field struct{ name, value string }

// Get returns the value of a field, or "" if the line has no such field.
func (l Line) Get(name string) string {
	for _, f := range l.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// Log is one parsed log.
type Log struct {
	lines    []Line
	unparsed int
	dropped  int // number of lines that report dropped lines
}

// Read reads a log. Lines that are not in the hosts' log format are counted and skipped.
func Read(r io.Reader) (Log, error) {
	var l Log
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		line, ok := parse(s.Text())
		switch {
		case !ok:
			l.unparsed++
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
		text = text[i:] // skip a prefix added by a log collector
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

// Timeline is what the logs show about one request.
type Timeline struct {
	Request string
	Lines   []Line // ordered by time
	Crashes Crashes
	Unknown []string // questions that the logs do not answer
}

// Explain returns the timeline of a request. It has no lines if the logs have none of it.
func Explain(request string, logs []Log) Timeline {
	t := Timeline{Request: request}
	var own, all []Line
	unparsed, dropped := 0, 0
	for _, l := range logs {
		unparsed, dropped = unparsed+l.unparsed, dropped+l.dropped
		all = append(all, l.lines...)
	}
	attempts := attemptsOf(request, all)
	for _, l := range all {
		if attempts[l.Get("request")] {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return t
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(own, byTime)
	t.Lines = slices.Concat(own, contextLines(own, all))
	slices.SortStableFunc(t.Lines, byTime)
	t.Crashes = crashesOf(own, all)
	t.Unknown = openQuestions(own, unparsed, dropped)
	return t
}

// attemptsOf returns a request with the other attempts of its caller at the same stream: those
// that it took up, and those that took it up.
func attemptsOf(request string, lines []Line) map[string]bool {
	attempts := map[string]bool{request: true}
	for grown := true; grown; {
		grown = false
		for _, l := range lines {
			id, first := l.Get("request"), l.Get("resumes")
			if first == "" || attempts[id] == attempts[first] {
				continue
			}
			attempts[id], attempts[first] = true, true
			grown = true
		}
	}
	return attempts
}

// contextLines returns the lines of the request's hosts that belong to no request, from
// contextWindow before the request to its end. Lines about workers that the request was
// not sent to are left out.
func contextLines(own, all []Line) []Line {
	hosts := map[string]bool{}
	workers := map[string]bool{}
	for _, l := range own {
		hosts[l.Host] = true
		workers[l.Get("worker")] = true
	}
	from, to := own[0].At.Add(-contextWindow), own[len(own)-1].At
	var out []Line
	for _, l := range all {
		relevant := hosts[l.Host] && l.Get("request") == "" && l.At.After(from) && !l.At.After(to)
		if relevant && (l.Event != "worker" || workers[l.Get("worker")]) {
			out = append(out, l)
		}
	}
	return out
}

// openQuestions returns the questions that the request's lines do not answer.
func openQuestions(own []Line, unparsed, dropped int) []string {
	var out []string
	last := own[len(own)-1]
	if last.Event != "request" {
		out = append(out, "how it ended: its host wrote no final line and may have been killed")
	}
	if last.Get("exposed") == "true" && last.Get("outcome") != "answered" {
		out = append(out, "whether a worker ran it to completion: its answer did not arrive")
	}
	if dropped > 0 {
		out = append(out, fmt.Sprintf("what the dropped lines contained (lines were dropped %d times)", dropped))
	}
	if unparsed > 0 {
		out = append(out, fmt.Sprintf("what %d lines in an unknown format contained", unparsed))
	}
	return out
}

// String formats the timeline as text, one line per event, with times relative to the
// first event.
func (t Timeline) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", t.Request)
	start := t.Lines[0].At
	hostWidth := 0
	for _, l := range t.Lines {
		hostWidth = max(hostWidth, len(l.Host))
	}
	for _, l := range t.Lines {
		fmt.Fprintf(&b, "%9.3fs  %-*s  %s", l.At.Sub(start).Seconds(), hostWidth, l.Host, l.Event)
		for _, f := range l.fields {
			own := f.name == "request" && f.value == t.Request
			if !own && f.value != "" {
				fmt.Fprintf(&b, "  %s=%s", f.name, quoteIfNeeded(f.value))
			}
		}
		b.WriteString("\n")
	}
	b.WriteString(t.Crashes.String())
	for _, u := range t.Unknown {
		fmt.Fprintf(&b, "not known: %s\n", u)
	}
	return b.String()
}

func quoteIfNeeded(v string) string {
	if strings.ContainsAny(v, " \"=") {
		return fmt.Sprintf("%q", v)
	}
	return cmp.Or(v, `""`)
}
