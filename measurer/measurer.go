// Package measurer checks the lengths and the depth that a msgpack text states before it is
// decoded: the decoder takes the memory for a stated number of elements at once, and the stack for
// each level of nesting, so that a few bytes could end a process.
package measurer

import (
	"encoding/binary"
	"errors"
)

// maxDepth bounds the nesting of what hosts send each other and store.
const maxDepth = 64

// ErrMeasure means that a text states more than it holds, or is nested too deeply.
var ErrMeasure = errors.New("msgpack of a length or depth out of bounds")

// Check returns ErrMeasure if any array, map, text or binary of the msgpack values in text states
// more elements or bytes than follow it, or if values are nested too deeply.
func Check(text []byte) error {
	var open []uint64 // values that are due, by depth
	for len(text) > 0 {
		for len(open) > 0 && open[len(open)-1] == 0 {
			open = open[:len(open)-1]
		}
		if len(open) > 0 {
			open[len(open)-1]--
		}
		h := parseHead(text)
		if h.size+h.bytes > uint64(len(text)) || h.values > uint64(len(text))-h.size {
			return ErrMeasure
		}
		text = text[h.size+h.bytes:]
		if h.values > 0 {
			if len(open) == maxDepth {
				return ErrMeasure
			}
			open = append(open, h.values)
		}
	}
	return nil
}

// head is the beginning of a value.
type head struct {
	size   uint64 // bytes of the head itself
	bytes  uint64 // that follow it
	values uint64 // that follow it; twice the number of a map's entries
}

// Codes of the msgpack specification.
const (
	fixedMap    = 0x80
	fixedArray  = 0x90
	fixedString = 0xa0
	nilCode     = 0xc0
	bin8        = 0xc4
	ext8        = 0xc7
	float32Code = 0xca
	fixedExt1   = 0xd4
	str8        = 0xd9
	array16     = 0xdc
	map16       = 0xde
	negative    = 0xe0
)

// parseHead parses the head of the first value.
func parseHead(text []byte) head {
	switch code := text[0]; {
	case code < fixedMap, code >= negative:
		return head{size: 1}
	case code < fixedArray:
		return head{size: 1, values: 2 * uint64(code-fixedMap)}
	case code < fixedString:
		return head{size: 1, values: uint64(code - fixedArray)}
	case code < nilCode:
		return head{size: 1, bytes: uint64(code - fixedString)}
	case code < bin8:
		return head{size: 1}
	case code < ext8:
		width := 1 << (code - bin8)
		return head{size: 1 + uint64(width), bytes: parseLength(text, width)}
	case code < float32Code:
		width := 1 << (code - ext8)
		return head{size: 1 + uint64(width), bytes: 1 + parseLength(text, width)}
	case code < fixedExt1:
		return head{size: 1, bytes: numberBytes[code-float32Code]}
	case code < str8:
		return head{size: 1, bytes: 1 + 1<<(code-fixedExt1)}
	case code < array16:
		width := 1 << (code - str8)
		return head{size: 1 + uint64(width), bytes: parseLength(text, width)}
	case code < map16:
		width := 2 << (code - array16)
		return head{size: 1 + uint64(width), values: parseLength(text, width)}
	default:
		width := 2 << (code - map16)
		return head{size: 1 + uint64(width), values: 2 * parseLength(text, width)}
	}
}

// numberBytes are the bytes of floats, unsigned and signed integers, in the order of their codes.
var numberBytes = [...]uint64{4, 8, 1, 2, 4, 8, 1, 2, 4, 8}

// parseLength parses the length of a width after the code; 0 if it isn't there whole.
func parseLength(text []byte, width int) uint64 {
	var padded [8]byte
	if len(text) > width {
		copy(padded[8-width:], text[1:1+width])
	}
	return binary.BigEndian.Uint64(padded[:])
}
