// Package tunneler connects a host to workers through other hosts while it has lost its own
// links to them.
//
// A tunnel is one TCP connection between two hosts that stands for one connection to a
// worker. The host that needs it (the opener) names the worker; the other one (the helper)
// connects to it and then passes bytes on in both directions. The helper does not read
// them: which worker gets a request, its limits, its repeats and its at-most-once
// guarantee stay with the opener, as if it were connected to the worker itself. A helper
// never opens a tunnel for another host.
//
// A tunnel begins with a preface, an open frame and the helper's reply. Then bytes for the
// worker follow as they are. Bytes of the worker come in chunks, so that the end of the
// worker's connection differs from the end of the helper: a 4-byte big-endian head, whose
// first byte is the kind of the chunk and the rest its length, and the bytes.
package tunneler

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/reacher"
)

// ErrDeclined means that the helper did not connect to the worker.
var ErrDeclined = errors.New("the host did not help")

const (
	// aliveInterval is the longest time without a chunk while the helper runs.
	aliveInterval = 250 * time.Millisecond
	// aliveTimeout is the time without a chunk after which the helper counts as failed.
	aliveTimeout = 4 * aliveInterval
	// openTimeout bounds the time for the opener to name the worker.
	openTimeout = time.Second
	// writeTimeout bounds the time for either end to accept a write.
	writeTimeout = 10 * time.Second
	// bufferBytes is the size of the buffer for one direction of a tunnel.
	bufferBytes = 8 << 10
)

// open is the first frame of a tunnel.
type open struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	From     string        // name of the opener
	Address  string        // of the worker
	Request  string        // ID of the request, for logs
	Timeout  time.Duration // to connect to the worker
}

// reply is the helper's answer to an open frame.
type reply struct {
	_msgpack struct{}       `msgpack:",as_array"` //nolint:unused // read by msgpack
	Reason   reacher.Reason // why it does not help; "" if it is connected to the worker
	Wait     time.Duration  // for which it should not be asked; 0 if it does not say
	Witness  bool           // with Unreached: see reacher.Table.Witness
}

// chunkKind is the kind of a chunk of the worker's bytes.
type chunkKind byte

const (
	chunkData  chunkKind = iota
	chunkAlive           // the helper runs, and the worker is silent
	chunkEnd             // the worker closed its connection in order
	chunkReset           // the worker's connection failed
)

const chunkHeadBytes = 4

// putChunkHead writes the head of a chunk with n bytes; n is less than 1<<24.
func putChunkHead(b []byte, k chunkKind, n int) {
	binary.BigEndian.PutUint32(b, uint32(k)<<24|uint32(n))
}

func parseChunkHead(b []byte) (chunkKind, int) {
	v := binary.BigEndian.Uint32(b)
	return chunkKind(v >> 24), int(v & (1<<24 - 1))
}

// preface distinguishes a tunnel from a connection for messages.
const preface = messenger.TunnelPreface
