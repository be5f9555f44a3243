// Package loader reads the settings of a host, a single file, and the configuration of
// the system, a folder of small files. Both are JSON with comments. It is strict:
// unknown fields, duplicates and references to undefined names are errors with file,
// line and reason.
package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Problem is one error in a settings file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// Error implements error; the text is file:line: field: reason.
func (p Problem) Error() string {
	prefix := p.File
	if p.Line > 0 {
		prefix = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Field == "" {
		return prefix + ": " + p.Reason
	}
	return prefix + ": " + p.Field + ": " + p.Reason
}

// Duration is a time.Duration that is written as a string such as "1.5s".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return &json.UnmarshalTypeError{Value: string(b), Type: reflect.TypeFor[Duration]()}
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"1.5s\"", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// document is one parsed file with the positions of its fields.
type document struct {
	file     string
	text     []byte
	tree     hujson.Value
	standard []byte // standard JSON, each byte at its offset in text
}

func newDocument(file string, text []byte) (*document, error) {
	d := &document{file: file, text: text}
	if at := tooDeep(text); at >= 0 {
		return nil, d.problem(at, "", fmt.Sprintf("nested over %d deep", maxDepth))
	}
	tree, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		return nil, Problem{File: file, Line: parseLine(err), Reason: strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	d.tree = tree
	// Standardize replaces comments and trailing commas by blanks, so offsets stay the same.
	d.tree.Standardize()
	d.standard = d.tree.Pack()
	return d, nil
}

// parseLine returns the line number in the text of an error of hujson, which has no field for
// it.
func parseLine(err error) int {
	var line int
	for e := err; e != nil; e = errors.Unwrap(e) {
		if i := strings.Index(e.Error(), "line "); i >= 0 {
			_, _ = fmt.Sscanf(e.Error()[i:], "line %d", &line)
		}
	}
	return line
}

// decode checks the whole document against v's type, then decodes it into v. The error
// joins all Problems found.
func (d *document) decode(v any) error {
	w := walker{document: d, fields: map[reflect.Type]map[string]reflect.Type{}}
	w.check(&d.tree, reflect.TypeOf(v).Elem(), "")
	if len(w.problems) > 0 {
		return errors.Join(w.problems...)
	}
	err := json.Unmarshal(d.standard, v)
	if err == nil {
		return nil
	}
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) {
		return d.problem(int(typed.Offset), strings.ReplaceAll(typed.Field, ".", "/"), typed.Value+" does not fit here")
	}
	return d.problem(0, "", strings.TrimPrefix(err.Error(), "json: "))
}

// lineOf returns the line of the field at a path such as "services", "x", "workers", "0", or
// 0 if there is none.
func (d *document) lineOf(path ...string) int {
	pointer := ""
	for _, p := range path {
		pointer += "/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(p)
	}
	v := d.tree.Find(pointer)
	if v == nil {
		return 0
	}
	return d.line(v.StartOffset)
}

func (d *document) line(offset int) int {
	return 1 + bytes.Count(d.text[:min(offset, len(d.text))], []byte("\n"))
}

func (d *document) problem(offset int, field, reason string) Problem {
	return Problem{File: d.file, Line: d.line(offset), Field: field, Reason: reason}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}
