package messenger

const kindEntries = "entries"

// ListSnapshot tells another host a whole list of the platform's store, as it was when the
// store had come back from an older copy of itself.
type ListSnapshot struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Upto     uint64   `msgpack:"upto"`      // the version of the list
	All      []Change `msgpack:"all"`
}

func (ListSnapshot) kind() string { return kindEntries }
