package quarantiner

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is the same for requests that are the same to a worker: those of one
// caller, by one method, to one path, with one body. Ids, which differ each time that a
// request comes, are no part of it. 0 stands for a request that is not known.
type Fingerprint uint64

// FingerprintOf is the fingerprint of a request.
func FingerprintOf(caller, method, path string, body []byte) Fingerprint {
	h := xxhash.New()
	for _, text := range []string{caller, method, path} {
		_, _ = h.WriteString(text + "\x00") // a hash takes everything
	}
	_, _ = h.Write(body)
	return Fingerprint(max(h.Sum64(), 1))
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != size {
		return fmt.Errorf("%q is no fingerprint of %d hexadecimal digits", text, 2*size)
	}
	*f = Fingerprint(binary.BigEndian.Uint64(b))
	return nil
}

// size is the bytes of a fingerprint.
const size = 8

// String is the fingerprint as logs have it.
func (f Fingerprint) String() string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, uint64(f)))
}
