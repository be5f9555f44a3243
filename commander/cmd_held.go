package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/runner"
)

// cmdHeld is `cicadawood held ADDRESS`.
var cmdHeld = command{
	use:   "held ADDRESS",
	short: "List what is held back as it crashes workers, or release it",
	args:  cobra.ExactArgs(1),
	flags: func(c *cobra.Command) {
		c.Flags().String("release", "", "`ID` of a part of prompts, or fingerprint of a request, to release on all hosts")
	},
	run: func(ctx context.Context, c *cobra.Command, args []string) error {
		id, err := c.Flags().GetString("release")
		if err != nil {
			return usageError(err)
		}
		if id == "" {
			return listHeld(ctx, c.OutOrStdout(), args[0])
		}
		resp, err := callAdmin(ctx, http.MethodPost, args[0], "/release/"+url.PathEscape(id))
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		fmt.Fprintln(c.OutOrStdout(), "released")
		return nil
	},
}

// listHeld prints what a host holds back, a line each.
func listHeld(ctx context.Context, w io.Writer, address string) error {
	s, err := fetchState(ctx, address)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "KIND\tID\tLEFT\tWORKERS")
	for _, q := range heldOf(s) {
		kind, id := "request", q.Fingerprint
		if q.Part != "" {
			kind, id = "part", q.Part
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", kind, id, q.For.Round(time.Second), strings.Join(q.Workers, ","))
	}
	return t.Flush()
}

// heldOf returns what a host of either interface holds back.
func heldOf(s runner.State) []runner.QuarantinedRequest {
	if s.Routing != nil {
		return s.Routing.Quarantine
	}
	return s.Quarantine
}
