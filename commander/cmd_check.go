package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/loader"
)

// cmdCheck is `cicadawood check PATH`.
var cmdCheck = command{
	use:   "check PATH",
	short: "Check a folder of settings, or one host's settings file",
	args:  cobra.ExactArgs(1),
	run: func(_ context.Context, c *cobra.Command, args []string) error {
		info, err := os.Stat(args[0])
		if err != nil {
			return usage(err)
		}
		if !info.IsDir() {
			_, err := loader.ReadHost(args[0])
			return usage(err)
		}
		files, err := loader.ReadFiles(args[0])
		if err != nil {
			return usage(err)
		}
		f, err := files.Parse()
		if err != nil {
			return usage(err)
		}
		fmt.Fprintf(c.OutOrStdout(), "%d files: %d classes, %d organisations, %d services\n", len(files), len(f.Classes), len(f.Organisations), len(f.Services))
		return nil
	},
}
