package commander

import (
	"context"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"
)

// cmdDrain is `cicadawood drain ADDRESS`.
var cmdDrain = command{
	use:   "drain ADDRESS",
	short: "Shut down gracefully the host whose admin address is ADDRESS",
	args:  cobra.ExactArgs(1),
	run: func(ctx context.Context, c *cobra.Command, args []string) error {
		resp, err := callAdmin(ctx, http.MethodPost, args[0], "/drain")
		if err != nil {
			return err
		}
		fmt.Fprintln(c.OutOrStdout(), "draining")
		return resp.Body.Close()
	},
}
