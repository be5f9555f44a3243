package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/runner"
)

// cmdStatus is `cicadawood status`.
var cmdStatus = command{
	use:   "status",
	short: "Show every host: zone, generation in force, roles, ready or leaving",
	args:  cobra.NoArgs,
	run: func(ctx context.Context, c *cobra.Command, _ []string) error {
		store, clean, err := openStore(c)
		if err != nil {
			return err
		}
		defer clean()
		objects, _, err := store.List(ctx, registrar.Prefix)
		if err != nil {
			return fmt.Errorf("read roster: %w", err)
		}
		states := []runner.State{}
		for _, o := range objects {
			var h registrar.Record
			if err := json.Unmarshal(o.Value, &h); err != nil {
				return fmt.Errorf("read record %s: %w", o.Key, err)
			}
			s, err := fetchState(ctx, h.Admin)
			if err != nil {
				s = runner.State{Name: h.Name, Zone: h.Zone, Roles: []string{"unreachable"}}
			}
			states = append(states, s)
		}
		if asJSON, _ := c.Flags().GetBool("json"); asJSON {
			return json.NewEncoder(c.OutOrStdout()).Encode(states)
		}
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "HOST\tZONE\tGENERATION\tREADY\tLEAVING\tINFLIGHT\tROLES")
		for _, s := range states {
			fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%t\t%d\t%s\n", s.Name, s.Zone, s.Generation, s.Ready, s.Leaving, s.Inflight, strings.Join(s.Roles, " "))
		}
		return w.Flush()
	},
}
