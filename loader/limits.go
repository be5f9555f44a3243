package loader

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// MaxPartitions bounds the partitions of calls that must not run more than once: each host goes
// through all of them with each roster.
const MaxPartitions = 4096

// Ranges of a host's limits: neither units nor parts of them wrap, and each time fits a timer.
const (
	maxLimit     = 1 << 40
	maxCores     = 100_000
	maxSlots     = 100_000 // of one worker
	minTime      = time.Millisecond
	maxTime      = 30 * 24 * time.Hour
	maxTextBytes = 255 // hosts send their texts to one another
)

// problems reports limits out of range; zero means the default.
func (l Limits) problems(d *document) []error {
	found := rangeProblems(d, reflect.ValueOf(l), "limits")
	if l.Once.Partitions > MaxPartitions {
		found = append(found, rangeError(d, fmt.Sprintf("must not be over %d", MaxPartitions), "limits", "once", "partitions"))
	}
	return found
}

// rangeProblems reports the fields of a struct at a path that are out of range.
func rangeProblems(d *document, v reflect.Value, path ...string) []error {
	var found []error
	for _, f := range reflect.VisibleFields(v.Type()) {
		at := append(slices.Clone(path), f.Tag.Get("json"))
		if x := v.FieldByIndex(f.Index); x.Kind() == reflect.Struct {
			found = append(found, rangeProblems(d, x, at...)...)
		} else if reason := rangeProblem(x); reason != "" {
			found = append(found, rangeError(d, reason, at...))
		}
	}
	return found
}

func rangeError(d *document, reason string, path ...string) error {
	return Problem{File: d.file, Line: d.lineOf(path...), Field: strings.Join(path, "/"), Reason: reason}
}

// rangeProblem returns why a limit can't be used, or "".
func rangeProblem(v reflect.Value) string {
	switch {
	case v.CanInt() && v.Int() < 0, v.CanFloat() && v.Float() < 0:
		return "must not be negative"
	case v.Type() == reflect.TypeFor[Duration]():
		if d := time.Duration(v.Int()); d != 0 && (d < minTime || d > maxTime) {
			return fmt.Sprintf("must be from %v to %v", minTime, maxTime)
		}
	case v.CanInt() && v.Int() > maxLimit:
		return fmt.Sprintf("must not be over %d", maxLimit)
	case v.CanFloat() && v.Float() > maxCores:
		return fmt.Sprintf("must not be over %d", maxCores)
	}
	return ""
}
