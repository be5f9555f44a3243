package messenger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadawood/cicadawood/measurer"
	"github.com/cicadawood/cicadawood/reserver"
)

// MaxFrame is the maximum size in bytes of a frame without its length.
const MaxFrame = 1 << 20

// MaxBody is the maximum size in bytes of an encoded message: that of a frame without what surrounds it.
const MaxBody = MaxFrame - 128

const (
	// maxShortFrame is the maximum size in bytes of a frame that begins a connection.
	maxShortFrame = 16 << 10
	// smallFrame is the size in bytes up to which the memory for a frame is taken at once.
	smallFrame = 16 << 10
)

const (
	headerLength = 4 // bytes of a frame's length
	ackLength    = 8 // bytes of an acknowledgement
)

// TunnelPreface begins a connection that is not for messages; see Config.OnTunnel. As the
// length of a frame it would be over MaxFrame.
const TunnelPreface = "CWT1"

// ErrUnknownKind is returned for a message of a kind that this version does not know.
var ErrUnknownKind = errors.New("unknown kind of message")

// ErrFrame is returned for a frame or message that can't be encoded or decoded.
// A connection on which it occurs is closed.
var ErrFrame = errors.New("bad frame")

// hello is the first frame of a connection. It names the sender.
type hello struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Name        string
	Incarnation uint64
}

// welcome answers a hello with the receiver's incarnation and the last sequence
// that it has received from the sender's incarnation.
type welcome struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Incarnation uint64
	Received    uint64
}

// messageFrame is one message on the wire. Its sender is known from the hello.
type messageFrame struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Sequence   uint64
	Generation uint64
	Kind       string
	Body       []byte
}

// WriteFrame writes v as one frame and returns the number of bytes written.
func WriteFrame(w io.Writer, v any) (int, error) {
	body, err := encode(v)
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrFrame, err)
	}
	if len(body) > MaxFrame {
		return 0, fmt.Errorf("%w: %d bytes", ErrFrame, len(body))
	}
	buf := make([]byte, headerLength, headerLength+len(body))
	binary.BigEndian.PutUint32(buf, uint32(len(body)))
	return w.Write(append(buf, body...))
}

// encode returns v in msgpack, with each integer in as few bytes as it needs.
func encode(v any) ([]byte, error) {
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	var b bytes.Buffer
	e.Reset(&b)
	e.UseCompactInts(true)
	err := e.Encode(v)
	return b.Bytes(), err
}

// ReadFrame reads one short frame, such as those that begin a connection, into v and returns the
// number of bytes read.
func ReadFrame(r io.Reader, v any) (int, error) {
	return readFrame(r, v, maxShortFrame, nil)
}

// readFrame reads one frame of at most limit bytes into v and returns the number of bytes read. What
// a sender states is no reason to take the memory for it: that is taken as its bytes arrive.
func readFrame(r io.Reader, v any, limit uint32, reserved *reserver.Reservation) (int, error) {
	defer reserved.Release()
	var head [headerLength]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > limit {
		return 0, fmt.Errorf("%w: %d bytes", ErrFrame, n)
	}
	body, err := readBody(r, int64(n), reserved)
	if err != nil {
		return 0, err
	}
	if err := unmarshal(body, v); err != nil {
		return 0, fmt.Errorf("%w: %v", ErrFrame, err)
	}
	return headerLength + int(n), nil
}

// unmarshal decodes a msgpack text whose stated lengths are within it.
func unmarshal(text []byte, into any) error {
	if err := measurer.Check(text); err != nil {
		return err
	}
	return msgpack.Unmarshal(text, into)
}

// readBody reads n bytes.
func readBody(r io.Reader, n int64, reserved *reserver.Reservation) ([]byte, error) {
	if n <= smallFrame {
		body := make([]byte, n)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body, err := reserved.ReadAll(io.LimitReader(r, n), -1, n)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	case int64(len(body)) < n:
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}
