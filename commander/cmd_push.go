package commander

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/publisher"
)

// cmdPush is `cicadawood push DIR`.
var cmdPush = command{
	use:   "push DIR",
	short: "Check a folder and put it in force on every host",
	args:  cobra.ExactArgs(1),
	run: func(ctx context.Context, c *cobra.Command, args []string) error {
		files, err := loader.ReadFiles(args[0])
		if err != nil {
			return usage(err)
		}
		if _, err := files.Parse(); err != nil {
			return usage(err)
		}
		store, clean, err := openStore(c)
		if err != nil {
			return err
		}
		defer clean()
		head, err := publisher.Read(ctx, store)
		if err != nil {
			return err
		}
		g, err := publisher.Push(ctx, store, files, head.Generation, rand.Text())
		if errors.Is(err, publisher.ErrRaced) {
			return exitError{code: ExitConflict, err: err}
		}
		if err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "generation %d\n", g)
		return nil
	},
}
