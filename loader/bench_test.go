package loader_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cicadawood/cicadawood/loader"
)

// BenchmarkParse parses a folder with 940 organisations, as each host does after each
// change.
func BenchmarkParse(b *testing.B) {
	var text strings.Builder
	text.WriteString("{\"organisations\": {\n")
	for i := range 940 {
		fmt.Fprintf(&text, "  // a customer\n  \"org-%d\": {\"keys\": [%q], \"requests\": 20, \"tokens\": 4000, \"classes\": [\"hold\"]},\n", i, loader.HashKey(fmt.Sprint(i)))
	}
	text.WriteString("}}\n")
	files := loader.Files{"10.jsonc": classes, "20.jsonc": text.String()}
	b.SetBytes(int64(text.Len()))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := files.Parse(); err != nil {
			b.Fatal(err)
		}
	}
}
