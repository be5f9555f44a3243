// Package splitter splits JSON arrays and objects into their elements without decoding these.
// An element that can't be decoded then costs no other one, and however deeply it is nested,
// it takes neither stack nor the nesting limit of encoding/json, which counts over a whole text.
package splitter

import (
	"bytes"
	"encoding/json"
	"errors"
)

// ErrMalformed means that a text is not one whole array or object. Its elements may be malformed.
var ErrMalformed = errors.New("not a whole JSON array or object")

// Array returns the elements of a JSON array. They share the memory of the text.
func Array(text []byte) ([][]byte, error) {
	s := scanner{text: text}
	if !s.accept('[') {
		return nil, ErrMalformed
	}
	var elements [][]byte
	for more := !s.accept(']'); more; {
		element, ok := s.readValue()
		if !ok {
			return nil, ErrMalformed
		}
		elements = append(elements, element)
		if more = s.accept(','); !more && !s.accept(']') {
			return nil, ErrMalformed
		}
	}
	if !s.atEnd() {
		return nil, ErrMalformed
	}
	return elements, nil
}

// Object returns the values of a JSON object by their names; of two of one name, the last. They
// share the memory of the text.
func Object(text []byte) (map[string][]byte, error) {
	s := scanner{text: text}
	if !s.accept('{') {
		return nil, ErrMalformed
	}
	values := map[string][]byte{}
	for more := !s.accept('}'); more; {
		name, ok := s.readName()
		if !ok {
			return nil, ErrMalformed
		}
		if values[name], ok = s.readValue(); !ok {
			return nil, ErrMalformed
		}
		if more = s.accept(','); !more && !s.accept('}') {
			return nil, ErrMalformed
		}
	}
	if !s.atEnd() {
		return nil, ErrMalformed
	}
	return values, nil
}

// scanner reads a text from a position on.
type scanner struct {
	text []byte
	at   int
}

// skipSpace skips white space.
func (s *scanner) skipSpace() {
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}

// accept skips white space and then c. It returns false if something else follows.
func (s *scanner) accept(c byte) bool {
	s.skipSpace()
	if s.at == len(s.text) || s.text[s.at] != c {
		return false
	}
	s.at++
	return true
}

// atEnd reports whether only white space follows.
func (s *scanner) atEnd() bool {
	s.skipSpace()
	return s.at == len(s.text)
}

// readName reads a name and the colon after it.
func (s *scanner) readName() (string, bool) {
	s.skipSpace()
	start := s.at
	if s.at == len(s.text) || s.text[s.at] != '"' || !s.skipString() {
		return "", false
	}
	var name string
	if err := json.Unmarshal(s.text[start:s.at], &name); err != nil {
		return "", false
	}
	return name, s.accept(':')
}

// readValue reads up to the comma or bracket after a value. It returns false if none follows.
func (s *scanner) readValue() ([]byte, bool) {
	s.skipSpace()
	start, depth := s.at, 0
	for s.at < len(s.text) {
		switch c := s.text[s.at]; {
		case c == '"':
			if !s.skipString() {
				return nil, false
			}
			continue
		case depth == 0 && (c == ',' || c == ']' || c == '}'):
			return bytes.TrimRight(s.text[start:s.at], " \t\r\n"), true
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		}
		s.at++
	}
	return nil, false
}

// skipString skips a string, from its first quote on. It returns false if it doesn't end.
func (s *scanner) skipString() bool {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	return false
}
