package measurer_test

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadawood/cicadawood/measurer"
)

// Guards against a process that ends for a few bytes that state billions of elements.
func TestStatedLengths(t *testing.T) {
	for name, text := range map[string][]byte{
		"array":         {0xdd, 0xff, 0xff, 0xff, 0xff},
		"short array":   {0xdc, 0xff, 0xff, 1},
		"map":           {0xdf, 0xff, 0xff, 0xff, 0xff},
		"text":          {0xdb, 0xff, 0xff, 0xff, 0xff},
		"binary":        {0xc6, 0xff, 0xff, 0xff, 0xff},
		"extension":     {0xc9, 0xff, 0xff, 0xff, 0xff, 1},
		"in an array":   {0x92, 0x01, 0xdd, 0xff, 0xff, 0xff, 0xff},
		"in a map":      {0x81, 0xa1, 'x', 0xdd, 0xff, 0xff, 0xff, 0xff},
		"no length":     {0xdd, 0xff},
		"no number":     {0xcf, 1},
		"deeply nested": append(bytes.Repeat([]byte{0x91}, 1<<20), 0xc0),
	} {
		if measurer.Check(text) == nil {
			t.Errorf("%s is let through", name)
		}
	}
}

// Guards against a message of another host that is refused though it is whole.
func TestWholeTexts(t *testing.T) {
	for _, v := range []any{
		nil, true, 1, -1, -200, 1 << 40, math.Pi, float32(1), "", string(make([]byte, 300)), string(make([]byte, 70_000)), make([]byte, 300), make([]byte, 70_000),
		[]int{},
		make([]int, 20),
		make([]uint64, 70_000),
		map[string]int{},
		map[string][]string{"a": {"b", "c"}, "d": nil},
		time.Now(),
		time.Hour,
		[]any{[]any{[]any{map[string]any{"x": []byte("y")}}}, 1, []any{}, 2},
	} {
		text, err := msgpack.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if err := measurer.Check(text); err != nil {
			t.Errorf("%T of %d bytes: %v", v, len(text), err)
		}
	}
}

// Guards against a text on which the check itself ends the process.
func FuzzCheck(f *testing.F) {
	f.Add([]byte{0x93, 0xdb, 0, 0, 0, 1, 'a', 0xdc, 0, 1, 0xc0, 0xd4, 1, 2})
	f.Fuzz(func(_ *testing.T, text []byte) {
		var v any
		if measurer.Check(text) == nil {
			_ = msgpack.Unmarshal(text, &v)
		}
	})
}
