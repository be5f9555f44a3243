package faker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cicadawood/cicadawood/platform"
)

// The store's answers are put together as text: its values may be nested more deeply than
// encoding/json writes.

// encodeObject returns an object in its wire form.
func encodeObject(o platform.Object) []byte {
	metadata, err := json.Marshal(o.Metadata)
	if err != nil {
		panic(err) // it has only plain fields
	}
	spec := o.Spec
	if len(spec) == 0 {
		spec = json.RawMessage("null")
	}
	return fmt.Appendf(nil, `{"metadata":%s,"spec":%s}`, metadata, spec)
}

// encodePage returns a page of encoded objects in its wire form.
func encodePage(items [][]byte, hasMore bool, revision uint64) []byte {
	return fmt.Appendf(nil, `{"items":[%s],"hasMore":%t,"storeRevision":%d}`, bytes.Join(items, []byte(",")), hasMore, revision)
}

// encodeEvent returns the event of an encoded object in its wire form.
func encodeEvent(object []byte, deleted bool) []byte {
	return fmt.Appendf(nil, `{"object":%s,"deleted":%t}`, object, deleted)
}

// encodeEvents returns the answer to a watch in its wire form.
func encodeEvents(events [][]byte, revision uint64) []byte {
	return fmt.Appendf(nil, `{"events":[%s],"storeRevision":%d}`, bytes.Join(events, []byte(",")), revision)
}

func writeText(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}
