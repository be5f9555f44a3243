package messenger

const kindWord = "word"

// ListUpdate tells another host what the platform's store told this one of a list: all
// that changed after one version, up to another.
type ListUpdate struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	After     uint64   `msgpack:"after"`
	Upto      uint64   `msgpack:"upto"`
	Changed   []Change `msgpack:"changed"` // in the order of their revisions
	StoreDown bool     `msgpack:"blind"`   // the store answers this host no more; nothing else is set
}

// Change is one object of the list that changed.
type Change struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Key      string   `msgpack:"key"`
	Value    []byte   `msgpack:"value"`
	Version  uint64   `msgpack:"version"`
	Deleted  bool     `msgpack:"deleted"`
}

func (ListUpdate) kind() string { return kindWord }
