package commander

import (
	"errors"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/platform"
)

var errNoPlatform = errors.New("no platform: give --platform or set CICADAWOOD_PLATFORM")

// openStore returns the store at the Object API that the flags name, and a function that
// closes it.
func openStore(c *cobra.Command) (*platform.Store, func(), error) {
	base, err := c.Flags().GetString("platform")
	if err != nil || base == "" {
		return nil, nil, usageError(errNoPlatform)
	}
	store, clean := platform.NewStore(base)
	return store, clean, nil
}
