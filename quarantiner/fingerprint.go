package quarantiner

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests that are identical to a worker: those with the same caller,
// method, path and body, or all requests with a part of their prompts. Request IDs are left out,
// as they differ with each attempt. 0 stands for an unknown request.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(caller, method, path string, body []byte) Fingerprint {
	h := xxhash.New()
	for _, text := range []string{caller, method, path} {
		_, _ = h.WriteString(text + "\x00") // a hash never returns an error
	}
	_, _ = h.Write(body)
	f := Fingerprint(max(h.Sum64(), 1))
	if _, isPart := f.Part(); isPart {
		f ^= 1 << partBits
	}
	return f
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != size {
		return fmt.Errorf("%q is not a fingerprint of %d hexadecimal digits", text, 2*size)
	}
	*f = Fingerprint(binary.BigEndian.Uint64(b))
	return nil
}

// size is the length of a fingerprint in bytes.
const size = 8

// String returns the fingerprint in hexadecimal, as it is logged.
func (f Fingerprint) String() string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, uint64(f)))
}
