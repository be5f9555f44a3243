package commander

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/publisher"
)

var errNothingPushed = errors.New("nothing was pushed yet")

// cmdPull is `cicadawood pull DIR`.
var cmdPull = command{
	use:   "pull DIR",
	short: "Update a folder to the head, keeping local changes",
	args:  cobra.ExactArgs(1),
	flags: func(c *cobra.Command) {
		c.Flags().Bool("force", false, "discard all changes in DIR")
	},
	run: func(ctx context.Context, c *cobra.Command, args []string) error {
		force, err := c.Flags().GetBool("force")
		if err != nil {
			return usageError(err)
		}
		head, err := readHead(ctx, c)
		if err != nil {
			return err
		}
		if head.Generation == 0 {
			return errNothingPushed
		}
		if err := os.MkdirAll(args[0], 0o755); err != nil {
			return usageError(err)
		}
		checkout, err := publisher.OpenCheckout(args[0])
		if err != nil {
			return usageError(err)
		}
		if err := checkout.Pull(head, force); err != nil {
			return withExitCode(err)
		}
		changed := checkout.Base().ChangedFiles(checkout.Files())
		fmt.Fprintf(c.OutOrStdout(), "generation %d, %d files changed here\n", head.Generation, len(changed))
		return nil
	},
}

// readHead reads the head from the platform that the flags name.
func readHead(ctx context.Context, c *cobra.Command) (publisher.Head, error) {
	store, clean, err := openStore(c)
	if err != nil {
		return publisher.Head{}, err
	}
	defer clean()
	return publisher.Read(ctx, store)
}
