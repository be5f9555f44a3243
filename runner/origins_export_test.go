package runner

// Messages about the beginnings of streams.
var (
	EncodeOrigin = encodeOrigin
	DecodeOrigin = decodeOrigin
)
