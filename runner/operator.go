package runner

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/publisher"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// operatorPoll is the pause between reads behind the watch.
	operatorPoll = 25 * time.Second
	// operatorRetries bounds the pause after failed watches to a second: after an
	// outage of the platform a change is to be in force within seconds, too.
	operatorRetries = 1
	// operatorFile is the name of the configuration's one file.
	operatorFile = "operator.json"
)

// operatorSource is the configuration that the operator writes to the platform's
// store; turn says whether this host is to watch it.
func operatorSource(turn func() bool) publisher.Source {
	return publisher.Source{
		Key: platform.ConfigurationKey, Decode: decodeOperator, WatchTimeout: relayer.WatchTimeout, BackoffDoublings: operatorRetries, ShouldWatch: turn,
	}
}

// decodeOperator makes one file of the operator's configuration, so that hosts
// pass it on, check it and put it in force like one that was pushed.
func decodeOperator(o storer.Object) (publisher.Head, error) {
	c, err := platform.DecodeConfiguration(o.Value)
	if err != nil {
		return publisher.Head{}, fmt.Errorf("%w: %v", publisher.ErrInvalidObject, err)
	}
	text, err := json.Marshal(c.Folder)
	if err != nil {
		return publisher.Head{}, fmt.Errorf("%w: %v", publisher.ErrInvalidObject, err)
	}
	return publisher.NewHead(loader.Files{operatorFile: string(text)}, c.Version)
}

// processName is a host's name among the other hosts' for the life of one process.
// Failure: incarnations grow with the time of day, which may jump back by minutes;
// the next process of the host would then count as an older one, and nobody would
// speak with it. Under a name of its own it is simply another host.
func processName(host string) string {
	const bits = 24
	return fmt.Sprintf("%s.%06x", host, rand.Uint32N(1<<bits))
}

// dispatched is the part of a configuration that dispatchers and lenders act on.
// Host routes are placed by their entries, so that it has none of their services.
func dispatched(f *loader.Folder) *loader.Folder {
	return &loader.Folder{Organisations: f.Organisations}
}
