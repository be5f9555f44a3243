package messenger

const kindListUpdate = "word"

// ListUpdate passes on the changes of a list that the platform's store
// reported: all changes after one version, up to another of the same era.
type ListUpdate struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	After     uint64   `msgpack:"after"`
	Upto      uint64   `msgpack:"upto"`
	Changed   []Change `msgpack:"changed"` // in the order of their revisions
	StoreDown bool     `msgpack:"blind"`   // the store no longer answers this host; nothing else is set
}

// Change is one object of a list that changed.
type Change struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Key      string   `msgpack:"key"`
	Value    []byte   `msgpack:"value"`
	Version  uint64   `msgpack:"version"`
	Deleted  bool     `msgpack:"deleted"`
}

func (ListUpdate) kind() string { return kindListUpdate }
