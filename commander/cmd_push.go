package commander

import (
	"context"
	"encoding/json"
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
	flags: func(c *cobra.Command) {
		c.Flags().Bool("restore", false, "replace the whole head if the platform was restored to an older one than DIR was pulled from")
	},
	run: func(ctx context.Context, c *cobra.Command, args []string) error {
		checkout, err := openChecked(args[0])
		if err != nil {
			return err
		}
		store, clean, err := openStore(c)
		if err != nil {
			return err
		}
		defer clean()
		restore, err := c.Flags().GetBool("restore")
		if err != nil {
			return usageError(err)
		}
		pusher := publisher.Pusher{Store: store}
		r, err := pusher.Push(ctx, publisher.Change{Files: checkout.Files(), Base: checkout.Base(), Restore: restore})
		if err != nil {
			return withExitCode(err)
		}
		if err := checkout.FastForward(r.Head); err != nil {
			return fmt.Errorf("generation %d was published, but the folder was not updated: %w", r.Generation, err)
		}
		return printPush(c, r)
	},
}

// openChecked opens a folder and checks its settings without comparing them with the head.
func openChecked(dir string) (*publisher.Checkout, error) {
	checkout, err := publisher.OpenCheckout(dir)
	if err != nil {
		return nil, usageError(err)
	}
	if len(checkout.Files()) == 0 {
		return nil, usageError(fmt.Errorf("folder %s: %w", dir, loader.ErrEmpty))
	}
	_, err = checkout.Files().Parse()
	return checkout, usageError(err)
}

// withExitCode gives an error of push, pull or diff its exit code.
func withExitCode(err error) error {
	var conflict *publisher.ConflictError
	switch {
	case errors.As(err, &conflict), errors.Is(err, publisher.ErrRaced), errors.Is(err, publisher.ErrRestored), errors.Is(err, publisher.ErrInvalidMerge):
		return exitError{code: ExitConflict, err: err}
	case errors.Is(err, publisher.ErrOutcomeUnknown):
		return exitError{code: ExitOutcomeUnknown, err: err}
	case errors.Is(err, publisher.ErrTooLarge):
		return usageError(err)
	}
	return err
}

func printPush(c *cobra.Command, r publisher.Result) error {
	if asJSON, _ := c.Flags().GetBool("json"); asJSON {
		return json.NewEncoder(c.OutOrStdout()).Encode(struct {
			Generation uint64 `json:"generation"`
			Head       uint64 `json:"head"`
			Rebased    bool   `json:"rebased"`
			Repeated   bool   `json:"repeated"`
		}{r.Generation, r.Head.Generation, r.Rebased, r.Repeated})
	}
	note := ""
	if r.Rebased {
		note += ", rebased: the folder has the other changes now"
	}
	if r.Repeated {
		note += ", was there already"
	}
	if r.Head.Generation != r.Generation {
		note += fmt.Sprintf("; the head is %d by now", r.Head.Generation)
	}
	fmt.Fprintf(c.OutOrStdout(), "generation %d%s\n", r.Generation, note)
	return nil
}
