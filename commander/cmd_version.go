package commander

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Version is the product's version.
const Version = "0.1.0"

// cmdVersion is `cicadawood version`.
var cmdVersion = command{
	use:   "version",
	short: "Print the version",
	args:  cobra.NoArgs,
	run: func(_ context.Context, c *cobra.Command, _ []string) error {
		revision := "unknown"
		if info, ok := debug.ReadBuildInfo(); ok {
			for _, s := range info.Settings {
				if s.Key == "vcs.revision" {
					revision = s.Value
				}
			}
		}
		fmt.Fprintf(c.OutOrStdout(), "cicadawood %s (%s)\n", Version, revision)
		return nil
	},
}
