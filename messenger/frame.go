package messenger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrame is the largest frame, in bytes, that is written or read.
const MaxFrame = 1 << 20

// ErrFrame says that a frame can't be read: the connection is of no more use.
var ErrFrame = errors.New("bad frame")

func writeFrame(w io.Writer, e Envelope) (int, error) {
	body, err := msgpack.Marshal(e)
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrFrame, err)
	}
	if len(body) > MaxFrame {
		return 0, fmt.Errorf("%w: %d bytes", ErrFrame, len(body))
	}
	buf := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(buf, uint32(len(body)))
	return w.Write(append(buf, body...))
}

func readFrame(r io.Reader) (Envelope, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Envelope{}, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MaxFrame {
		return Envelope{}, fmt.Errorf("%w: %d bytes", ErrFrame, n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return Envelope{}, err
	}
	var e Envelope
	if err := msgpack.Unmarshal(body, &e); err != nil {
		return Envelope{}, fmt.Errorf("%w: %v", ErrFrame, err)
	}
	return e, nil
}
