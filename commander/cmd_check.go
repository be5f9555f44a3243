package commander

import (
	"context"
	"encoding/json"
	"errors"
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
			return usageError(err)
		}
		r := checkReport{Problems: []loader.Problem{}}
		if info.IsDir() {
			err = r.checkFolder(args[0])
		} else {
			_, err = loader.ReadHost(args[0])
			r.Files = 1
		}
		if asJSON, _ := c.Flags().GetBool("json"); asJSON {
			r.Problems = append(r.Problems, loader.Problems(err)...)
			return errors.Join(usageError(err), json.NewEncoder(c.OutOrStdout()).Encode(r))
		}
		if err == nil {
			fmt.Fprintln(c.OutOrStdout(), r)
		}
		return usageError(err)
	},
}

// checkReport is the output of check.
type checkReport struct {
	Files         int              `json:"files"`
	Classes       int              `json:"classes"`
	Organisations int              `json:"organisations"`
	Services      int              `json:"services"`
	Problems      []loader.Problem `json:"problems"`
}

func (r *checkReport) checkFolder(dir string) error {
	files, err := loader.ReadFiles(dir)
	if err != nil {
		return err
	}
	if r.Files = len(files); r.Files == 0 {
		return fmt.Errorf("folder %s: %w", dir, loader.ErrEmpty)
	}
	f, err := files.Parse()
	if err != nil {
		return err
	}
	r.Classes, r.Organisations, r.Services = len(f.Classes), len(f.Organisations), len(f.Services)
	return nil
}

func (r checkReport) String() string {
	if r.Classes+r.Organisations+r.Services == 0 {
		return fmt.Sprintf("%d files: no problems", r.Files)
	}
	return fmt.Sprintf("%d files: %d classes, %d organisations, %d services", r.Files, r.Classes, r.Organisations, r.Services)
}
