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
	// operatorPollInterval is the interval of the reads made in addition to the watch.
	operatorPollInterval = 25 * time.Second
	// operatorRetries bounds the pause after failed watches to a second: after an outage of
	// the platform, too, a change must be in force within seconds.
	operatorRetries = 1
	// operatorFile is the name of the configuration's only file.
	operatorFile = "operator.json"
)

// operatorSource is the configuration that the operator writes to the platform's store;
// shouldWatch returns whether this host must watch it.
func operatorSource(shouldWatch func() bool) publisher.Source {
	return publisher.Source{
		Key: platform.ConfigurationKey, Decode: decodeOperator, WatchTimeout: relayer.WatchTimeout, BackoffDoublings: operatorRetries, ShouldWatch: shouldWatch,
	}
}

// decodeOperator converts the operator's configuration to one file, so that hosts forward,
// check and enforce it like one that was pushed.
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

// processName returns a host's name among the other hosts for the life of one process.
// Incarnations are taken from the time of day, which may jump back by minutes: under the
// host's own name, its next process would then count as an older one, and other hosts would
// ignore it. Under a new name it is simply another host.
func processName(host string) string {
	const bits = 24
	return fmt.Sprintf("%s.%06x", host, rand.Uint32N(1<<bits))
}

// dispatcherConfig returns the part of a configuration that dispatchers and lenders use.
// Host routes are placed by their entry hosts, so it has no services.
func dispatcherConfig(f *loader.Folder) *loader.Folder {
	return &loader.Folder{Organisations: f.Organisations}
}
