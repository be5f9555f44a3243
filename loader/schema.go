package loader

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// walker compares a parsed file with the Go type that it is decoded into, and collects all
// mismatches. The standard decoder would stop at the first error, ignore the case of
// names, and accept null for an absent field.
type walker struct {
	document *document
	problems []error
	fields   map[reflect.Type]map[string]reflect.Type // by struct type, as a cache of fieldsOf
}

func (w *walker) report(offset int, field, reason string) {
	w.problems = append(w.problems, w.document.problem(offset, field, reason))
}

// check compares v with type t.
func (w *walker) check(v *hujson.Value, t reflect.Type, path string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem() // a pointer distinguishes an absent field from a zero one
	}
	switch {
	case t == reflect.TypeFor[Duration]():
		w.checkDuration(v, path)
	case t.Kind() == reflect.Struct:
		w.checkObject(v, t, path)
	case t.Kind() == reflect.Map:
		w.checkMap(v, t, path)
	case t.Kind() == reflect.Slice:
		w.checkList(v, t, path)
	default:
		w.checkScalar(v, t, path)
	}
}

func (w *walker) checkObject(v *hujson.Value, t reflect.Type, path string) {
	known := w.fields[t]
	if known == nil {
		known = fieldsOf(t)
		w.fields[t] = known
	}
	w.forEachMember(v, path, func(name string, m *hujson.ObjectMember) {
		f, ok := known[name]
		if !ok {
			w.report(m.Name.StartOffset, joinPath(path, name), "unknown field"+suggest(name, known))
			return
		}
		w.check(&m.Value, f, joinPath(path, name))
	})
}

func (w *walker) checkMap(v *hujson.Value, t reflect.Type, path string) {
	w.forEachMember(v, path, func(name string, m *hujson.ObjectMember) {
		if !validName(name) {
			w.report(m.Name.StartOffset, joinPath(path, name), "is not a name: 1 to 64 letters, digits, dots, dashes or underscores, the first a letter or digit")
		}
		w.check(&m.Value, t.Elem(), joinPath(path, name))
	})
}

// forEachMember calls do for each member of an object, and reports repeated names.
func (w *walker) forEachMember(v *hujson.Value, path string, do func(string, *hujson.ObjectMember)) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		w.reportMismatch(v, path, "an object")
		return
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		if seen[name] {
			w.report(m.Name.StartOffset, joinPath(path, name), "given twice")
			continue
		}
		seen[name] = true
		do(name, m)
	}
}

func (w *walker) checkList(v *hujson.Value, t reflect.Type, path string) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		w.reportMismatch(v, path, "a list")
		return
	}
	for i := range a.Elements {
		w.check(&a.Elements[i], t.Elem(), fmt.Sprintf("%s/%d", path, i))
	}
}

func (w *walker) checkDuration(v *hujson.Value, path string) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		w.reportMismatch(v, path, `a duration such as "1.5s"`)
		return
	}
	if _, err := time.ParseDuration(l.String()); err != nil {
		w.report(v.StartOffset, path, fmt.Sprintf("%q is not a duration such as \"1.5s\"", l.String()))
	}
}

func (w *walker) checkScalar(v *hujson.Value, t reflect.Type, path string) {
	l, ok := v.Value.(hujson.Literal)
	switch t.Kind() {
	case reflect.String:
		if !ok || l.Kind() != '"' {
			w.reportMismatch(v, path, "a string")
		}
	case reflect.Bool:
		if !ok || (l.Kind() != 't' && l.Kind() != 'f') {
			w.reportMismatch(v, path, "true or false")
		}
	case reflect.Float64:
		if _, err := strconv.ParseFloat(string(l), 64); !ok || err != nil {
			w.reportMismatch(v, path, "a number within range")
		}
	default:
		if _, err := strconv.ParseInt(string(l), 10, t.Bits()); !ok || err != nil {
			w.reportMismatch(v, path, "a whole number within range")
		}
	}
}

func (w *walker) reportMismatch(v *hujson.Value, path, want string) {
	w.report(v.StartOffset, path, "is not "+want)
}

// fieldsOf returns the types of a struct's fields by JSON name.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for _, f := range reflect.VisibleFields(t) {
		if name, _, _ := strings.Cut(f.Tag.Get("json"), ","); name != "" {
			fields[name] = f.Type
		}
	}
	return fields
}

const maxNameLength = 64

// validName reports whether a name can be used in a URL's path and in a log line.
func validName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i, r := range s {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && (i == 0 || !strings.ContainsRune("._-", r)) {
			return false
		}
	}
	return true
}

// suggest returns "; did you mean NAME?" with the most similar known name, or "" if none is
// similar.
func suggest[T any](name string, known map[string]T) string {
	best, bestDistance := "", maxEdits(name)+1
	for k := range known {
		if d := editDistance(name, k); d < bestDistance || (d == bestDistance && k < best) {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// maxEdits returns the largest edit distance of a mistyped name from the intended one.
func maxEdits(name string) int {
	if len(name) < 4 {
		return 1
	}
	return max(2, len(name)/3)
}

// editDistance returns the Levenshtein distance of two names, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		previous := slices.Clone(row)
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			row[j+1] = min(row[j]+1, previous[j+1]+1, previous[j]+cost)
		}
	}
	return row[len(b)]
}
