package loader_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cicadawood/cicadawood/loader"
)

// FuzzParse checks that Files.Parse, given any text, does not panic, names the file in each
// Problem, and succeeds or fails the same when it parses the text again.
func FuzzParse(f *testing.F) {
	examples, err := filepath.Glob("../examples/*/*.jsonc")
	if err != nil || len(examples) == 0 {
		f.Fatal("no examples", err)
	}
	for _, path := range examples {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	for _, text := range []string{"", "{", "null", "[]", `{"classes":{"":null}}`, "{\"a\x00\": 1}", `{"classes":{"x":{"whole":"1s","tier":1e400}}}`, "{/*", strings.Repeat("[", 100_000), `{"zones":{"a":{"region":"[\"[//"}}} // [`, `{"callers":{"header":99999999999999999999}}`, `{"zones":{"a":{"latency":{"a/b~":"1s"}}}}`} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := loader.Files{"10.jsonc": text}.Parse()
		problems := loader.Problems(err)
		if (err == nil) != (len(problems) == 0) {
			t.Fatalf("%d problems for error %v", len(problems), err)
		}
		for _, p := range problems {
			if p.File != "10.jsonc" || p.Reason == "" {
				t.Fatalf("problem without file or reason: %+v", p)
			}
		}
		if _, secondErr := (loader.Files{"10.jsonc": text}).Parse(); errors.Is(err, nil) != errors.Is(secondErr, nil) {
			t.Fatalf("first %v, then %v", err, secondErr)
		}
	})
}
