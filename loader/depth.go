package loader

import "bytes"

// maxDepth is the deepest nesting of a settings file; no setting needs a tenth of it.
const maxDepth = 100

// tooDeep returns the offset of the first bracket of a JSON text with comments that is nested
// deeper than maxDepth, or -1 if there is none. The parser recurses without a limit.
func tooDeep(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i)
		case '/':
			i = commentEnd(text, i)
		case '[', '{':
			if depth++; depth > maxDepth {
				return i
			}
		case ']', '}':
			depth--
		}
	}
	return -1
}

// stringEnd returns the offset of the last quote of a string, whose first one is at start.
func stringEnd(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// commentEnd returns the offset of the last byte of a comment that may begin at start, or
// start if none does.
func commentEnd(text []byte, start int) int {
	ends := map[string]string{"//": "\n", "/*": "*/"}
	end, ok := ends[string(text[start:min(start+2, len(text))])]
	if !ok {
		return start
	}
	length := bytes.Index(text[start+2:], []byte(end))
	if length < 0 {
		return len(text)
	}
	return start + 2 + length + len(end) - 1
}
