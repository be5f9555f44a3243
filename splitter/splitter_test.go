package splitter_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/cicadawood/cicadawood/splitter"
)

// Guards against an element that is cut at another place than where it ends.
func FuzzArray(f *testing.F) {
	for _, text := range []string{`[]`, ` [ 1 , "a,]" , {"b":[2,"\"}"]} ] `, `["\\",[]]`, `[1,]`, `[`, `[1`, `["a]`, `[1] 2`, `{}`, ``, `null`} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, err := splitter.Array([]byte(text))
		var want []json.RawMessage
		if json.Unmarshal([]byte(text), &want) != nil || want == nil {
			return // of a malformed text only the malformed elements differ
		}
		if err != nil || !slices.EqualFunc(got, want, func(a []byte, b json.RawMessage) bool { return string(a) == string(b) }) {
			t.Fatalf("%q, %v, want %q", got, err, want)
		}
	})
}

// Guards against a value that is taken for that of another name.
func FuzzObject(f *testing.F) {
	for _, text := range []string{`{}`, ` { "a" : 1 , "b\u0020\"" : {"c":"}"} } `, `{"a":1,"a":2}`, `{"a"}`, `{"a":}`, `{"a":1`, `{"a`, `{1:2}`, `{} {}`, `[]`, ``} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, err := splitter.Object([]byte(text))
		var want map[string]json.RawMessage
		if json.Unmarshal([]byte(text), &want) != nil || want == nil {
			return
		}
		if err != nil || len(got) != len(want) {
			t.Fatalf("%q, %v, want %q", got, err, want)
		}
		for name, value := range want {
			if string(got[name]) != string(value) {
				t.Fatalf("%s: %q, want %q", name, got[name], value)
			}
		}
	})
}

// Guards against a text that ends in the middle and is taken for the whole one.
func TestCutOff(t *testing.T) {
	for _, text := range []string{`[1,"a",{"b":[]}]`, `{"a":"b","c":{"d":[1,2]},"e":"\""}`} {
		for n := range text {
			if elements, err := splitter.Array([]byte(text[:n])); err == nil {
				t.Errorf("%q: %q", text[:n], elements)
			}
			if values, err := splitter.Object([]byte(text[:n])); err == nil {
				t.Errorf("%q: %q", text[:n], values)
			}
		}
	}
}

// Guards against a process that ends for want of stack.
func TestDeep(t *testing.T) {
	const depth = 4 << 20
	deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	elements, err := splitter.Array([]byte(`[` + deep + `,1]`))
	if err != nil || len(elements) != 2 || len(elements[0]) != 2*depth {
		t.Fatalf("%d elements, %v", len(elements), err)
	}
}
