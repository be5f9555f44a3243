package commander

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"github.com/rogpeppe/go-internal/diff"
	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/publisher"
)

var errDiffers = errors.New("the folder differs from the head")

// cmdDiff is `cicadawood diff DIR`.
var cmdDiff = command{
	use:   "diff DIR",
	short: "Show what a push of a folder would change in the head",
	args:  cobra.ExactArgs(1),
	run: func(ctx context.Context, c *cobra.Command, args []string) error {
		checkout, err := publisher.OpenCheckout(args[0])
		if err != nil {
			return usageError(err)
		}
		head, err := readHead(ctx, c)
		if err != nil {
			return err
		}
		merged, err := checkout.Merged(head)
		if err != nil {
			return withExitCode(err)
		}
		changes := listChanges(head.Files, merged)
		if asJSON, _ := c.Flags().GetBool("json"); asJSON {
			if err := json.NewEncoder(c.OutOrStdout()).Encode(changes); err != nil {
				return err
			}
		} else {
			for _, k := range changes {
				patch := diff.Diff("head/"+k.File, []byte(head.Files[k.File]), "folder/"+k.File, []byte(merged[k.File]))
				if _, err := c.OutOrStdout().Write(patch); err != nil {
					return err
				}
			}
		}
		if len(changes) > 0 {
			return exitError{code: ExitDiffers, err: errDiffers}
		}
		return nil
	},
}

// change is one file that a push would add, edit or remove.
type change struct {
	File   string `json:"file"`
	Change string `json:"change"` // added, edited or removed
}

// listChanges returns the files that differ between old and changed: added and edited ones
// first, then removed ones, each sorted by name.
func listChanges(old, changed loader.Files) []change {
	list := []change{}
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		text, exists := old[name]
		switch {
		case !exists:
			list = append(list, change{File: name, Change: "added"})
		case text != changed[name]:
			list = append(list, change{File: name, Change: "edited"})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if _, ok := changed[name]; !ok {
			list = append(list, change{File: name, Change: "removed"})
		}
	}
	return list
}
