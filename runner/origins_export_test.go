package runner

// Messages about the beginnings of streams.
var (
	EncodeOrigin = encodeOrigin
	EncodeListed = encodeListed
	DecodeListed = decodeListed
)
