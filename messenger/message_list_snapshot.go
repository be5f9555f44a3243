package messenger

const kindListSnapshot = "entries"

// ListSnapshot passes on a whole list of the platform's store, as it was after
// the store was restored from an older snapshot.
type ListSnapshot struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Upto     uint64   `msgpack:"upto"`      // version of the list
	All      []Change `msgpack:"all"`
}

func (ListSnapshot) kind() string { return kindListSnapshot }
