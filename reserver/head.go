package reserver

import "bytes"

// headLineBytes is the memory that a parsed line of a head takes beside its bytes.
const headLineBytes = 128

// HeadBytes returns the memory that a part of a head takes once it is parsed.
func HeadBytes(part []byte) int64 {
	return int64(len(part) + headLineBytes*bytes.Count(part, []byte{'\n'}))
}
